// SPDX-License-Identifier: Apache-2.0
package calicostream.flight;

import calicostream.QueryRouter;
import calicostream.SettingsParser;
import calicostream.core.Front;
import calicostream.core.Gateway;
import calicostream.core.Slots;
import calicostream.grpc.Calls;
import calicostream.net.Loop;
import calicostream.platform.Statement;
import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.Message;
import io.grpc.netty.NettyServerBuilder;
import io.netty.channel.socket.nio.NioChannelOption;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.apache.arrow.flight.BackpressureStrategy;
import org.apache.arrow.flight.CallStatus;
import org.apache.arrow.flight.ErrorFlightMetadata;
import org.apache.arrow.flight.FlightDescriptor;
import org.apache.arrow.flight.FlightEndpoint;
import org.apache.arrow.flight.FlightInfo;
import org.apache.arrow.flight.FlightServer;
import org.apache.arrow.flight.FlightStream;
import org.apache.arrow.flight.Location;
import org.apache.arrow.flight.PutResult;
import org.apache.arrow.flight.Result;
import org.apache.arrow.flight.Ticket;
import org.apache.arrow.flight.sql.NoOpFlightSqlProducer;
import org.apache.arrow.flight.sql.SqlInfoBuilder;
import org.apache.arrow.flight.sql.impl.FlightSql;
import org.apache.arrow.memory.ArrowBuf;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.ipc.ArrowStreamReader;
import org.apache.arrow.vector.types.pojo.Schema;

/**
 * Flight SQL clients. GetFlightInfo only notes a statement down; DoGet of its ticket, or DoPut for an update,
 * is the request that the core decides on. Flight's threads post requests to the loop, and the loop gives
 * answers back to them.
 */
public final class FlightFront extends NoOpFlightSqlProducer implements Front {
    private static final long HANDLE_KEPT_US = 60_000_000;
    private static final int MOST_HANDLES = 4096;
    private static final int MOST_UPDATES = 64;
    private static final int THREADS = 8;
    private static final long STALLED_MS = 20_000;
    private final Loop loop;
    private final Gateway gateway;
    private final FlightConfig config;
    private final List<String> classNames;
    private final List<QueryRouter.QueryClass> classes;
    private final long mostWaitMs;
    private final BufferAllocator allocator = new RootAllocator(64 << 20);
    private final ExecutorService threads = Executors.newFixedThreadPool(THREADS, work -> {
        Thread thread = new Thread(work, "flight");
        thread.setDaemon(true);
        return thread;
    });
    private final Map<String, Noted> statements = new ConcurrentHashMap<>();
    private final Slots<Reply> replies = new Slots<>();
    private final SqlInfoBuilder info = new SqlInfoBuilder().withFlightSqlServerName("calicostream")
            .withFlightSqlServerVersion("0.1.0").withFlightSqlServerReadOnly(false)
            .withFlightSqlServerSql(true).withFlightSqlServerSubstrait(false)
            .withFlightSqlServerTransaction(FlightSql.SqlSupportedTransaction.SQL_SUPPORTED_TRANSACTION_NONE)
            .withFlightSqlServerCancel(false);
    private final AtomicInteger updates = new AtomicInteger();
    private FlightServer server;

    /** A statement that a client has been given a handle for. A ticket's handle serves once. */
    private record Noted(byte[] sql, String queryClass) { }

    /** Where a request's answer goes; called on the loop, works on Flight's threads. */
    private interface Reply {
        void served(byte[] result);

        void error(CallStatus status);
    }

    public FlightFront(Loop loop, Gateway gateway, FlightConfig config, SettingsParser settings) {
        this.loop = loop;
        this.gateway = gateway;
        this.config = config;
        classNames = settings.classNames();
        classes = settings.settings().classes();
        mostWaitMs = settings.wiring().longestRetryUs() / 1000;
    }

    public void start() throws IOException {
        Location at = Location.forGrpcInsecure(config.listen().getHostString(), config.listen().getPort());
        server = FlightServer.builder(allocator, at, this).middleware(CallStart.KEY, new CallStart.Factory())
                // At an upgrade another process of this front end listens here, too.
                .transportHint("grpc.builderConsumer", (Consumer<NettyServerBuilder>) builder -> builder.withOption(
                        NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true))
                .build();
        server.start();
    }

