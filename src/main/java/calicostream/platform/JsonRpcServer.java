// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.core.FailureReason;
import calicostream.core.Gateway;
import calicostream.core.IncomingRequest;
import calicostream.core.RequestResult;
import calicostream.core.ResponseHandler;
import calicostream.core.SlotTable;
import calicostream.net.Connection;
import calicostream.net.Listener;
import calicostream.net.RingBuffer;
import calicostream.net.SelectorLoop;
import calicostream.routing.Query;
import calicostream.sql.TableGroupScanner;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Function;

/** The platform's clients: JSON-RPC 2.0, one message a line. */
final class JsonRpcServer implements ResponseHandler, Listener.Acceptor {
    private static final int BOUND_IN = 128 * 1024;
    private static final int BOUND_OUT = 128 * 1024;
    private static final int MOST_OPEN = 32;
    private static final int LINES_A_TURN = 8; // of one client, before the others have their turn
    private static final long SPEAKS = 2_000_000; // us for a client never served to begin to ask
    private static final long HALF_LINE = 2_600_000; // us to end a line: some write theirs in 2 s
    private static final long PIECES =
            1_100_000; // us between pieces of a line that is still being written
    private static final long REST =
            8_000_000; // us without a request: usual clients close after half of it
    private static final long SAYS_SOON =
            250_000; // us after which a client that connects has its reason to
    private static final long HEARD = 20_000; // us in which what a client sent has surely been read
    private static final long LET_GO = 20_000; // us between its looks for those
    private static final long LOOK = 200_000; // us between looks for clients that stalled or rest
    private static final int LITTLE =
            8 * 1024; // bytes that one client may hold where memory is short
    private static final long ON_THE_WAY =
            50_000; // us of a client's time that pass outside of us: the rules' slack on sockets
    private static final long MOST_PART = 10; // at most so little of a short time
    private static final long WAIT_FOLD =
            10; // of the longest deadline: no client waits for that long
    private final SelectorLoop loop;
    private final Gateway gateway;
    private final List<String> classNames;
    private final SlotTable<Pending> pending = new SlotTable<>();
    private final Set<JsonRpcClientConnection> clients = new HashSet<>();
    private final Set<String> openIds = new HashSet<>();
    private final Function<RequestResult, byte[]> text;
    private final double longestWaitMs;
    private Listener listener;
    private int mostClients = 1;
    private long lastMoment = Long.MAX_VALUE;

    /** A request taken and not answered, with the connection that waits for it. */
    private static final class Pending {
        final JsonRpcClientConnection client;
        final long id;
        final String requestId;
        long handle;

        Pending(JsonRpcClientConnection client, long id, String requestId) {
            this.client = client;
            this.id = id;
            this.requestId = requestId;
        }
    }

    /** {@code text} turns a result, as the engine side gives it, into rows of text. */
    JsonRpcServer(
            SelectorLoop loop,
            Gateway gateway,
            List<String> classNames,
            long longestDeadlineUs,
            Function<RequestResult, byte[]> text) {
        this.text = text;
        longestWaitMs = WAIT_FOLD * Math.max(1000, longestDeadlineUs / 1000);
        this.loop = loop;
        this.gateway = gateway;
        this.classNames = classNames;
    }

    void listen(InetSocketAddress at) throws IOException {
        listener = new Listener(loop, at, mostClients, this);
        look(loop.clock().now(), 0);
    }

    /** How many clients may be connected from now on. */
    void most(int count) {
        mostClients = count;
        if (listener != null) {
            listener.setMaxConnections(count);
        }
    }

    /**
     * No new clients from now on. Those here are served on and closed with their last answer; who
     * rests is closed from {@code restsUntil} on. What is asked must be answered by {@code last}.
     */
    void retire(long restsUntil, long last) throws IOException {
        lastMoment = last;
        loop.deadlines()
                .add(
                        restsUntil,
                        this::letGo,
                        0); // Also where no descriptor is left to take the rest with.
        listener.acceptPendingAndClose();
    }

    private void letGo(long now, long ref) {
        List.copyOf(clients).forEach(JsonRpcClientConnection::letGo);
        loop.deadlines().add(now + LET_GO, this::letGo, 0);
    }

    /** Those that have not gone, for the log. */
    String left() {
        return clients.stream()
                .map(
                        c ->
                                (c.connection.isClosing() ? "ended" : "open")
                                        + " "
                                        + c.open.size()
                                        + "+"
                                        + c.waiting.size()
                                        + ","
                                        + c.connection.input().size()
                                        + ","
                                        + c.connection.unsentBytes()
                                        + ","
                                        + (loop.clock().now() - c.restsSince) / 1000)
                .toList()
                .toString();
    }

