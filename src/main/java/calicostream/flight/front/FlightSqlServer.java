// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import calicostream.config.SettingsException;
import calicostream.core.Gateway;
import calicostream.core.Service;
import calicostream.flight.FlightConfig;
import calicostream.flight.engine.FlightEngineClient;
import calicostream.flight.state.Admission;
import calicostream.flight.state.CoalescingCache;
import calicostream.flight.transport.ClientListener;
import calicostream.flight.transport.GrpcLogging;
import calicostream.flight.wire.FlightFrame;
import calicostream.flight.wire.FlightWire;
import calicostream.net.SelectorLoop;
import calicostream.routing.SettingsParser;
import io.grpc.Context;
import io.grpc.Server;
import io.grpc.ServerInterceptors;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.ServerCalls;
import io.grpc.stub.StreamObserver;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.impl.FlightServiceGrpc;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The Flight SQL service: every call is let in or turned away, its caller found out, and handed to
 * the part that serves it. All of that is the loop's; gRPC's threads only bring messages and take
 * answers, and none of them ever waits.
 */
public final class FlightSqlServer implements FlightEngineClient.Listener, Service {
    private static final Logger LOG = LoggerFactory.getLogger(FlightSqlServer.class);
    private static final long LOOK = 20_000;
    private static final long TIDY = 500_000;
    private static final long TELL = 10_000_000;
    private static final int WORKERS = 2;

    /** Messages that have not arrived whole have this part of the bytes in flight, as a divisor. */
    private static final int PARTIAL_MESSAGES_DIVISOR = 2;

    /** Calls of one connection beyond the bound of its client, which are told so. */
    private static final int MAX_REJECTIONS_IN_PROGRESS = 1000;

    private final FlightConfig config;
    private final RequestDispatcher desk;
    private final OpenCalls openCalls = new OpenCalls();
    private final Authentication logins;
    private final QueryHandler queries;
    private final PreparedStatementHandler statements;
    private final TransactionHandler transactions;
    private final CatalogHandler catalogs;
    private final SqlInfo info;
    private final PollHandler polls;
    private final ActionHandler actions;
    private final ExecutorService workers = workers();
    private final NioEventLoopGroup threads;
    private Server server;
    private String told = "";
    private long tellAt, tidyAt, keepAliveAt;

    /** {@code engines} is null where engines are reached by another protocol. */
    public FlightSqlServer(
            SelectorLoop loop,
            Gateway gateway,
            FlightConfig config,
            SettingsParser settings,
            Admission admission,
            FlightEngineClient engines) {
        this.config = config;
        desk = new RequestDispatcher(loop, gateway, config, settings, admission, engines);
        for (String name :
                new String[] {config.queryClass(), config.metadataClass(), config.updateClass()}) {
            if (!settings.classNames().contains(name)) {
                throw new SettingsException(
                        "bad configuration: flight.json: no class '" + name + "'");
            }
        }
        logins = new Authentication(desk, workers);
        catalogs = new CatalogHandler(desk);
        info = new SqlInfo(desk, catalogs, workers);
        transactions = new TransactionHandler(desk);
        statements = new PreparedStatementHandler(desk, transactions);
        queries = new QueryHandler(desk, transactions, statements, catalogs, info);
        polls = new PollHandler(desk, queries);
        actions = new ActionHandler(desk, queries, polls, logins, statements, transactions);
        logins.onLast(
                user -> {
                    openCalls.sessionClosed(user);
                    transactions.all().clientGone(desk.now(), user);
                    statements.left(user);
                    queries.left(user);
                    polls.left(user);
                });
        threads =
                new NioEventLoopGroup(
                        config.threads(), (ThreadFactory) work -> daemon(work, "flight"));
        if (engines != null) {
            engines.listener(this);
        }
        loop.deadlines().add(0, this::look, 0);
    }

    private static ExecutorService workers() {
        ThreadPoolExecutor out =
                new ThreadPoolExecutor(
                        WORKERS,
                        WORKERS,
                        5,
                        TimeUnit.SECONDS,
                        new LinkedBlockingQueue<>(),
                        work -> daemon(work, "flight-work"));
        out.allowCoreThreadTimeOut(true);
        return out;
    }

