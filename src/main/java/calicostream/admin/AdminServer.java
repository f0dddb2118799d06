// SPDX-License-Identifier: Apache-2.0
package calicostream.admin;

import calicostream.net.Connection;
import calicostream.net.Listener;
import calicostream.net.RingBuffer;
import calicostream.net.SelectorLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The operators' address: HTTP/1.1, one call a connection. The loop serves it before all else, so
 * that a call is answered in time however busy the front end is.
 */
public final class AdminServer implements Listener.Acceptor {
    /** Descriptors kept for callers. */
    public static final int MAX_CONNECTIONS = 16;

    private static final int LONGEST_HEAD = 4096;
    private static final int BOUND_OUT = 64 * 1024;
    private static final long PATIENCE =
            2_000_000; // us to send a whole call: callers wait for half of it
    private static final long SPEAKS = 100_000; // us in which a caller surely has begun to
    private static final Pattern LINE = Pattern.compile("([A-Z]+) (/\\S*) HTTP/1\\.\\d");
    private static final Pattern ENGINE = Pattern.compile("/-/engines/([^/]+)/(disable|enable)");
    private static final Pattern PART = Pattern.compile("/-/([a-z]+)(?:/(.+))?");
    private final SelectorLoop loop;
    private final AdminOperations operator;
    private final Set<Caller> callers = new LinkedHashSet<>(); // the oldest first
    private Listener listener;

    public AdminServer(SelectorLoop loop, AdminOperations operator) {
        this.loop = loop;
        this.operator = operator;
    }

    public void listen(InetSocketAddress at) throws IOException {
        listener = Listener.urgent(loop, at, MAX_CONNECTIONS, this);
    }

    public int port() throws IOException {
        return listener.port();
    }

    @Override
    public void accepted(SocketChannel channel) throws IOException {
        new Caller(channel);
    }

    /** Who has its answer goes first, then who keeps silent for longest. */
    @Override
    public boolean evictOne() {
        long now = loop.clock().now();
        Caller spared =
                callers.stream()
                        .filter(c -> c.answered)
                        .findFirst()
                        .orElseGet(
                                () ->
                                        callers.stream()
                                                .filter(c -> now - c.since > SPEAKS)
                                                .findFirst()
                                                .orElse(null));
        if (spared != null) {
            spared.connection.close();
        }
        return spared != null;
    }

    private record Reply(int status, String reason, String type, String body, String more) {
        static Reply text(int status, String reason) {
            return new Reply(status, reason, "text/plain", reason + "\n", "");
        }

        byte[] bytes() {
            byte[] content = body.getBytes(StandardCharsets.UTF_8);
            return ("HTTP/1.1 "
                            + status
                            + " "
                            + reason
                            + "\r\nContent-Type: "
                            + type
                            + "\r\nContent-Length: "
                            + content.length
                            + "\r\nCache-Control: no-store\r\n"
                            + more
                            + "Connection: close\r\n\r\n"
                            + body)
                    .getBytes(StandardCharsets.UTF_8);
        }
    }

    private Reply reply(String line) {
        Matcher call = LINE.matcher(line);
        if (!call.matches()) {
            return Reply.text(400, "Bad Request");
        }
        String method = call.group(1);
        String path = call.group(2).replaceFirst("\\?.*", "");
        Matcher engine = ENGINE.matcher(path);
        if (engine.matches()) {
            return method.equals("POST")
                    ? setAside(engine.group(1), engine.group(2))
                    : notAllowed("POST");
        }
        if (!path.equals("/-/ready") && !path.equals("/-/metrics")) {
            return part(method, path);
        }
        if (!method.equals("GET")) {
            return notAllowed("GET");
        }
        if (path.equals("/-/metrics")) {
            return new Reply(200, "OK", "application/json", operator.metricsJson() + "\n", "");
        }
        return operator.isReady() ? Reply.text(200, "OK") : Reply.text(503, "Service Unavailable");
    }

    /** What a part of the program that is on tells, and words to it. */
    private Reply part(String method, String path) {
        Matcher part = PART.matcher(path);
        String signs = part.matches() ? operator.statusJson(part.group(1)) : null;
        if (signs == null) {
            return Reply.text(404, "Not Found");
        }
        if (part.group(2) == null) {
            return method.equals("GET")
                    ? new Reply(200, "OK", "application/json", signs + "\n", "")
                    : notAllowed("GET");
        }
        if (!method.equals("POST")) {
            return notAllowed("POST");
        }
        String refusal = operator.executeCommand(part.group(1), part.group(2));
        return refusal == null
                ? Reply.text(404, "Not Found")
                : refusal.isEmpty()
                        ? Reply.text(202, "Accepted")
                        : new Reply(409, "Conflict", "text/plain", refusal + "\n", "");
    }

    private static Reply notAllowed(String allowed) {
        return new Reply(
                405,
                "Method Not Allowed",
                "text/plain",
                "Method Not Allowed\n",
                "Allow: " + allowed + "\r\n");
    }

    private Reply setAside(String encoded, String how) {
        String id;
        try {
            id = URLDecoder.decode(encoded.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return Reply.text(400, "Bad Request");
        }
        boolean known =
                how.equals("disable") ? operator.disableEngine(id) : operator.enableEngine(id);
        return known ? Reply.text(200, "OK") : Reply.text(404, "Not Found");
    }

    /** One caller and its one call. */
    private final class Caller implements Connection.Handler {
        final Connection connection;
        final long since = loop.clock().now();
        boolean answered;

        Caller(SocketChannel channel) throws IOException {
            connection = Connection.ofAcceptedUrgent(loop, channel, this, LONGEST_HEAD, BOUND_OUT);
            callers.add(this);
            loop.deadlines()
                    .add(
                            since + PATIENCE,
                            (now, ref) -> {
                                if (!answered && !connection.isClosed()) {
                                    late();
                                }
                            },
                            0);
        }

        private void late() {
            if (connection.input().size() > 0) {
                answer(Reply.text(408, "Request Timeout"));
            } else {
                connection.close();
            }
        }

        @Override
        public void received(Connection c) {
            RingBuffer in = c.input();
            int lineEnd = in.indexOf((byte) '\n', 0);
            if (answered || lineEnd < 0 && in.remainingCapacity() > 0) {
                return;
            }
            if (lineEnd >= 0 && hasEnded(in)) {
                answer(
                        reply(
                                new String(in.copy(0, lineEnd), StandardCharsets.ISO_8859_1)
                                        .stripTrailing()));
            } else if (in.remainingCapacity() == 0) {
                answer(Reply.text(431, "Request Header Fields Too Large"));
            }
        }

        /** Whether an empty line has come. */
        private boolean hasEnded(RingBuffer in) {
            for (int at = in.indexOf((byte) '\n', 0);
                    at >= 0;
                    at = in.indexOf((byte) '\n', at + 1)) {
                int next = at + 1 < in.size() && in.get(at + 1) == '\r' ? at + 2 : at + 1;
                if (next < in.size() && in.get(next) == '\n') {
                    return true;
                }
            }
            return false;
        }

        private void answer(Reply reply) {
            answered = true;
            connection.write(reply.bytes());
            connection.flushNow();
            connection.closeGracefully();
        }

        @Override
        public void closed(Connection c) {
            callers.remove(this);
            listener.connectionClosed();
        }
    }
}