    /** Whether all clients have gone. */
    boolean isEmpty() {
        return clients.isEmpty();
    }

    int port() throws IOException {
        return listener.port();
    }

    @Override
    public void accepted(SocketChannel channel) throws IOException {
        new JsonRpcClientConnection(channel);
    }

    /**
     * Some clients ask once and stay, others connect and say nothing: neither may keep the rest
     * out. What has come from one and was not read is a reason to keep it: closed over that, its
     * connection would be reset.
     */
    @Override
    public boolean evictOne() {
        long now = loop.clock().now();
        Comparator<JsonRpcClientConnection> order =
                Comparator.comparingInt((JsonRpcClientConnection c) -> c.need(now))
                        .thenComparingLong(c -> c.restsSince);
        PriorityQueue<JsonRpcClientConnection> spared = new PriorityQueue<>(order);
        clients.stream()
                .filter(c -> c.need(now) < JsonRpcClientConnection.NEEDED)
                .forEach(spared::add);
        for (JsonRpcClientConnection least = spared.poll(); least != null; least = spared.poll()) {
            if (least.saysNothing(now)) {
                least.connection.close();
                return true;
            }
        }
        return false;
    }

    private void look(long now, long ref) {
        for (JsonRpcClientConnection each : List.copyOf(clients)) {
            each.look(now);
        }
        loop.deadlines().add(now + LOOK, this::look, 0);
    }

    // ---- Answers from the core
    // ---------------------------------------------------------------------------
    @Override
    public void served(long tag, RequestResult result) {
        Pending p = pending.get(tag);
        if (p != null) {
            p.client.served = true;
        }
        answer(tag, each -> JsonRpc.result(each.id, text.apply(result)));
    }

    @Override
    public void rejected(long tag, long retryAfterMs) {
        answer(tag, p -> JsonRpc.refused(p.id, retryAfterMs));
    }

    @Override
    public void failed(long tag, FailureReason why) {
        answer(
                tag,
                p ->
                        JsonRpc.error(
                                Long.toString(p.id),
                                JsonRpc.FAILED,
                                why == FailureReason.DEADLINE
                                        ? "not answered in time"
                                        : "failed; it may have run"));
    }

    @Override
    public InetSocketAddress localAddress(long tag) {
        Pending p = pending.get(tag);
        return p == null ? null : p.client.connection.localAddress();
    }

    @Override
    public InetAddress clientAddress(long tag) {
        Pending p = pending.get(tag);
        InetSocketAddress remote = p == null ? null : p.client.connection.remoteAddress();
        return remote == null ? null : remote.getAddress();
    }

    @Override
    public boolean isClientGone(long tag) {
        Pending p = pending.get(tag);
        return p == null || p.client.hasLeft(p);
    }

    private interface Wording {
        byte[] of(Pending pending);
    }

    private void answer(long tag, Wording wording) {
        Pending p = pending.remove(tag);
        if (p != null) {
            openIds.remove(p.requestId);
            p.client.open.remove(p.id);
            p.client.write(wording.of(p));
            p.client.rests();
            p.client.endIfServed();
            if (lastMoment
                    < Long.MAX_VALUE) { // Best closed with an answer: no request crosses that.
                loop.runBeforeSelect(p.client::letGo);
            }
        }
    }

    /** One client's connection. */
    private final class JsonRpcClientConnection implements Connection.Handler {
        static final int NEEDED = 3;
        final Connection connection;
        final Map<Long, Long> open = new HashMap<>();
        final ArrayDeque<byte[]> waiting = new ArrayDeque<>();
        long lastId;
        long restsSince = loop.clock().now();
        long lineSince;
        long heardAt;
        final PendingCancellations cancels;
        int scanned;
        boolean served, refusesInput;

        JsonRpcClientConnection(SocketChannel channel) throws IOException {
            connection = Connection.ofAccepted(loop, channel, this, BOUND_IN, BOUND_OUT);
            cancels = new PendingCancellations(connection.input());
            clients.add(this);
        }

        /**
         * How much it would be missed: least one that keeps silent, then one that rests, then a new
         * one.
         */
        int need(long now) {
            boolean busy = !open.isEmpty() || !waiting.isEmpty() || connection.unsentBytes() > 0;
            long rested = now - restsSince;
            boolean writes = connection.input().size() > 0 && now - heardAt < PIECES;
            return busy || rested < HEARD
                    ? NEEDED
                    : writes ? 2 : served ? 1 : rested > SAYS_SOON ? 0 : 2;
        }

