// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.engine;

import calicostream.core.Attempt;
import calicostream.core.Gateway;
import calicostream.flight.FlightConfig;
import calicostream.flight.state.Admission;
import calicostream.flight.state.EngineConnection;
import calicostream.flight.wire.EngineOperation;
import calicostream.flight.wire.FlightWire;
import calicostream.grpc.EngineChannels;
import calicostream.grpc.GrpcEngineClient;
import calicostream.net.SelectorLoop;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import calicostream.routing.SettingsParser;
import com.google.protobuf.ByteString;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.impl.FlightServiceGrpc;
import org.apache.arrow.flight.sql.impl.FlightSql;

/**
 * Engines that speak Flight SQL. A request brings its work, or the text of a statement from a front
 * that knows no work. Calls are asynchronous; gRPC's threads hand what they learn to the loop,
 * which owns this object.
 */
public final class FlightEngineClient extends GrpcEngineClient {
    /** Told on the loop of what happens to engines, as far as it ends what they hold. */
    public interface Listener {
        void drains(long engine);

        void lost(long engine);

        void ready(long engine);
    }

    private static final long HOUSEKEEPING_MS = 2_000;
    private static final int KEEP_ALIVES_PER_IDLE_TIME = 4;

    /** How long after it was told to drain an engine may still be sent an end of something. */
    private static final long DRAIN_TIDY_MICROS = 450_000;

    final SelectorLoop loop;
    final FlightConfig config;
    final SettingsParser settings;
    final Admission admission;
    private final Map<Long, Long> drainingSince = new HashMap<>();
    private final Map<Long, Long> born = new HashMap<>();
    private final NioEventLoopGroup threads;
    private Listener listener;

    public FlightEngineClient(
            SelectorLoop loop, SettingsParser settings, FlightConfig config, Admission admission) {
        this(
                loop,
                settings,
                config,
                admission,
                new NioEventLoopGroup(
                        config.threads(), (ThreadFactory) FlightEngineClient::daemon));
    }

    private FlightEngineClient(
            SelectorLoop loop,
            SettingsParser settings,
            FlightConfig config,
            Admission admission,
            NioEventLoopGroup threads) {
        super(
                new EngineChannels(
                        loop,
                        settings.connectionSettings(),
                        address -> dial(address, settings.connectionSettings(), config, threads)));
        this.loop = loop;
        this.settings = settings;
        this.config = config;
        this.admission = admission;
        this.threads = threads;
        channels().setConnectionEndListener(this::lost);
    }

    /** See {@link EngineChannels#connectionNumber}. */
    LongSupplier connectionNumber(long engine) {
        return channels().connectionNumber(engine);
    }

    /** The present connection to an engine. */
    public EngineConnection connection(long engine) {
        return new EngineConnection(engine, connectionNumber(engine).getAsLong());
    }

    /** Whether this is still the connection to its engine. */
    public boolean isCurrent(EngineConnection connection) {
        return connection.number() == connectionNumber(connection.engine()).getAsLong();
    }

    /** Whether the engine was told to drain and does not take work again since. */
    public boolean isDraining(long engine) {
        return drainingSince.containsKey(engine);
    }

    /** When a draining engine was told to drain, in the loop's time. */
    public long drainingSince(long engine) {
        return drainingSince.get(engine);
    }

    public void listener(Listener to) {
        listener = to;
    }

    private static Thread daemon(Runnable work) {
        Thread thread = new Thread(work, "flight-engines");
        thread.setDaemon(true);
        return thread;
    }

    @Override
    protected Gateway gateway() {
        return super.gateway();
    }

    /**
     * Without gRPC's own retries: whether a statement goes out again is the module's to decide.
     * What a stream holds while its client takes nothing counts against its connection, too, so the
     * connection's window is as wide as it can be.
     */
    private static ManagedChannel dial(
            InetSocketAddress address,
            SettingsParser.ConnectionSettings wiring,
            FlightConfig config,
            NioEventLoopGroup threads) {
        return NettyChannelBuilder.forAddress(address)
                .usePlaintext()
                .disableRetry()
                .directExecutor()
                .maxInboundMessageSize(config.maxMessageBytes())
                .flowControlWindow(config.windowBytes())
                .eventLoopGroup(threads)
                .channelFactory(WideConnection::new)
                .idleTimeout(Math.max(1, wiring.idleUs() * 7 / 10), TimeUnit.MICROSECONDS)
                .build();
    }

    @Override
    public void send(Attempt attempt) {
        EngineCall call = callFor(attempt);
        attempt.setContext(call);
        channels().start(attempt, call::begin);
    }

    private EngineCall callFor(Attempt attempt) {
        EngineOperation.Job job =
                attempt.request().operation() instanceof EngineOperation.Job given
                        ? given
                        : plain(attempt);
        EngineOperation work = job.work();
        if (work instanceof EngineOperation.Query query) {
            return new QueryCall(this, attempt, job.headers(), query);
        } else if (work instanceof EngineOperation.Fetch fetch) {
            return new QueryCall(this, attempt, job.headers(), fetch);
        } else if (work instanceof EngineOperation.Update update) {
            return new UpdateCall(this, attempt, job.headers(), update);
        } else if (work instanceof EngineOperation.Ingest ingest) {
            return new IngestCall(this, attempt, job.headers(), ingest);
        } else if (work instanceof EngineOperation.Poll poll) {
            return new PollCall(this, attempt, job.headers(), poll);
        } else {
            return new UnaryCall(this, attempt, job.headers(), work);
        }
    }