    public int port() {
        return server.getPort();
    }

    /** Takes no new calls; those in hand go on. */
    public void stopListening() {
        server.shutdown();
    }

    /** Waits until the answers given have gone out; for the end of the process, off the loop. */
    public void awaitEnd() throws InterruptedException {
        server.awaitTermination(1, TimeUnit.SECONDS);
    }

    /** Rows of text of a result in the form that the engines give. */
    public byte[] text(byte[] result) {
        return config.flightEngines() ? ArrowRows.toText(result, allocator) : result;
    }

    // ---- Statements --------------------------------------------------------------------------------------
    /** Flight's threads are not interrupted by this: it ends them all. */
    @Override
    public void close() {
        threads.shutdownNow();
    }

    @Override
    public FlightInfo getFlightInfoStatement(FlightSql.CommandStatementQuery command, CallContext context,
            FlightDescriptor descriptor) {
        String handle = note(command.getQuery(), context, false);
        ByteString ticket = ByteString.copyFromUtf8(handle);
        return info(FlightSql.TicketStatementQuery.newBuilder().setStatementHandle(ticket).build(), descriptor);
    }

    @Override
    public FlightInfo getFlightInfoPreparedStatement(FlightSql.CommandPreparedStatementQuery command,
            CallContext context, FlightDescriptor descriptor) {
        prepared(command.getPreparedStatementHandle());
        return info(command, descriptor);
    }

    private static FlightInfo info(Message ticket, FlightDescriptor descriptor) {
        Ticket packed = new Ticket(Any.pack(ticket).toByteArray());
        FlightEndpoint here = new FlightEndpoint(packed, Location.reuseConnection());
        // The schema is the engine's to tell, and comes with the stream.
        return FlightInfo.builder(null, descriptor, List.of(here)).build();
    }

    @Override
    public void getStreamStatement(FlightSql.TicketStatementQuery ticket, CallContext context,
            ServerStreamListener listener) {
        // Taken out at once: a ticket fetched again, by a client's own retry, must not run the statement again.
        Noted noted = statements.remove(ticket.getStatementHandle().toStringUtf8());
        if (noted == null) {
            throw CallStatus.NOT_FOUND.withDescription("the ticket is unknown, used or too old").toRuntimeException();
        }
        stream(noted, context, listener);
    }

    @Override
    public void getStreamPreparedStatement(FlightSql.CommandPreparedStatementQuery command, CallContext context,
            ServerStreamListener listener) {
        stream(prepared(command.getPreparedStatementHandle()), context, listener);
    }

    @Override
    public void createPreparedStatement(FlightSql.ActionCreatePreparedStatementRequest request, CallContext context,
            StreamListener<Result> listener) {
        if (!request.getTransactionId().isEmpty()) {
            throw CallStatus.UNIMPLEMENTED.withDescription("no transactions").toRuntimeException();
        }
        String handle = note(request.getQuery(), context, true);
        listener.onNext(new Result(Any.pack(FlightSql.ActionCreatePreparedStatementResult.newBuilder()
                .setPreparedStatementHandle(ByteString.copyFromUtf8(handle)).build()).toByteArray()));
        listener.onCompleted();
    }

    @Override
    public void closePreparedStatement(FlightSql.ActionClosePreparedStatementRequest request, CallContext context,
            StreamListener<Result> listener) {
        statements.remove(request.getPreparedStatementHandle().toStringUtf8());
        listener.onCompleted();
    }

    @Override
    public Runnable acceptPutStatement(FlightSql.CommandStatementUpdate command, CallContext context,
            FlightStream stream, StreamListener<PutResult> acknowledge) {
        if (command.hasTransactionId()) {
            throw CallStatus.UNIMPLEMENTED.withDescription("no transactions").toRuntimeException();
        }
        return () -> update(new Noted(bytes(command.getQuery()), null), context, acknowledge);
    }

