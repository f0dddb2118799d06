// SPDX-License-Identifier: Apache-2.0
package calicostream.wire;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * The system's own table of TCP connections: what has arrived at a socket whose owner has not
 * looked yet.
 */
public final class SocketTable {
    private static final int SYN_SENT = 2;
    private static final int CLOSE_WAIT = 8;

    private record Row(int local, int remote, int state, long unread) {}

    private SocketTable() {}

    private static List<Row> rows() throws IOException {
        List<Row> out = new ArrayList<>();
        for (String table : new String[] {"/proc/net/tcp", "/proc/net/tcp6"}) {
            Path path = Path.of(table);
            List<String> lines = Files.exists(path) ? Files.readAllLines(path) : List.of("");
            for (String line : lines.subList(1, lines.size())) {
                String[] words = line.trim().split("\\s+");
                out.add(
                        new Row(
                                port(words[1]),
                                port(words[2]),
                                Integer.parseInt(words[3], 16),
                                Long.parseLong(words[4].substring(words[4].indexOf(':') + 1), 16)));
            }
        }
        return out;
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1), 16);
    }

    private static void await(String what, Predicate<Row> found) throws IOException {
        long end = System.nanoTime() + ServerProgram.PATIENCE_MS * 1_000_000;
        while (rows().stream().noneMatch(found)) {
            if (System.nanoTime() > end) {
                throw new AssertionError("no socket " + what);
            }
            Thread.onSpinWait();
        }
    }

    /** Waits until the other side's end has arrived at the socket with these ports. */
    public static void awaitEnd(int local, int remote) throws IOException {
        await(
                "that the other side has ended",
                r -> r.local == local && r.remote == remote && r.state == CLOSE_WAIT);
    }

    /** Waits until the socket with these ports is gone, as the other side has reset it. */
    public static void awaitReset(int local, int remote) throws IOException {
        long end = System.nanoTime() + ServerProgram.PATIENCE_MS * 1_000_000;
        while (rows().stream().anyMatch(r -> r.local == local && r.remote == remote)) {
            if (System.nanoTime() > end) {
                throw new AssertionError("a socket that was not reset");
            }
            Thread.onSpinWait();
        }
    }

    /** Whether the other side's end has arrived at the socket with these ports. */
    public static boolean hasEnded(int local, int remote) throws IOException {
        return rows().stream()
                .anyMatch(r -> r.local == local && r.remote == remote && r.state == CLOSE_WAIT);
    }

    /** Waits until so many bytes lie unread in the socket with these ports. */
    public static void awaitUnread(int local, int remote, int bytes) throws IOException {
        await(
                "with " + bytes + " unread bytes",
                r -> r.local == local && r.remote == remote && r.unread >= bytes);
    }

    /** Waits until nothing lies unread in the socket with these ports, or it is closed. */
    public static void awaitRead(int local, int remote) throws IOException {
        long end = System.nanoTime() + ServerProgram.PATIENCE_MS * 1_000_000;
        while (rows().stream()
                .anyMatch(r -> r.local == local && r.remote == remote && r.unread > 0)) {
            if (System.nanoTime() > end) {
                throw new AssertionError("bytes that are not read");
            }
            Thread.onSpinWait();
        }
    }

    /** Waits until a connection to this port is asked for that does not come up. */
    public static void awaitAsked(int remote) throws IOException {
        await("that waits for its connection", r -> r.remote == remote && r.state == SYN_SENT);
    }

    /**
     * Waits until no connection to this port is being asked for: a channel that is closed goes with
     * the selector's next turn.
     */
    public static void awaitNobodyAsks(int remote) throws IOException {
        long end = System.nanoTime() + ServerProgram.PATIENCE_MS * 1_000_000;
        while (rows().stream().anyMatch(r -> r.remote == remote && r.state == SYN_SENT)) {
            if (System.nanoTime() > end) {
                throw new AssertionError("it is still on its way there");
            }
            Thread.onSpinWait();
        }
    }
}