    /** The work of a request that is just text: a query that must be whole, or an update. */
    private static EngineOperation.Job plain(Attempt attempt) {
        ByteString sql = ByteString.copyFrom(attempt.request().body());
        EngineOperation work =
                attempt.request().isLoad()
                        ? new EngineOperation.Update(
                                FlightWire.packed(
                                        FlightSql.CommandStatementUpdate.newBuilder()
                                                .setQueryBytes(sql)
                                                .build()),
                                null)
                        : new EngineOperation.Query(
                                FlightWire.packed(
                                        FlightSql.CommandStatementQuery.newBuilder()
                                                .setQueryBytes(sql)
                                                .build()),
                                null,
                                false);
        return new EngineOperation.Job(work, new Metadata(), EngineConnection.ANY);
    }

    @Override
    protected void cancelSent(Attempt attempt) {
        if (attempt.context() instanceof EngineCall call) {
            call.context.cancel(null);
        }
    }

    @Override
    public void engineDraining(long engine) {
        super.engineDraining(engine);
        drainingSince.put(engine, loop.clock().now());
        tell(() -> listener.drains(engine));
    }

    @Override
    public void engineReinstated(long engine) {
        super.engineReinstated(engine);
        back(engine);
    }

    /** The list's word on an engine: it takes work again, or its process is another one. */
    public void listed(EngineEndpoint engine) {
        Long before = born.put(engine.id(), engine.startedAtUs());
        if (engine.lifecycle() == EngineLifecycle.REMOVED) {
            born.remove(engine.id());
        } else if (before != null && engine.startedAtUs() > before) {
            lost(engine.id());
        }
        if (engine.lifecycle() == EngineLifecycle.READY) {
            back(engine.id());
        }
    }

    private void back(long engine) {
        if (drainingSince.remove(engine) != null) {
            tell(() -> listener.ready(engine));
        }
    }

    @Override
    public void engineRemoved(long engine) {
        super.engineRemoved(engine);
        drainingSince.remove(engine);
        lost(engine);
    }

    /**
     * The engine's process has ended, as far as can be told: what it held is no more. So it is told
     * at each end of a connection, because the next one may lead to another process.
     */
    void lost(long engine) {
        tell(() -> listener.lost(engine));
    }

    private void tell(Runnable what) {
        if (listener != null) {
            loop.runBeforeSelect(what); // The core is in the middle of its own changes.
        }
    }

    /**
     * Ends something that an engine holds for us and nobody waits for: no query, so the module is
     * not asked. Nothing goes to an engine that drains, unless {@code urgent}, which is for what
     * its drain still allows.
     */
    public void tidy(EngineConnection connection, String action, ByteString body, boolean urgent) {
        Long since = drainingSince.get(connection.engine());
        boolean allowed = since == null || urgent && loop.clock().now() < since + DRAIN_TIDY_MICROS;
        if (allowed) {
            act(
                    connection,
                    action,
                    body,
                    status -> {}); // Where it fails the engine's own lease ends it.
        }
    }

    /** How often {@link #keepAlive} keeps a connection from being idle. */
    public long keepAliveMicros() {
        return Math.max(1, settings.connectionSettings().idleUs() / KEEP_ALIVES_PER_IDLE_TIME);
    }

    /**
     * Keeps the connection to an engine from being idle, which would end it at one of its ends, and
     * with it what the engine holds for this front end.
     */
    public void keepAlive(long engine) {
        ManagedChannel channel = isDraining(engine) ? null : channels().readyChannel(engine);
        if (channel != null) {
            FlightServiceGrpc.newStub(channel)
                    .withDeadlineAfter(HOUSEKEEPING_MS, TimeUnit.MILLISECONDS)
                    .listActions(Flight.Empty.getDefaultInstance(), new IgnoringObserver<>());
        }
    }

    /** Takes an answer that nobody needs. */
    private static final class IgnoringObserver<T> implements StreamObserver<T> {
        @Override
        public void onNext(T message) {}

        @Override
        public void onError(Throwable error) {}

        @Override
        public void onCompleted() {}
    }

    /** Ends all channels; for the end of the process and of tests. */
    public void close() {
        channels().close();
        threads.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** One action on one connection, now or never; its end is told on the loop. */
    public void act(
            EngineConnection connection, String action, ByteString body, Consumer<Status> then) {
        ManagedChannel channel =
                isCurrent(connection) ? channels().readyChannel(connection.engine()) : null;
        if (channel == null) {
            loop.runBeforeSelect(() -> then.accept(Status.UNAVAILABLE));
            return;
        }
        FlightServiceGrpc.newStub(channel)
                .withDeadlineAfter(HOUSEKEEPING_MS, TimeUnit.MILLISECONDS)
                .doAction(
                        Flight.Action.newBuilder().setType(action).setBody(body).build(),
                        new StreamObserver<>() {
                            @Override
                            public void onNext(Flight.Result result) {}

                            @Override
                            public void onError(Throwable error) {
                                loop.post(() -> then.accept(Status.fromThrowable(error)));
                            }

                            @Override
                            public void onCompleted() {
                                loop.post(() -> then.accept(Status.OK));
                            }
                        });
    }
}