        /** A client that does not read gets no more read from it until its answers have gone. */
        void write(byte[] answer) {
            if (!connection.isClosed() && (!waiting.isEmpty() || !connection.write(answer))) {
                waiting.add(answer);
                loop.bufferMemory().add(answer.length);
                connection.setReadPaused(true);
                if (loop.isUnderMemoryPressure()) { // It will not read what it is owed, and others
                    // need the
                    // room.
                    loop.runBeforeSelect(connection::close);
                }
            }
        }

        @Override
        public void drained(Connection c) {
            while (!waiting.isEmpty() && c.write(waiting.peek())) {
                loop.bufferMemory().add(-waiting.poll().length);
            }
            if (waiting.isEmpty()) {
                c.setReadPaused(false);
            }
        }

        /**
         * Takes a few whole lines; the rest waits until the other connections have had their turn.
         */
        @Override
        public void received(Connection c) {
            RingBuffer in = c.input();
            if (refusesInput) {
                skip(in, in.size());
                return;
            }
            heardAt = loop.clock().now();
            lineSince = scanned == 0 ? loop.clock().now() : lineSince;
            for (int i = 0;
                    i < LINES_A_TURN && waiting.isEmpty() && !c.isClosed() && !c.isClosing();
                    i++) {
                int end = in.indexOf((byte) '\n', scanned);
                scanned = end < 0 ? in.size() : 0;
                if (end < 0) {
                    break;
                }
                byte[] line = in.copy(0, end);
                skip(in, end + 1);
                lineSince = loop.clock().now();
                line(line);
            }
            if (scanned < in.size()) {
                c.processNextIteration();
            } else if (in.remainingCapacity() == 0
                    || in.size() > LITTLE && loop.isUnderMemoryPressure()) {
                end("the line is too long");
            }
            if (served) { // Who sends nothing that can be used has rested since it came.
                rests();
            }
        }

        private void skip(RingBuffer in, int count) {
            in.skip(count);
            cancels.taken(count);
        }

        /** Nothing more is taken from it; what it had asked before is still answered. */
        private void end(String why) {
            write(JsonRpc.error("null", JsonRpc.INVALID_REQUEST, why));
            refusesInput = true;
            skip(connection.input(), connection.input().size());
            scanned = 0;
            endIfServed();
        }

        void endIfServed() {
            if (refusesInput && open.isEmpty()) {
                connection.closeGracefully();
            }
        }

        /**
         * Whether it has gone or cancelled the request, also by what was not handled yet: it may
         * wait behind other requests.
         */
        boolean hasLeft(Pending p) {
            return connection.hasPeerClosed() || cancels.name(p.id, p.requestId);
        }

        /**
         * Whether nothing has come from it that was not handled, or nothing of use for so long that
         * this is no more likely to be.
         */
        boolean saysNothing(long now) {
            int known = connection.input().size();
            return connection.hasPeerClosed()
                    || connection.input().size() == known
                    || isUseless(now);
        }

        /**
         * Some only ever send what is no request: a client that has said nothing else for this long
         * need not be heard out.
         */
        private boolean isUseless(long now) {
            return !served && open.isEmpty() && now - restsSince > 2 * SPEAKS;
        }

        /** From now on, unless a request is open. */
        void rests() {
            if (open.isEmpty()) {
                restsSince = loop.clock().now();
            }
        }

        /** Ends it unless something is open, unsaid or unread. */
        void letGo() {
            if (open.isEmpty()
                    && waiting.isEmpty()
                    && !connection.isClosing()
                    && connection.input().size() == 0
                    && connection.readAndCheckIdle()
                    && open.isEmpty()) {
                connection.closeGracefully();
            }
        }

        /**
         * Who stops half-way or says nothing is told so in time; who has had its answer need not
         * stay.
         */
        void look(long now) {
            boolean half = connection.input().size() > 0 && scanned == connection.input().size();
            if (connection.isClosing() || !open.isEmpty() || !waiting.isEmpty()) {
                return;
            }
            if (half && now - (served ? lineSince : restsSince) > HALF_LINE) {
                end("the line did not end in time");
            } else if (isUseless(now)) {
                connection.closeGracefully();
            } else if (now - restsSince > (served ? REST : SPEAKS)) {
                letGo();
            }
        }

        @Override
        public void closed(Connection c) {
            waiting.forEach(each -> loop.bufferMemory().add(-each.length));
            waiting.clear();
            clients.remove(this);
            listener.connectionClosed();
            for (long tag : List.copyOf(open.values())) {
                Pending p = pending.remove(tag);
                openIds.remove(p.requestId);
                gateway.abandon(p.handle);
            }
            open.clear();
        }