    private static Thread daemon(Runnable work, String name) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        return thread;
    }

    // ---- Life
    // -------------------------------------------------------------------------------------------
    @Override
    public String name() {
        return "Flight SQL";
    }

    @Override
    public void start() throws IOException {
        GrpcLogging.ignoreFaultsOfClients();
        server =
                NettyServerBuilder.forAddress(config.listen())
                        .directExecutor()
                        .bossEventLoopGroup(threads)
                        .workerEventLoopGroup(threads)
                        .channelFactory(
                                () ->
                                        new ClientListener(
                                                config.connections(),
                                                config.bytesInFlight() / PARTIAL_MESSAGES_DIVISOR))
                        .maxConcurrentCallsPerConnection(
                                config.callsPerClient() + MAX_REJECTIONS_IN_PROGRESS)
                        .maxInboundMessageSize(config.maxMessageBytes())
                        .flowControlWindow(config.windowBytes())
                        // At an upgrade another process of this front end listens here, too.
                        .withOption(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                        .addService(
                                ServerInterceptors.intercept(
                                        FlightWire.service(
                                                new Calls().bindService(),
                                                ServerCalls.asyncServerStreamingCall(this::doGet),
                                                ServerCalls.asyncBidiStreamingCall(this::doPut)),
                                        new UnreadableMessageInterceptor(),
                                        CallContext.interceptor()))
                        .build()
                        .start();
    }

    @Override
    public int port() {
        return server.getPort();
    }

    @Override
    public void stopListening() {
        if (server != null) {
            server.shutdown();
        }
    }

    @Override
    public void awaitTermination() throws InterruptedException {
        if (server != null) {
            server.awaitTermination(1, TimeUnit.SECONDS);
        }
    }

    /** Ends the service at once; for tests. */
    public void close() {
        if (server != null) {
            server.shutdownNow();
        }
        threads.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        workers.shutdownNow();
    }

    @Override
    public boolean isDrained() {
        return queries.open() == 0;
    }

    @Override
    public void terminateAll() {
        queries.terminateAll();
        openCalls.terminateAll();
    }

    /** Calls without an answer that do not wait for their own client; for tests. */
    public int unansweredCalls() {
        return openCalls.unanswered().size();
    }

    /** Requests in the core's hands that have a caller or a waiter; for tests. */
    public int pendingRequests() {
        return desk.open();
    }

    private void look(long now, long ref) {
        transactions.look(now);
        queries.look(now);
        if (now >= tidyAt) { // All that is kept is gone through: not as often.
            tidyAt = now + TIDY;
            queries.expire(now);
            statements.look(now);
            polls.look(now);
            logins.look(now);
        }
        if (now >= keepAliveAt && desk.engines != null) {
            keepAliveAt = now + desk.engines.keepAliveMicros();
            keepConnectionsInUse();
        }
        if (now >= tellAt) {
            tellAt = now + TELL;
            String figures = figures();
            if (!figures.equals(told)) {
                told = figures;
                LOG.info("flight: {}", figures);
            }
        }
        desk.loop.deadlines().add(now + LOOK, this::look, 0);
    }

    /** What an engine holds for this front end is bound to the connection to it. */
    private void keepConnectionsInUse() {
        Set<Long> inUse = new HashSet<>(transactions.all().enginesInUse());
        inUse.addAll(statements.enginesInUse());
        inUse.addAll(queries.enginesInUse());
        inUse.forEach(desk.engines::keepAlive);
    }

    /** One line of figures for the operators. */
    public String figures() {
        CoalescingCache.LookupCounts shared = catalogs.shared().counts();
        return "calls="
                + desk.admission.openCalls()
                + " clients="
                + desk.admission.clientsWithCalls()
                + " bytes="
                + desk.admission.bytesInUse()
                + " streams="
                + queries.open()
                + " statements="
                + statements.size()
                + " transactions="
                + transactions.all().openTransactions()
                + " polls="
                + polls.size()
                + " sessions="
                + logins.sessions().size()
                + " metadata_hits="
                + shared.hits()
                + " metadata_shared="
                + shared.joined()
                + " metadata_asked="
                + shared.misses();
    }

    // ---- Engines
    // ----------------------------------------------------------------------------------------
    @Override
    public void drains(long engine) {
        transactions.all().engineDraining(desk.now(), engine);
    }

    @Override
    public void lost(long engine) {
        transactions.all().engineLost(desk.now(), engine);
        statements.lost(engine);
        queries.lost(engine);
    }

    @Override
    public void ready(long engine) {
        transactions.all().engineReady(desk.now(), engine);
    }

    // ---- Calls
    // ------------------------------------------------------------------------------------------
    /** On gRPC's thread: lets the call in and hands it on, on the loop. */
    private <R> void take(StreamObserver<R> out, Consumer<ServerCall<R>> serve) {
        ServerCall<R> call = exchange(out);
        desk.loop.post(() -> enter(call, () -> serve.accept(call)));
    }

    /** On gRPC's thread, within the call's start. */
    private <R> ServerCall<R> exchange(StreamObserver<R> out) {
        ServerCallStreamObserver<R> observer = (ServerCallStreamObserver<R>) out;
        Context context = Context.current();
        ServerCall<R> call =
                new ServerCall<>(CallContext.current(), context.getDeadline(), observer);
        observer.setOnCancelHandler(() -> {}); // Late answers are then dropped, not faults.
        context.addListener(ended -> desk.loop.post(call::end), Runnable::run);
        return call;
    }

    private void enter(ServerCall<?> call, Runnable serve) {
        if (call.isOver()) {
            return;
        }
        call.run(() -> logins.identify(call, () -> admit(call, serve)));
    }

    private void admit(ServerCall<?> call, Runnable serve) {
        if (desk.admission.admit(call.client) != Admission.Decision.ADMITTED) {
            desk.gateway.recordRejection(
                    Math.max(0, desk.classOf(call, null, config.queryClass())));
            call.fail(FlightStatuses.refusal(desk.mostWaitMs()), desk.mostWaitMs());
            return;
        }
        call.atEnd(() -> desk.admission.callEnded(call.client));
        openCalls.add(call);
        call.run(serve);
    }

    private void doGet(Flight.Ticket ticket, StreamObserver<FlightFrame> out) {
        ServerCall<FlightFrame> call = exchange(out);
        ResultStream outlet = new ResultStream(desk, call);
        desk.loop.post(() -> enter(call, () -> queries.get(call, outlet, ticket)));
    }

    private StreamObserver<FlightFrame> doPut(StreamObserver<Flight.PutResult> out) {
        ((ServerCallStreamObserver<Flight.PutResult>) out).disableAutoRequest();
        ServerCall<Flight.PutResult> call = exchange(out);
        DoPutHandler inlet = new DoPutHandler(desk, transactions, statements, catalogs, info, call);
        desk.loop.post(() -> enter(call, inlet::begin));
        return new StreamObserver<>() {
            @Override
            public void onNext(FlightFrame frame) {
                inlet.arrived(frame);
            }

            @Override
            public void onError(Throwable error) {} // The call's end tells.

            @Override
            public void onCompleted() {
                inlet.halfClosed();
            }
        };
    }

    /**
     * The calls that are one message each way; they are all of the generated service but DoGet and
     * DoPut.
     */
    private final class Calls extends FlightServiceGrpc.FlightServiceImplBase {
        @Override
        public void getFlightInfo(
                Flight.FlightDescriptor request, StreamObserver<Flight.FlightInfo> out) {
            take(out, call -> queries.info(call, request));
        }

        @Override
        public void pollFlightInfo(
                Flight.FlightDescriptor request, StreamObserver<Flight.PollInfo> out) {
            take(out, call -> polls.poll(call, request));
        }

        @Override
        public void getSchema(
                Flight.FlightDescriptor request, StreamObserver<Flight.SchemaResult> out) {
            take(out, call -> queries.schema(call, request));
        }

        @Override
        public void doAction(Flight.Action request, StreamObserver<Flight.Result> out) {
            take(out, call -> actions.take(call, request));
        }

        @Override
        public void listActions(Flight.Empty request, StreamObserver<Flight.ActionType> out) {
            take(
                    out,
                    call -> {
                        actions.list().forEach(call.out::onNext);
                        call.complete();
                    });
        }

        /**
         * A login: the name and password are in the call's headers, the token goes into the
         * answer's.
         */
        @Override
        public StreamObserver<Flight.HandshakeRequest> handshake(
                StreamObserver<Flight.HandshakeResponse> out) {
            take(out, call -> call.reply(Flight.HandshakeResponse.getDefaultInstance()));
            return new StreamObserver<>() {
                @Override
                public void onNext(Flight.HandshakeRequest request) {}

                @Override
                public void onError(Throwable error) {}

                @Override
                public void onCompleted() {}
            };
        }
    }
}