    @Override
    public Runnable acceptPutPreparedStatementUpdate(FlightSql.CommandPreparedStatementUpdate command,
            CallContext context, FlightStream stream, StreamListener<PutResult> acknowledge) {
        return () -> update(prepared(command.getPreparedStatementHandle()), context, acknowledge);
    }

    @Override
    public FlightInfo getFlightInfoSqlInfo(FlightSql.CommandGetSqlInfo command, CallContext context,
            FlightDescriptor descriptor) {
        Ticket ticket = new Ticket(Any.pack(command).toByteArray());
        return new FlightInfo(Schemas.GET_SQL_INFO_SCHEMA, descriptor,
                List.of(new FlightEndpoint(ticket, Location.reuseConnection())), -1, -1);
    }

    @Override
    public void getStreamSqlInfo(FlightSql.CommandGetSqlInfo command, CallContext context,
            ServerStreamListener listener) {
        info.send(command.getInfoList(), listener);
    }

    // ---- Requests ------------------------------------------------------------------------------------------
    private String note(String sql, CallContext context, boolean prepared) {
        if (sql.isBlank()) {
            throw CallStatus.INVALID_ARGUMENT.withDescription("an empty statement").toRuntimeException();
        }
        String named = context.getMiddleware(CallStart.KEY).queryClass;
        classOf(named, classNames.get(0));
        if (statements.size() >= MOST_HANDLES) {
            throw refusal(mostWaitMs).toRuntimeException();
        }
        String handle = UUID.randomUUID().toString();
        statements.put(handle, new Noted(bytes(sql), named));
        long kept = prepared ? 60 * HANDLE_KEPT_US : HANDLE_KEPT_US;
        loop.post(() -> loop.deadlines().add(loop.clock().now() + kept, (now, ref) -> statements.remove(handle), 0));
        return handle;
    }

    private Noted prepared(ByteString handle) {
        Noted noted = statements.get(handle.toStringUtf8());
        if (noted == null) {
            throw CallStatus.NOT_FOUND.withDescription("no such prepared statement").toRuntimeException();
        }
        return noted;
    }

    private static byte[] bytes(String sql) {
        return sql.getBytes(StandardCharsets.UTF_8);
    }

    private int classOf(String named, String usual) {
        int at = classNames.indexOf(named == null ? usual : named);
        if (at < 0) {
            throw CallStatus.INVALID_ARGUMENT.withDescription("no class '" + (named == null ? usual : named) + "'")
                    .toRuntimeException();
        }
        return at;
    }

    private void stream(Noted noted, CallContext context, ServerStreamListener listener) {
        CallStart start = context.getMiddleware(CallStart.KEY);
        int queryClass = classOf(start.queryClass != null ? start.queryClass : noted.queryClass, config.queryClass());
        if (classes.get(queryClass).load()) {
            throw CallStatus.INVALID_ARGUMENT.withDescription("a load is an update").toRuntimeException();
        }
        BackpressureStrategy pressure = new BackpressureStrategy.CallbackBackpressureStrategy();
        pressure.register(listener);
        take(noted.sql, queryClass, start, new Reply() {
            @Override
            public void served(byte[] result) {
                send(result, listener, pressure);
            }

            @Override
            public void error(CallStatus status) {
                listener.error(status.toRuntimeException());
            }
        });
    }

