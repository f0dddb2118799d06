// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.net.BadInput;
import calicostream.net.Connection;
import calicostream.net.Loop;
import calicostream.net.Ring;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Follows the change log's server-sent events, and asks again from the last one seen when they stop. */
final class ChangeLog implements Connection.Handler {
    private static final Logger LOG = LoggerFactory.getLogger(ChangeLog.class);
    private static final int BOUND = 1024 * 1024; // a whole list of hundreds of engines
    private static final long SILENT = 3_000_000; // us: a comment comes each second
    private static final long FIRST_PAUSE = 50_000; // us before a new connection, doubled up to the longest
    private static final long LONGEST_PAUSE = 800_000; // us: what the log holds counts as told within seconds
    private final Loop loop;
    private final InetSocketAddress address;
    private final Roster roster;
    private final Consumer<Roster.Change> changed;
    private Connection connection;
    private long seq;
    private long pause = FIRST_PAUSE;
    private long heardAt;
    private boolean chunked, inBody, skipsChunkEnd;
    private long chunkLeft;
    private final StringBuilder line = new StringBuilder();
    private final StringBuilder data = new StringBuilder();
    private String status;

    ChangeLog(Loop loop, InetSocketAddress address, Roster roster, long seq, Consumer<Roster.Change> changed) {
        this.loop = loop;
        this.address = address;
        this.roster = roster;
        this.seq = seq;
        this.changed = changed;
    }

    void start() {
        connect();
        watch(loop.clock().now(), 0);
    }

    private void connect() {
        status = null;
        inBody = chunked = skipsChunkEnd = false;
        chunkLeft = 0;
        line.setLength(0);
        data.setLength(0);
        heardAt = loop.clock().now();
        try {
            connection = Connection.to(loop, address, this, BOUND, 4096);
            connection.write(("GET /changes HTTP/1.1\r\nHost: " + address.getHostString() + ":" + address.getPort()
                    + "\r\nAccept: text/event-stream\r\nLast-Event-ID: " + seq + "\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            LOG.warn("change log: {}", e.toString());
            loop.deadlines().add(heardAt + LONGEST_PAUSE, (now, ref) -> connect(), 0);
        }
    }

    /** A log that falls silent without closing would leave this front end with an old list for good. */
    private void watch(long now, long ref) {
        if (now - heardAt > SILENT && connection != null && !connection.isClosed()) {
            connection.close();
        }
        loop.deadlines().add(now + SILENT / 6, this::watch, 0);
    }

    @Override
    public void connected(Connection c) {
        heardAt = loop.clock().now();
    }

    @Override
    public void closed(Connection c) {
        loop.deadlines().add(loop.clock().now() + pause, (now, ref) -> connect(), 0);
        pause = Math.min(LONGEST_PAUSE, pause * 2);
    }

    @Override
    public void received(Connection c) {
        heardAt = loop.clock().now();
        try {
            while (step(c.in()) && !c.isClosed()) {
                // Each step takes one line, or one chunk's edge.
            }
            if (c.in().room() == 0 || line.length() > BOUND || data.length() > BOUND) {
                throw new BadInput("an event is too long");
            }
        } catch (BadInput e) {
            LOG.warn("change log: {}", e.getMessage());
            c.close();
        }
    }

    /** Takes what it can use next; false where more bytes are needed. */
    private boolean step(Ring in) throws BadInput {
        if (inBody && chunked && chunkLeft == 0) {
            return chunkHead(in);
        }
        int end = in.indexOf((byte) '\n', 0);
        int most = inBody && chunked ? (int) Math.min(in.size(), chunkLeft) : in.size();
        int take = end >= 0 && end < most ? end + 1 : inBody ? most : 0;
        if (take == 0) {
            return false;
        }
        String text = new String(in.copy(0, take), StandardCharsets.UTF_8);
        in.skip(take);
        if (inBody && chunked) {
            chunkLeft -= take;
            skipsChunkEnd = chunkLeft == 0;
        }
        line.append(text);
        if (text.endsWith("\n")) {
            String whole = line.toString().stripTrailing();
            line.setLength(0);
            if (inBody) {
                field(whole);
            } else {
                head(whole);
            }
        }
        return true;
    }

    private boolean chunkHead(Ring in) throws BadInput {
        int end = in.indexOf((byte) '\n', 0);
        if (end < 0) {
            return false;
        }
        String text = new String(in.copy(0, end), StandardCharsets.US_ASCII).split(";")[0].trim();
        in.skip(end + 1);
        if (skipsChunkEnd && text.isEmpty()) {
            skipsChunkEnd = false;
            return true;
        }
        try {
            chunkLeft = Long.parseLong(text, 16);
        } catch (NumberFormatException e) {
            throw new BadInput("a chunk's length can't be read");
        }
        if (chunkLeft <= 0) {
            throw new BadInput("the stream ended");
        }
        return true;
    }

    private void head(String header) throws BadInput {
        if (status == null) {
            status = header;
            if (!header.startsWith("HTTP/1.") || !header.contains(" 200")) {
                throw new BadInput("answered '" + header + "'");
            }
        } else if (header.isEmpty()) {
            inBody = true;
        } else {
            String lower = header.toLowerCase(Locale.ROOT);
            chunked |= lower.startsWith("transfer-encoding:") && lower.contains("chunked");
        }
    }

    private void field(String text) throws BadInput {
        if (text.startsWith("data:")) {
            data.append(data.length() > 0 ? "\n" : "").append(text.substring(text.startsWith("data: ") ? 6 : 5));
        } else if (text.isEmpty() && data.length() > 0) {
            Roster.Change change = roster.parse(data.toString());
            data.setLength(0);
            pause = FIRST_PAUSE;
            if (change.seq() > seq) { // One seen already, sent again after a reconnect, may be out of date.
                seq = change.seq();
                changed.accept(change);
            }
        }
    }
}