        private void line(byte[] line) {
            if (line.length == 0 || line.length == 1 && line[0] == '\r') {
                return;
            }
            JsonRpc message;
            try {
                message = JsonRpc.read(line);
            } catch (JsonRpc.NotJson e) {
                write(JsonRpc.error("null", JsonRpc.PARSE_ERROR, "not JSON"));
                return;
            }
            boolean hasId =
                    message.id >= 1
                            && message.id <= 1L << 53
                            && message.id == Math.rint(message.id);
            String id = hasId ? Long.toString((long) message.id) : "null";
            if (!message.isObject || !"2.0".equals(message.version) || message.method == null) {
                write(JsonRpc.error(id, JsonRpc.INVALID_REQUEST, "not a request of JSON-RPC 2.0"));
            } else if (message.method.equals("interrupt")) {
                interrupt(message);
            } else if (!hasId) {
                write(
                        JsonRpc.error(
                                id, JsonRpc.INVALID_REQUEST, "the id is not a number from 1 up"));
            } else if (message.method.equals("check")) {
                served = true;
                write(JsonRpc.pass(id));
            } else if (!classNames.contains(message.method)) {
                write(JsonRpc.error(id, JsonRpc.METHOD_NOT_FOUND, "no such method"));
            } else {
                request(message, (long) message.id);
            }
        }

        private void request(JsonRpc message, long id) {
            byte[] body = body(message.content);
            boolean usable =
                    message.requestId != null
                            && message.requestId.matches("[0-9a-fA-F]{16}")
                            && message.wait > 0
                            && message.wait <= longestWaitMs
                            && body != null
                            && message.hasUsableMarks();
            if (open.containsKey(id) || id <= lastId && lastId - id > 4 * MOST_OPEN) {
                // Under its number the answer would be taken for that of the request which is open.
                write(JsonRpc.error("null", JsonRpc.INVALID_REQUEST, "the id was used before"));
                return;
            }
            lastId = Math.max(lastId, id);
            if (!usable || !openIds.add(message.requestId)) {
                write(
                        JsonRpc.error(
                                Long.toString(id),
                                JsonRpc.INVALID_PARAMS,
                                "the params can't be used"));
                return;
            }
            long untilLast = lastMoment - loop.clock().now();
            if (open.size() >= MOST_OPEN
                    || untilLast < ON_THE_WAY) { // No engine would answer before this process ends.
                openIds.remove(message.requestId);
                gateway.recordRejection(classNames.indexOf(message.method));
                write(JsonRpc.refused(id, 100));
                return;
            }
            Pending p = new Pending(this, id, message.requestId);
            long tag = pending.add(p);
            open.put(id, tag);
            long left = Math.min(timeLeft(message), untilLast);
            int group = Math.max(0, TableGroupScanner.tableGroup(body));
            Query asked =
                    new Query(
                            0,
                            classNames.indexOf(message.method),
                            0,
                            message.key(),
                            left,
                            message.work * 1000,
                            message.memory,
                            group,
                            message.retry == 1,
                            0);
            p.handle =
                    gateway.accept(
                            new IncomingRequest(
                                    JsonRpcServer.this,
                                    tag,
                                    message.requestId,
                                    asked,
                                    body,
                                    message.repeatKey == null
                                            ? null
                                            : new IdempotencyKey(message.repeatKey)));
        }

        /**
         * The client's time began when it wrote, and our answer has to be there and read by its
         * end.
         */
        private long timeLeft(JsonRpc message) {
            long wait = (long) (message.wait * 1000);
            return Math.max(1, wait - Math.min(ON_THE_WAY, wait / MOST_PART));
        }

        private byte[] body(String content) {
            try {
                return content == null ? null : Base64.getDecoder().decode(content);
            } catch (IllegalArgumentException e) {
                return null;
            }
        }

        /**
         * The client no longer waits; it names the request by its id on the connection, or by its
         * own id.
         */
        private void interrupt(JsonRpc message) {
            cancels.handled(message);
            Long tag = open.get(PendingCancellations.number(message));
            for (long each : open.values()) {
                Pending p = pending.get(each);
                tag = p != null && p.requestId.equals(message.requestId) ? Long.valueOf(each) : tag;
            }
            Pending p = tag == null ? null : pending.remove(tag);
            if (p != null) {
                open.remove(p.id);
                openIds.remove(p.requestId);
                gateway.abandon(p.handle);
                endIfServed();
            }
        }
    }
}
