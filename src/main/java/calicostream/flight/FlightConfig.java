// SPDX-License-Identifier: Apache-2.0
package calicostream.flight;

import calicostream.config.ConfigFile;
import calicostream.net.InvalidInputException;
import calicostream.net.NumericSocketAddress;
import com.eclipsesource.json.JsonObject;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;

/**
 * The file that enables Flight SQL; {@code docs/operate/flight-sql.md} has every key. Times are in
 * microseconds here. {@code flightEngines}: engines are reached by Flight SQL, not RESP. Bounds of
 * 0 bytes on results: none.
 */
public record FlightConfig(
        InetSocketAddress listen,
        boolean flightEngines,
        String queryClass,
        String updateClass,
        String metadataClass,
        long holdBytes,
        long mostHeldBytes,
        long mostResultBytes,
        int maxMessageBytes,
        int windowBytes,
        long streamBytes,
        long bytesInFlight,
        int connections,
        int calls,
        int callsPerClient,
        long stallUs,
        boolean severalEndpoints,
        boolean askSchema,
        int statements,
        int statementsPerClient,
        long statementKeptUs,
        long ticketKeptUs,
        long parameterBytes,
        int transactionsPerClient,
        int transactionsPerEngine,
        long transactionIdleUs,
        long metadataLifeUs,
        long metadataBytes,
        long pollWaitUs,
        long ingestUs,
        Path users,
        long tokenLifeUs,
        int sessions,
        boolean passTokens,
        int threads) {
    private static final long SECOND = 1_000_000;
    private static final int MEGABYTE = 1 << 20;

    /** Streams that may flow at once, each with a window that its client may leave full. */
    public int mostStreams() {
        return (int) Math.max(1, Math.min(Integer.MAX_VALUE, streamBytes / windowBytes));
    }

    /** Null where there is no such file or it leaves Flight SQL off. */
    public static FlightConfig read(Path path) {
        return ConfigFile.readIfEnabled(path, root -> new Reader(root, path).read());
    }

    /** Reads each key once, so that what is left over is known to be a mistake. */
    private static final class Reader {
        private final JsonObject root;
        private final Path path;
        private final Set<String> known = new HashSet<>(Set.of("enabled"));

        Reader(JsonObject root, Path path) {
            this.root = root;
            this.path = path;
        }

        private String text(String key, String without) {
            known.add(key);
            return root.getString(key, without);
        }

        private long number(String key, long without, long least, long most)
                throws InvalidInputException {
            known.add(key);
            long value = root.getLong(key, without);
            if (value < least || value > most) {
                throw new InvalidInputException(
                        key + " is " + value + ", " + least + " to " + most + " allowed");
            }
            return value;
        }

        private int count(String key, int without) throws InvalidInputException {
            return (int) number(key, without, 1, 1 << 20);
        }

        private boolean choice(String key, String without, String yes, String no)
                throws InvalidInputException {
            String value = text(key, without);
            if (!value.equals(yes) && !value.equals(no)) {
                throw new InvalidInputException(
                        key + " is '" + value + "', '" + yes + "' or '" + no + "' allowed");
            }
            return value.equals(yes);
        }

        private boolean flag(String key) {
            known.add(key);
            return root.getBoolean(key, false);
        }

        FlightConfig read() throws InvalidInputException {
            long most = Long.MAX_VALUE / 4;
            String queryClass = text("query_class", "lookup");
            String users = text("users", "");
            FlightConfig out =
                    new FlightConfig(
                            NumericSocketAddress.parse(text("listen", "127.0.0.1:32010")),
                            choice("engines", "flight", "flight", "platform"),
                            queryClass,
                            text("update_class", "stat-load"),
                            text("metadata_class", queryClass),
                            number("hold_bytes", MEGABYTE, 0, 64 * MEGABYTE),
                            number("max_held_bytes", 4 * MEGABYTE, 1024, 256 * MEGABYTE),
                            number("max_result_bytes", 0, 0, most),
                            (int)
                                    number(
                                            "max_message_bytes",
                                            65 * MEGABYTE,
                                            1024,
                                            Integer.MAX_VALUE),
                            (int) number("window_bytes", MEGABYTE, 65_535, 64 * MEGABYTE),
                            number("stream_bytes", 128 * MEGABYTE, 65_535, most),
                            number("bytes_in_flight", 32 * MEGABYTE, 1024, most),
                            count("connections", 340),
                            count("calls", 10_000),
                            count("calls_per_client", 1_000),
                            number("stall_ms", 20_000, 1, most) * 1000,
                            choice("endpoints", "one", "several", "one"),
                            choice("info_schema", "ask", "ask", "none"),
                            count("statements", 4096),
                            count("statements_per_client", 512),
                            number("statement_kept_s", 600, 1, 1_000_000) * SECOND,
                            number("ticket_kept_s", 60, 1, 1_000_000) * SECOND,
                            number("parameter_bytes", MEGABYTE, 1024, 64 * MEGABYTE),
                            count("transactions_per_client", 8),
                            count("transactions_per_engine", 64),
                            number("transaction_idle_ms", 60_000, 1, 1_000_000_000) * 1000,
                            number("metadata_life_ms", 10_000, 0, 1_000_000_000) * 1000,
                            number("metadata_bytes", 8 * MEGABYTE, 1024, 256 * MEGABYTE),
                            number("poll_wait_ms", 1_000, 1, 1_000_000_000) * 1000,
                            number("ingest_s", 600, 1, 1_000_000) * SECOND,
                            users.isEmpty() ? null : sibling(users),
                            number("token_life_s", 3600, 1, 100_000_000) * SECOND,
                            count("sessions", 10_000),
                            flag("pass_tokens"),
                            (int) number("threads", 2, 1, 64));
            for (String key : root.names()) {
                if (!known.contains(key)) {
                    throw new InvalidInputException("unknown key '" + key + "'");
                }
            }
            return out;
        }

        /** A file beside this one, or anywhere by its whole path. */
        private Path sibling(String name) {
            return path.resolveSibling(name);
        }
    }
}
