// SPDX-License-Identifier: Apache-2.0
package calicostream.admin;

import calicostream.net.Connection;
import calicostream.net.Listener;
import calicostream.net.RingBuffer;
import calicostream.net.SelectorLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Serves the operators' address: HTTP/1.1, one request a connection. The event loop serves it
 * before other connections, so that a request is answered in time however busy the server is. All
 * calls are the event loop's.
 */
public final class AdminServer implements Listener.Acceptor {
    /** Open connections at most; so many file descriptors are kept for them. */
    public static final int MAX_CONNECTIONS = 16;

    private static final int MAX_HEAD_BYTES = 4096;
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;

    /** Time to send a complete request: clients wait for half of it. */
    private static final long REQUEST_TIMEOUT_MICROS = 2_000_000;

    /** A connection that is older and still open may be evicted for a new one. */
    private static final long MIN_AGE_FOR_EVICTION_MICROS = 100_000;

    private final SelectorLoop loop;
    private final AdminRequestHandler handler;

    /** Open connections, the oldest first. */
    private final Set<AdminConnection> connections = new LinkedHashSet<>();

    private Listener listener;

    /** Creates a server that does not listen yet. */
    public AdminServer(SelectorLoop loop, AdminOperations operations) {
        this.loop = loop;
        handler = new AdminRequestHandler(operations);
    }

    /**
     * Starts to listen.
     *
     * @throws IOException where the address can't be bound
     */
    public void listen(InetSocketAddress address) throws IOException {
        listener = Listener.urgent(loop, address, MAX_CONNECTIONS, this);
    }

    /** The port that it listens on. */
    public int port() throws IOException {
        return listener.port();
    }

    @Override
    public void accepted(SocketChannel channel) throws IOException {
        new AdminConnection(channel);
    }

    /** Evicts a connection that has its response, else the oldest one that is not new. */
    @Override
    public boolean evictOne() {
        long now = loop.clock().now();
        return evictFirst(connection -> connection.responded)
                || evictFirst(
                        connection -> now - connection.openedAt > MIN_AGE_FOR_EVICTION_MICROS);
    }

    private boolean evictFirst(Predicate<AdminConnection> evictable) {
        for (AdminConnection each : connections) {
            if (evictable.test(each)) {
                each.connection.close();
                return true;
            }
        }
        return false;
    }

    /** One connection and its one request. */
    private final class AdminConnection implements Connection.Handler {
        private final Connection connection;
        private final long openedAt = loop.clock().now();
        private boolean responded;

        AdminConnection(SocketChannel channel) throws IOException {
            connection =
                    Connection.ofAcceptedUrgent(
                            loop, channel, this, MAX_HEAD_BYTES, MAX_RESPONSE_BYTES);
            connections.add(this);
            loop.deadlines()
                    .add(openedAt + REQUEST_TIMEOUT_MICROS, (now, reference) -> timedOut(), 0);
        }

        private void timedOut() {
            if (responded || connection.isClosed()) {
                return;
            }
            if (connection.input().size() > 0) {
                respond(HttpResponse.ofStatus(408, "Request Timeout"));
            } else {
                connection.close();
            }
        }

        @Override
        public void received(Connection ignored) {
            if (responded) {
                return;
            }
            RingBuffer input = connection.input();
            if (hasCompleteHead(input)) {
                int lineEnd = input.indexOf((byte) '\n', 0);
                String line =
                        new String(input.copy(0, lineEnd), StandardCharsets.ISO_8859_1)
                                .stripTrailing();
                respond(handler.handle(line));
            } else if (input.remainingCapacity() == 0) {
                respond(HttpResponse.ofStatus(431, "Request Header Fields Too Large"));
            }
        }

        /** Whether the empty line after the header fields has come. */
        private boolean hasCompleteHead(RingBuffer input) {
            int lineEnd = input.indexOf((byte) '\n', 0);
            while (lineEnd >= 0) {
                int next = lineEnd + 1;
                if (next < input.size() && input.get(next) == '\r') {
                    next++;
                }
                if (next < input.size() && input.get(next) == '\n') {
                    return true;
                }
                lineEnd = input.indexOf((byte) '\n', lineEnd + 1);
            }
            return false;
        }

        private void respond(HttpResponse response) {
            responded = true;
            connection.write(response.toBytes());
            connection.flushNow();
            connection.closeGracefully();
        }

        @Override
        public void closed(Connection ignored) {
            connections.remove(this);
            listener.connectionClosed();
        }
    }
}
