// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.core.Clock;
import calicostream.core.Deadlines;
import calicostream.core.FailureReason;
import calicostream.core.Gateway;
import calicostream.core.IncomingRequest;
import calicostream.core.RequestListener;
import calicostream.core.RequestResult;
import calicostream.core.ResponseHandler;
import calicostream.core.TextResult;
import calicostream.net.SelectorLoop;
import calicostream.net.SelectorLoopThread;
import calicostream.routing.EndpointUpdate;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import calicostream.routing.SettingsParser;
import calicostream.wire.ServerProgram;
import calicostream.wire.SocketTable;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A front end's parts on real sockets, in this process. What a test does {@link #on} the loop's
 * thread happens in one turn: what arrives at a socket meanwhile is there and unread, whatever the
 * test does next, so that two events cross in a known order.
 */
final class JsonRpcServerHarness implements AutoCloseable {
    static final int WIDE = 0;
    static final int NARROW = 1; // a kind of engine that takes two requests at once
    static final int LOOK = 0;
    static final int LOAD = 1;
    static final int KEYED = 2;
    static final int IN_TURN = 3;
    static final long WINDOW_MS = 300;
    private static final String SETTINGS =
            "lanes.count=4\n"
                    + "family_info.kind_cores=12,1\n"
                    + "ceilings.dial_timeout_us=60000000\n"
                    + "ceilings.max_attempts=5\n"
                    + "ceilings.cancel=true\n"
                    + "rules.cold_share=0.3\n"
                    + "rules.warm_up_us=14000000\n"
                    + "rules.fall_us=2000000\n"
                    + "rules.overload_factor=4\n"
                    + lane(LOOK, "look", "repeatable")
                    + lane(LOAD, "load", "once")
                    + lane(KEYED, "keyed", "by_key")
                    + lane(IN_TURN, "in-turn", "once")
                    + "lanes.3.one_at_a_time=true\n"
                    + "lanes.2.key_scope=all\nlanes.2.window_us="
                    + WINDOW_MS * 1000
                    + "\n";
    final SettingsParser settings = SettingsParser.ofLines(SETTINGS);
    final SetClock clock = new SetClock();
    final SelectorLoop loop;
    private final SelectorLoopThread thread;
    final RespEngineClient side;
    final Gateway gateway;
    final JsonRpcServer front;
    final List<Client> clients = new ArrayList<>();
    private boolean retired;

    private static String lane(int number, String name, String effect) {
        String at = "lanes." + number + ".";
        return at
                + "name="
                + name
                + "\n"
                + at
                + "effect="
                + effect
                + "\n"
                + at
                + "aim_us=8000000\n"
                + at
                + "deadline_us=9000000\n";
    }

    /**
     * Real time, and what a test adds to it, or one moment that passes only where a test says so.
     */
    static final class SetClock extends Clock {
        private final AtomicLong ahead = new AtomicLong();
        private volatile long stoppedAt;

        void advance(long us) {
            ahead.addAndGet(us);
            stoppedAt += stoppedAt > 0 ? us : 0;
        }

        void stop() {
            stoppedAt = now();
        }

        @Override
        public long now() {
            return stoppedAt > 0 ? stoppedAt : super.now() + ahead.get();
        }
    }

    JsonRpcServerHarness() throws Exception {
        loop = new SelectorLoop(clock, new Deadlines());
        side = new RespEngineClient(loop, settings.classNames(), settings.connectionSettings(), 16);
        gateway = new Gateway(clock, loop.deadlines(), settings.settings(), RequestListener.NONE);
        front =
                new JsonRpcServer(
                        loop,
                        gateway,
                        settings.classNames(),
                        9_000_000,
                        rows -> ((TextResult) rows).text());
        thread = new SelectorLoopThread(loop);
        on(
                () -> {
                    gateway.start(side, List.of());
                    front.setMaxClients(100);
                    front.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                    return null;
                });
    }

    /** Does the work in one turn of the loop. */
    <T> T on(Callable<T> work) throws Exception {
        return thread.call(work);
    }

    /** Waits until all that is due has been done, and what it wrote has gone out. */
    void awaitDue() throws Exception {
        thread.awaitDue();
        on(() -> null); // In the turn after that.
    }

    /** From the loop's thread: an engine in this state. */
    void list(long id, int kind, InetSocketAddress address, EngineLifecycle state) {
        side.setAddress(id, address);
        gateway.endpointsChanged(
                EndpointUpdate.INCREMENTAL, List.of(new EngineEndpoint(id, kind, 0, 0, 0, state)));
    }