    private void update(Noted noted, CallContext context, StreamListener<PutResult> acknowledge) {
        CallStart start = context.getMiddleware(CallStart.KEY);
        int queryClass = classOf(start.queryClass != null ? start.queryClass : noted.queryClass, config.updateClass());
        if (!classes.get(queryClass).load() || classes.get(queryClass).effect() != QueryRouter.Effect.ONCE) {
            // As a class that may be repeated it could be run twice.
            throw CallStatus.INVALID_ARGUMENT.withDescription("an update needs a class of loads").toRuntimeException();
        }
        if (noted.sql.length == 0) {
            throw CallStatus.INVALID_ARGUMENT.withDescription("an empty statement").toRuntimeException();
        }
        if (updates.incrementAndGet() > MOST_UPDATES) { // Each holds a thread until it is answered.
            updates.decrementAndGet();
            throw refusal(mostWaitMs).toRuntimeException();
        }
        // Flight completes the call when this returns, so it has to wait: a call completed with no word of the
        // outcome would look to the client as if it had succeeded.
        CompletableFuture<byte[]> answer = new CompletableFuture<>();
        take(noted.sql, queryClass, start, new Reply() {
            @Override
            public void served(byte[] result) {
                answer.complete(result);
            }

            @Override
            public void error(CallStatus status) {
                answer.completeExceptionally(status.toRuntimeException());
            }
        });
        try {
            byte[] result = answer.join();
            long count = ArrowRows.isCount(result) ? ArrowRows.count(result) : -1; // -1: not known
            byte[] told = FlightSql.DoPutUpdateResult.newBuilder().setRecordCount(count).build().toByteArray();
            try (ArrowBuf buffer = allocator.buffer(told.length)) {
                buffer.writeBytes(told);
                acknowledge.onNext(PutResult.metadata(buffer));
            }
            acknowledge.onCompleted();
        } catch (CompletionException e) {
            acknowledge.onError(e.getCause());
        } finally {
            updates.decrementAndGet();
        }
    }

    private void take(byte[] sql, int queryClass, CallStart start, Reply reply) {
        long budget = start.leftUs(classes.get(queryClass).deadlineUs());
        if (budget <= 0) {
            reply.error(CallStatus.TIMED_OUT.withDescription("not answered in time"));
            return;
        }
        long arrived = loop.clock().now();
        int group = Math.max(0, Statement.tableGroup(sql));
        String id = String.format("%016x", ThreadLocalRandom.current().nextLong());
        loop.post(() -> {
            long left = Math.max(1, budget - (loop.clock().now() - arrived));
            long tag = replies.add(reply);
            long handle = gateway.accept(this, tag, id, queryClass, group, left, sql);
            start.onEnd(() -> loop.post(() -> {
                Reply unanswered = replies.get(tag);
                if (unanswered != null) {
                    gateway.abandon(handle);
                    error(tag, CallStatus.CANCELLED);
                }
            }));
        });
    }

    // ---- Answers from the core -------------------------------------------------------------------------
    @Override
    public void served(long tag, byte[] result) {
        Reply reply = replies.remove(tag);
        threads.execute(() -> reply.served(result));
    }

    @Override
    public void refused(long tag, long retryAfterMs) {
        error(tag, refusal(retryAfterMs));
    }

    @Override
    public void failed(long tag, Failure why) {
        error(tag, why == Failure.DEADLINE ? CallStatus.TIMED_OUT.withDescription("not answered in time")
                : CallStatus.INTERNAL.withDescription("failed; it may have run"));
    }

    private void error(long tag, CallStatus status) {
        Reply reply = replies.remove(tag);
        threads.execute(() -> reply.error(status));
    }

    private static CallStatus refusal(long retryAfterMs) {
        ErrorFlightMetadata metadata = new ErrorFlightMetadata();
        metadata.insert(Calls.STAY_AWAY_NAME, Long.toString(retryAfterMs));
        return CallStatus.UNAVAILABLE.withDescription("refused; stay away for " + retryAfterMs + " ms")
                .withMetadata(metadata);
    }

    /** Sends a whole result; a client that stops reading is given up on after a while, visibly to it. */
    private void send(byte[] result, ServerStreamListener listener, BackpressureStrategy pressure) {
        byte[] stream = config.flightEngines() ? result : ArrowRows.fromText(result, allocator);
        try (ArrowStreamReader reader = new ArrowStreamReader(new ByteArrayInputStream(stream), allocator)) {
            VectorSchemaRoot root = reader.getVectorSchemaRoot();
            listener.start(root, reader);
            while (reader.loadNextBatch()) {
                if (pressure.waitForListener(STALLED_MS) != BackpressureStrategy.WaitResult.READY) {
                    listener.error(CallStatus.CANCELLED.withDescription("the client stopped reading")
                            .toRuntimeException());
                    return;
                }
                listener.putNext();
            }
            listener.completed();
        } catch (IOException | RuntimeException e) {
            listener.error(CallStatus.INTERNAL.withDescription("the result can't be read").withCause(e)
                    .toRuntimeException());
        }
    }
}