    void listed(long id, InetSocketAddress address) throws Exception {
        listed(id, WIDE, address);
    }

    void listed(long id, int kind, InetSocketAddress address) throws Exception {
        on(
                () -> {
                    list(id, kind, address, EngineLifecycle.READY);
                    return null;
                });
    }

    Client client() throws Exception {
        return clientOf(on(front::port));
    }

    /** From any thread. */
    Client clientOf(int port) throws IOException {
        Client client = new Client(port);
        clients.add(client);
        return client;
    }

    /** Waits until so many requests are in hand. */
    void awaitOpen(int count) throws Exception {
        for (long end = System.nanoTime() + ServerProgram.PATIENCE_MS * 1_000_000;
                on(gateway::openRequests) != count; ) {
            if (System.nanoTime() > end) {
                throw new AssertionError(
                        on(gateway::openRequests) + " requests in hand, not " + count);
            }
        }
    }

    /** From the loop's thread: no new clients, and who rests is let go in this turn. */
    void retire() throws IOException {
        retire(3_000_000);
    }

    /** The same where the process ends so soon. */
    void retire(long lastIn) throws IOException {
        retired = true;
        front.drain(clock.now(), clock.now() + lastIn);
    }

    @Override
    public void close() throws Exception {
        on(
                () -> {
                    if (!retired) {
                        retire();
                    }
                    loop.stop();
                    return null;
                });
        for (Client each : clients) {
            each.socket.close();
        }
    }

    /** A line that asks for the request with this number as its id. */
    static String request(String queryClass, int number) {
        return "{\"jsonrpc\":\"2.0\",\"id\":"
                + number
                + ",\"method\":\""
                + queryClass
                + "\",\"params\":{\"i\":\""
                + id(number)
                + "\",\"d\":8000,\"content\":\"c2VsZWN0IDE=\"}}\n";
    }

    static String interrupt(int number) {
        return "{\"jsonrpc\":\"2.0\",\"method\":\"interrupt\",\"params\":{\"id\":"
                + number
                + "}}\n";
    }

    static String id(int number) {
        return String.format("%016x", number);
    }

    /**
     * A client of the front; all of its calls may also be made on the loop's thread, but for {@link
     * #line}.
     */
    static final class Client {
        final Socket socket;
        private final int port;
        private final BufferedReader in;

        Client(int port) throws IOException {
            this.port = port;
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) ServerProgram.PATIENCE_MS);
            in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
        }

        int port() {
            return port;
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }

        /** Sends, and waits until it lies unread at the front: on the loop's thread. */
        void sendUnread(String text) throws IOException {
            send(text);
            SocketTable.awaitUnread(port, socket.getLocalPort(), text.length());
        }

        /** Closes, and waits until the front's socket has heard of it: on the loop's thread. */
        void closeUnread() throws IOException {
            int local = socket.getLocalPort();
            socket.close();
            SocketTable.awaitEnd(port, local);
        }

        /** The same with a reset. */
        void resetUnread() throws IOException {
            int local = socket.getLocalPort();
            socket.setSoLinger(true, 0);
            socket.close();
            SocketTable.awaitReset(port, local);
        }

        /** The next line, or null at the end; a connection that is reset is an exception. */
        String line() throws IOException {
            return in.readLine();
        }
    }

    /** A front whose client leaves when a test says so, which nothing but a question tells. */
    static final class Asker implements ResponseHandler {
        final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
        volatile boolean left;

        @Override
        public boolean isClientGone(long tag) {
            return left;
        }

        @Override
        public void served(long tag, RequestResult result) {
            answers.add(
                    "served "
                            + new String(((TextResult) result).text(), StandardCharsets.UTF_8)
                                    .trim());
        }

        @Override
        public void rejected(long tag, long retryAfterMs) {
            answers.add("refused");
        }

        @Override
        public void failed(long tag, FailureReason why) {
            answers.add("failed");
        }

        String answer() throws InterruptedException {
            return answers.poll(ServerProgram.PATIENCE_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** From the loop's thread: a request of the asker; its handle. */
    long ask(Asker asker, int queryClass, int number) {
        return gateway.accept(
                IncomingRequest.of(
                        asker,
                        number,
                        id(number),
                        queryClass,
                        1,
                        8_000_000,
                        "select 1".getBytes(StandardCharsets.US_ASCII)));
    }
}
