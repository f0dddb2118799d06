// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.suite;

import calicostream.flight.suite.Script.Act;
import calicostream.flight.wire.FlightWire;
import calicostream.flight.wire.SchemaMessages;
import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Server;
import io.grpc.ServerServiceDefinition;
import io.grpc.Status;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.ServerCalls;
import io.grpc.stub.StreamObserver;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.arrow.flatbuf.MessageHeader;
import org.apache.arrow.flatbuf.RecordBatch;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.impl.FlightServiceGrpc;
import org.apache.arrow.flight.sql.FlightSqlProducer.Schemas;
import org.apache.arrow.flight.sql.impl.FlightSql;
import org.apache.arrow.vector.types.pojo.Schema;

/**
 * A stand-in Flight SQL engine. It runs statements of its own small kind ({@code select rows=5
 * batch=2 width=10 parts=1}), keeps prepared statements and transactions, counts what it was made
 * to do, and misbehaves as its script says. One lock guards its state; all stand-ins share a few
 * threads.
 */
public final class FakeFlightEngine implements AutoCloseable {
    private static final Metadata.Key<String> NEVER =
            Metadata.Key.of("calicostream-never-ran", Metadata.ASCII_STRING_MARSHALLER);
    private static final Pattern NUMBER = Pattern.compile("(rows|batch|width|parts|polls)=(\\d+)");
    private static final long SLOW_MS = 150;
    private static final long HOLD_MS = 10;
    private static final NioEventLoopGroup NETTY =
            new NioEventLoopGroup(4, new DefaultThreadFactory("engines", true));
    private static final ScheduledExecutorService THREADS =
            Executors.newScheduledThreadPool(8, new DefaultThreadFactory("stand", true));
    private final Script script;
    private final List<Channel> connections = new CopyOnWriteArrayList<>();
    private final Server server;
    private final Map<String, Integer> counts = new TreeMap<>();
    private final Map<String, String> prepared = new HashMap<>();
    private final Map<String, Integer> bound = new HashMap<>();
    private final Set<String> transactions = new HashSet<>();
    private final Set<String> savepoints = new HashSet<>();
    private final Map<String, Integer> polled = new HashMap<>();
    private final List<Long> cancelledAt = Collections.synchronizedList(new ArrayList<>());
    private int named;
    private volatile ByteString parameterSchema;
    volatile Runnable onDrain = () -> {};

    FakeFlightEngine(Script script) throws IOException {
        this(script, 0);
    }

    /** A process at this port; its handles have the names of those of any other at the port. */
    FakeFlightEngine(Script script, int port) throws IOException {
        this.script = script;
        server =
                NettyServerBuilder.forAddress(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                        .executor(THREADS)
                        .bossEventLoopGroup(NETTY)
                        .workerEventLoopGroup(NETTY)
                        .channelFactory(this::listener)
                        .maxInboundMessageSize(128 << 20)
                        .addService(service())
                        .build()
                        .start();
    }

    /** A listener that keeps the connections it takes. */
    private NioServerSocketChannel listener() {
        return new NioServerSocketChannel() {
            @Override
            protected int doReadMessages(List<Object> into) throws Exception {
                int before = into.size();
                int taken = super.doReadMessages(into);
                into.subList(before, into.size()).forEach(each -> connections.add((Channel) each));
                return taken;
            }
        };
    }

    /** An engine that answers as it should, for a process of its own. */
    public static FakeFlightEngine alone() throws IOException {
        return new FakeFlightEngine(new Script());
    }

    private ServerServiceDefinition service() {
        Service service = new Service();
        MethodDescriptor<Flight.Ticket, byte[]> get =
                FlightServiceGrpc.getDoGetMethod().toBuilder(
                                FlightServiceGrpc.getDoGetMethod().getRequestMarshaller(),
                                RawFlightClient.BYTES)
                        .build();
        ServerServiceDefinition.Builder out =
                ServerServiceDefinition.builder(FlightServiceGrpc.SERVICE_NAME);
        service.bindService().getMethods().stream()
                .filter(
                        each ->
                                !each.getMethodDescriptor()
                                        .getFullMethodName()
                                        .equals(get.getFullMethodName()))
                .forEach(out::addMethod);
        return out.addMethod(get, ServerCalls.asyncServerStreamingCall(service::get)).build();
    }

    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getPort());
    }

    /**
     * How often something was done here: {@code update}, {@code commit}, {@code get}, {@code open}
     * transactions ...
     */
    synchronized int count(String what) {
        switch (what) {
            case "transactions":
                return transactions.size();
            case "prepared":
                return prepared.size();
            default:
                return counts.getOrDefault(what, 0);
        }
    }

    List<Long> cancelledAt() {
        return cancelledAt;
    }

    /** From now on, prepared statements are told with this schema of their parameters. */
    void prepareWith(ByteString schema) {
        parameterSchema = schema;
    }

    /** The same engine process no more knows what it held. */
    synchronized void forget() {
        prepared.clear();
        transactions.clear();
    }

    /** As a process that is killed: its connections are reset. */
    void die() {
        connections.forEach(
                each -> {
                    try {
                        each.config().setOption(ChannelOption.SO_LINGER, 0);
                    } catch (io.netty.channel.ChannelException e) {
                        // Its other end has closed it.
                    }
                    each.eventLoop().execute(() -> each.unsafe().closeForcibly());
                });
        server.shutdownNow();
    }

    @Override
    public void close() {
        die();
    }

    private synchronized int did(String what) {
        return counts.merge(what, 1, Integer::sum);
    }

    private synchronized String name(String kind) {
        return kind + ++named + "@" + server.getPort();
    }

    private static int number(String sql, String name, int without) {
        Matcher found = NUMBER.matcher(sql);
        while (found.find()) {
            if (found.group(1).equals(name)) {
                return Integer.parseInt(found.group(2));
            }
        }
        return without;
    }

    private static Status refusal() {
        return Status.RESOURCE_EXHAUSTED.withDescription("full");
    }

    private static <T> void fail(StreamObserver<T> out, Status status) {
        fail(out, status, status.getCode() == Status.Code.RESOURCE_EXHAUSTED);
    }

    private static <T> void fail(StreamObserver<T> out, Status status, boolean neverRan) {
        Metadata trailers = new Metadata();
        if (neverRan) {
            trailers.put(NEVER, "true");
        }
        try {
            out.onError(status.asRuntimeException(trailers));
        } catch (IllegalStateException e) {
            // The caller has left.
        }
    }

    /** Acts as the script says; true: go on and answer. */
    private <T> boolean acts(Act act, StreamObserver<T> out, Runnable answer) {
        switch (act) {
            case REFUSES:
            case REFUSES_AT_END:
                fail(out, refusal());
                return false;
            case ERRS:
                fail(out, Status.INTERNAL.withDescription("scripted"));
                return false;
            case NOT_FOUND_AFTER_RUN:
                did("update");
                fail(out, Status.NOT_FOUND.withDescription("no player 999"));
                return false;
            case NOT_FOUND_NEVER_RAN:
                fail(out, Status.NOT_FOUND.withDescription("no such statement"), true);
                return false;
            case SLOW:
                THREADS.schedule(answer, SLOW_MS, TimeUnit.MILLISECONDS);
                return false;
            case DIES_BEFORE:
                die();
                return false;
            case HANGS:
                return false;
            case DRAINS:
                onDrain.run();
                return true;
            default:
                return true;
        }
    }

    /** One message, then what the act has for afterwards. */
    private <T> void one(String kind, StreamObserver<T> out, T message) {
        ((ServerCallStreamObserver<T>) out)
                .setOnCancelHandler(() -> cancelledAt.add(System.nanoTime()));
        Act act = script.take(kind);
        did(kind);
        Runnable answer =
                () -> {
                    out.onNext(message);
                    out.onCompleted();
                };
        if (!acts(act, out, answer)) {
            return;
        }
        if (act == Act.DIES_DURING) {
            out.onNext(message);
            die();
        } else {
            answer.run();
            dieAfter(act);
        }
    }

    private void dieAfter(Act act) {
        if (act == Act.DIES_AFTER) { // The answer is to be out first.
            server.shutdown();
            THREADS.schedule(this::die, 100, TimeUnit.MILLISECONDS);
        }
    }

    private static Any any(ByteString bytes) {
        try {
            return Any.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw Status.INVALID_ARGUMENT.withDescription("no message").asRuntimeException();
        }
    }

    private static <M extends Message> M unpack(Any any, Class<M> as) {
        try {
            return any.unpack(as);
        } catch (InvalidProtocolBufferException e) {
            throw Status.INVALID_ARGUMENT
                    .withDescription("not a " + as.getSimpleName())
                    .asRuntimeException();
        }
    }

    private static String shortName(Any any) {
        return any.getTypeUrl().substring(any.getTypeUrl().lastIndexOf('.') + 1);
    }

    /** What a query command's result is; it is the ticket, too. */
    private synchronized String text(Any any) {
        switch (shortName(any)) {
            case "CommandStatementQuery":
                FlightSql.CommandStatementQuery query =
                        unpack(any, FlightSql.CommandStatementQuery.class);
                alive(query.getTransactionId());
                if (query.getQuery().startsWith("bad")) {
                    throw Status.INVALID_ARGUMENT.withDescription("syntax").asRuntimeException();
                }
                return query.getQuery();
            case "CommandStatementSubstraitPlan":
                return "select rows=2";
            case "CommandPreparedStatementQuery":
                String handle =
                        unpack(any, FlightSql.CommandPreparedStatementQuery.class)
                                .getPreparedStatementHandle()
                                .toStringUtf8();
                String sql = prepared.get(handle);
                if (sql == null) {
                    throw Status.NOT_FOUND
                            .withDescription("no such statement")
                            .asRuntimeException();
                }
                if (sql.contains("?") && !bound.containsKey(handle)) {
                    throw Status.INVALID_ARGUMENT.withDescription("not bound").asRuntimeException();
                }
                return sql + " from=" + bound.getOrDefault(handle, 0);
            default:
                return shortName(any);
        }
    }

    private synchronized void alive(ByteString transaction) {
        if (!transaction.isEmpty() && !transactions.contains(transaction.toStringUtf8())) {
            throw Status.NOT_FOUND.withDescription("no such transaction").asRuntimeException();
        }
    }

    private static Iterator<byte[]> result(String text) {
        if (text.equals("CommandGetSqlInfo")) {
            return Data.sqlInfo().stream().map(Flight.FlightData::toByteArray).iterator();
        }
        if (text.startsWith("CommandGet")) {
            return Data.oneRow(catalog(text)).stream()
                    .map(Flight.FlightData::toByteArray)
                    .iterator();
        }
        if (text.contains("special=")) {
            return Data.special(text).stream().map(Flight.FlightData::toByteArray).iterator();
        }
        int rows = number(text, "rows", 2);
        int batch = Math.max(1, number(text, "batch", 1000));
        int width = number(text, "width", 4);
        Matcher from = Pattern.compile("from=(\\d+)").matcher(text);
        int first = from.find() ? Integer.parseInt(from.group(1)) : 0;
        byte[] whole =
                rows > batch * 4
                        ? Data.batch(first, batch, width).toByteArray()
                        : null; // Long ones repeat one batch.
        return new Iterator<>() {
            private int at = -1;

            @Override
            public boolean hasNext() {
                return at < rows && (at < 0 || rows > 0);
            }

            @Override
            public byte[] next() {
                if (at < 0) {
                    at = 0;
                    return Data.schema(Data.ROWS).toByteArray();
                }
                int now = Math.min(batch, rows - at);
                byte[] out =
                        whole != null && now == batch
                                ? whole
                                : Data.batch(first + at, now, width).toByteArray();
                at += now;
                return out;
            }
        };
    }

    private static Schema catalog(String command) {
        switch (command) {
            case "CommandGetCatalogs":
                return Schemas.GET_CATALOGS_SCHEMA;
            case "CommandGetDbSchemas":
                return Schemas.GET_SCHEMAS_SCHEMA;
            case "CommandGetTableTypes":
                return Schemas.GET_TABLE_TYPES_SCHEMA;
            case "CommandGetPrimaryKeys":
                return Schemas.GET_PRIMARY_KEYS_SCHEMA;
            case "CommandGetExportedKeys":
                return Schemas.GET_EXPORTED_KEYS_SCHEMA;
            case "CommandGetImportedKeys":
                return Schemas.GET_IMPORTED_KEYS_SCHEMA;
            case "CommandGetCrossReference":
                return Schemas.GET_CROSS_REFERENCE_SCHEMA;
            case "CommandGetXdbcTypeInfo":
                return Schemas.GET_TYPE_INFO_SCHEMA;
            default:
                return Schemas.GET_TABLES_SCHEMA_NO_SCHEMA;
        }
    }

    private final class Service extends FlightServiceGrpc.FlightServiceImplBase {
        private <T> void guarded(StreamObserver<T> out, Runnable work) {
            try {
                work.run();
            } catch (io.grpc.StatusRuntimeException e) {
                fail(out, e.getStatus());
            }
        }

        private Flight.FlightInfo info(Flight.FlightDescriptor descriptor, String text) {
            Flight.FlightInfo.Builder out =
                    Flight.FlightInfo.newBuilder()
                            .setFlightDescriptor(descriptor)
                            .setSchema(Data.schemaBytes(Data.ROWS));
            int parts = number(text, "parts", 1);
            for (int i = 0; i < parts; i++) {
                out.addEndpoint(
                        Flight.FlightEndpoint.newBuilder()
                                .setTicket(
                                        Flight.Ticket.newBuilder()
                                                .setTicket(
                                                        ByteString.copyFromUtf8(
                                                                text
                                                                        + (parts > 1
                                                                                ? " from="
                                                                                        + i * 1000
                                                                                : "")))));
            }
            return out.build();
        }

        @Override
        public void getFlightInfo(
                Flight.FlightDescriptor request, StreamObserver<Flight.FlightInfo> out) {
            guarded(out, () -> one("info", out, info(request, text(any(request.getCmd())))));
        }

        @Override
        public void getSchema(
                Flight.FlightDescriptor request, StreamObserver<Flight.SchemaResult> out) {
            guarded(
                    out,
                    () -> {
                        text(any(request.getCmd()));
                        one(
                                "schema",
                                out,
                                Flight.SchemaResult.newBuilder()
                                        .setSchema(Data.schemaBytes(Data.ROWS))
                                        .build());
                    });
        }

        @Override
        public void pollFlightInfo(
                Flight.FlightDescriptor request, StreamObserver<Flight.PollInfo> out) {
            guarded(
                    out,
                    () -> {
                        String text = text(any(request.getCmd()));
                        if (script.take("poll run") == Act.UNIMPLEMENTED_AFTER_RUN) {
                            did("update");
                            throw Status.UNIMPLEMENTED
                                    .withDescription("no such function")
                                    .asRuntimeException();
                        }
                        int polls = number(text, "polls", 2);
                        int now;
                        synchronized (FakeFlightEngine.this) {
                            now = polled.merge(text, 1, Integer::sum);
                        }
                        Flight.PollInfo.Builder told =
                                Flight.PollInfo.newBuilder()
                                        .setInfo(info(request, text))
                                        .setProgress(Math.min(1, (double) now / polls));
                        if (text.contains("hold")
                                && now > 1) { // A query that takes long: the same again, after a
                            // while.
                            THREADS.schedule(
                                    () -> {
                                        out.onNext(
                                                told.setProgress(0)
                                                        .setFlightDescriptor(request)
                                                        .build());
                                        out.onCompleted();
                                    },
                                    HOLD_MS,
                                    TimeUnit.MILLISECONDS);
                            return;
                        }
                        one(
                                "poll",
                                out,
                                (now < polls ? told.setFlightDescriptor(request) : told).build());
                    });
        }

        /** In bytes, so that a message may be none. */
        private void get(Flight.Ticket request, StreamObserver<byte[]> out) {
            ServerCallStreamObserver<byte[]> to = (ServerCallStreamObserver<byte[]>) out;
            to.setOnCancelHandler(() -> cancelledAt.add(System.nanoTime()));
            Act act = script.take("get");
            did("get");
            Iterator<byte[]> messages = result(request.getTicket().toStringUtf8());
            Runnable answer =
                    () -> {
                        while (!to.isCancelled() && to.isReady() && messages.hasNext()) {
                            to.onNext(messages.next());
                        }
                        if (!to.isCancelled() && !messages.hasNext() && act == Act.CUT_AT_END) {
                            THREADS.schedule(FakeFlightEngine.this::die, 50, TimeUnit.MILLISECONDS);
                        } else if (!to.isCancelled() && !messages.hasNext()) {
                            to.onCompleted();
                            dieAfter(act);
                        }
                    };
            boolean[] ended = new boolean[1];
            Runnable once =
                    () -> {
                        synchronized (ended) {
                            if (!ended[0]) {
                                answer.run();
                                ended[0] = !messages.hasNext();
                            }
                        }
                    };
            if (act == Act.DIES_DURING) {
                to.onNext(messages.next());
                to.onNext(messages.next());
                if (number(request.getTicket().toStringUtf8(), "rows", 2)
                        > 10_000) { // Past what is held.
                    for (int i = 0; i < 200 && messages.hasNext(); i++) {
                        to.onNext(messages.next());
                    }
                }
                THREADS.schedule(FakeFlightEngine.this::die, 50, TimeUnit.MILLISECONDS);
                return;
            }
            if (act == Act.BAD_PROTOBUF) {
                to.onNext(new byte[] {0x12, 0x7f, 1, 2, 3});
                to.onCompleted();
                return;
            }
            if (act == Act.BAD_SCHEMA) {
                to.onNext(
                        Flight.FlightData.newBuilder()
                                .setDataHeader(SchemaMessages.cyclic())
                                .build()
                                .toByteArray());
                to.onCompleted();
                return;
            }
            if (act == Act.BAD_BODY) {
                to.onNext(messages.next());
                to.onNext(
                        Data.batch(0, 2, 4).toBuilder()
                                .setDataBody(ByteString.EMPTY)
                                .build()
                                .toByteArray());
                to.onCompleted();
                return;
            }
            if (act == Act.BAD_ARROW) {
                to.onNext(messages.next());
                to.onNext(
                        Flight.FlightData.newBuilder()
                                .setDataHeader(
                                        ByteString.copyFrom(new byte[] {1, 2, 3, 4, 5, 6, 7}))
                                .setDataBody(ByteString.copyFrom(new byte[64]))
                                .build()
                                .toByteArray());
                to.onCompleted();
                return;
            }
            java.util.concurrent.atomic.AtomicBoolean goes =
                    new java.util.concurrent.atomic.AtomicBoolean();
            Runnable begin =
                    () -> {
                        goes.set(true);
                        once.run();
                    };
            to.setOnReadyHandler(
                    () -> {
                        if (goes.get()) {
                            once.run();
                        }
                    });
            if (acts(act, out, begin)) {
                begin.run();
            }
        }

        @Override
        public StreamObserver<Flight.FlightData> doPut(StreamObserver<Flight.PutResult> out) {
            ((ServerCallStreamObserver<Flight.PutResult>) out)
                    .setOnCancelHandler(() -> cancelledAt.add(System.nanoTime()));
            return new Put(out);
        }

        @Override
        public void doAction(Flight.Action request, StreamObserver<Flight.Result> out) {
            guarded(out, () -> action(request, out));
        }

        private void action(Flight.Action request, StreamObserver<Flight.Result> out) {
            Any body =
                    request.getType().startsWith("CancelFlight")
                            ? Any.getDefaultInstance()
                            : any(request.getBody());
            Message result = null;
            synchronized (FakeFlightEngine.this) {
                switch (request.getType()) {
                    case FlightWire.CREATE_PREPARED:
                    case FlightWire.CREATE_PREPARED_PLAN:
                        String sql =
                                shortName(body).equals("ActionCreatePreparedStatementRequest")
                                        ? unpack(
                                                        body,
                                                        FlightSql
                                                                .ActionCreatePreparedStatementRequest
                                                                .class)
                                                .getQuery()
                                        : "select";
                        if (sql.startsWith("bad")) {
                            throw Status.INVALID_ARGUMENT
                                    .withDescription("syntax")
                                    .asRuntimeException();
                        }
                        String made = name("p");
                        prepared.put(made, sql);
                        long marks = sql.chars().filter(c -> c == '?').count();
                        FlightSql.ActionCreatePreparedStatementResult.Builder told =
                                FlightSql.ActionCreatePreparedStatementResult.newBuilder()
                                        .setPreparedStatementHandle(ByteString.copyFromUtf8(made))
                                        .setParameterSchema(
                                                parameterSchema != null
                                                        ? parameterSchema
                                                        : Data.schemaBytes(
                                                                Data.parameters((int) marks)));
                        result =
                                sql.startsWith("select")
                                        ? told.setDatasetSchema(Data.schemaBytes(Data.ROWS)).build()
                                        : told.build();
                        break;
                    case FlightWire.CLOSE_PREPARED:
                        prepared.remove(
                                unpack(body, FlightSql.ActionClosePreparedStatementRequest.class)
                                        .getPreparedStatementHandle()
                                        .toStringUtf8());
                        break;
                    case FlightWire.BEGIN_TRANSACTION:
                        String begun = name("t");
                        transactions.add(begun);
                        result =
                                FlightSql.ActionBeginTransactionResult.newBuilder()
                                        .setTransactionId(ByteString.copyFromUtf8(begun))
                                        .build();
                        break;
                    case FlightWire.END_TRANSACTION:
                        FlightSql.ActionEndTransactionRequest end =
                                unpack(body, FlightSql.ActionEndTransactionRequest.class);
                        alive(end.getTransactionId());
                        String how =
                                end.getAction()
                                                == FlightSql.ActionEndTransactionRequest
                                                        .EndTransaction.END_TRANSACTION_COMMIT
                                        ? "commit"
                                        : "rollback";
                        did(how + " sent");
                        break;
                    case FlightWire.BEGIN_SAVEPOINT:
                        alive(
                                unpack(body, FlightSql.ActionBeginSavepointRequest.class)
                                        .getTransactionId());
                        String point = name("s");
                        savepoints.add(point);
                        result =
                                FlightSql.ActionBeginSavepointResult.newBuilder()
                                        .setSavepointId(ByteString.copyFromUtf8(point))
                                        .build();
                        break;
                    case FlightWire.END_SAVEPOINT:
                        String ended =
                                unpack(body, FlightSql.ActionEndSavepointRequest.class)
                                        .getSavepointId()
                                        .toStringUtf8();
                        if (!savepoints.contains(ended)) {
                            throw Status.NOT_FOUND
                                    .withDescription("no such savepoint")
                                    .asRuntimeException();
                        }
                        break;
                    case FlightWire.CANCEL_INFO:
                        did("cancel");
                        break;
                    default:
                        throw Status.UNIMPLEMENTED
                                .withDescription(request.getType())
                                .asRuntimeException();
                }
            }
            Flight.Result packed =
                    result == null
                            ? null
                            : Flight.Result.newBuilder()
                                    .setBody(Any.pack(result).toByteString())
                                    .build();
            Act act = script.take(request.getType());
            Runnable answer =
                    () -> {
                        effect(request);
                        did(request.getType());
                        if (packed != null) {
                            out.onNext(
                                    act == Act.BAD_PROTOBUF || act == Act.BAD_ARROW
                                            ? Flight.Result.newBuilder()
                                                    .setBody(
                                                            ByteString.copyFromUtf8("\u0001\u0002"))
                                                    .build()
                                            : packed);
                        }
                        if (act == Act.DIES_DURING) {
                            die();
                        } else {
                            out.onCompleted();
                            dieAfter(act);
                        }
                    };
            if (acts(act, out, answer)) {
                answer.run();
            }
        }

        /** Ends of transactions take effect only where the act lets them. */
        private void effect(Flight.Action request) {
            if (request.getType().equals(FlightWire.END_TRANSACTION)) {
                FlightSql.ActionEndTransactionRequest end =
                        unpack(any(request.getBody()), FlightSql.ActionEndTransactionRequest.class);
                synchronized (FakeFlightEngine.this) {
                    transactions.remove(end.getTransactionId().toStringUtf8());
                    did(
                            end.getAction()
                                            == FlightSql.ActionEndTransactionRequest.EndTransaction
                                                    .END_TRANSACTION_COMMIT
                                    ? "commit"
                                    : "rollback");
                }
            }
        }
    }

    /** A DoPut: an update, parameters, or rows. */
    private final class Put implements StreamObserver<Flight.FlightData> {
        private final StreamObserver<Flight.PutResult> out;
        private Any command;
        private Act act;
        private long rows;
        private int batches;
        private int value;
        private boolean answered;

        Put(StreamObserver<Flight.PutResult> out) {
            this.out = out;
        }

        @Override
        public void onNext(Flight.FlightData data) {
            if (command == null) {
                command = any(data.getFlightDescriptor().getCmd());
                act = script.take("put");
                did("put");
                if (act == Act.DIES_BEFORE) {
                    die();
                } else if (act == Act.REFUSES) {
                    fail(out, refusal());
                } else if (act == Act.ERRS_AT_ONCE) {
                    fail(out, Status.INTERNAL.withDescription("scripted"));
                }
            }
            String name = shortName(command);
            if (name.equals("CommandStatementUpdate")
                    || name.equals("CommandStatementSubstraitPlan")) {
                answer(); // Its client reads the answer before it ends its part.
                return;
            }
            if (data.getDataHeader().isEmpty()) {
                return;
            }
            org.apache.arrow.flatbuf.Message message =
                    org.apache.arrow.flatbuf.Message.getRootAsMessage(
                            data.getDataHeader().asReadOnlyByteBuffer());
            if (message.headerType() == MessageHeader.RecordBatch) {
                rows += ((RecordBatch) message.header(new RecordBatch())).length();
                did("batch");
                value =
                        data.getDataBody().size() >= 12
                                ? data.getDataBody()
                                        .substring(8, 12)
                                        .asReadOnlyByteBuffer()
                                        .order(java.nio.ByteOrder.LITTLE_ENDIAN)
                                        .getInt()
                                : 0;
                if (++batches == 1 && act == Act.DIES_DURING) {
                    die();
                }
            }
        }

        @Override
        public void onError(Throwable error) {}

        @Override
        public void onCompleted() {
            if (!answered) {
                answer();
            }
        }

        private void answer() {
            answered = true;
            if (act == Act.REFUSES
                    || act == Act.ERRS_AT_ONCE
                    || act == Act.DIES_BEFORE
                    || act == Act.DIES_DURING && batches > 0) {
                return;
            }
            if (act == Act.DIES_DURING) {
                die();
                return;
            }
            Runnable answer =
                    () -> {
                        try {
                            Message told = end();
                            out.onNext(
                                    Flight.PutResult.newBuilder()
                                            .setAppMetadata(
                                                    act == Act.BAD_PROTOBUF || act == Act.BAD_ARROW
                                                            ? ByteString.copyFromUtf8(
                                                                    "\u0001\u0002\u0007")
                                                            : told.toByteString())
                                            .build());
                            out.onCompleted();
                            dieAfter(act);
                        } catch (io.grpc.StatusRuntimeException e) {
                            fail(out, e.getStatus());
                        }
                    };
            if (acts(act, out, answer)) {
                answer.run();
            }
        }

        private Message end() {
            switch (shortName(command)) {
                case "CommandStatementUpdate":
                    FlightSql.CommandStatementUpdate update =
                            unpack(command, FlightSql.CommandStatementUpdate.class);
                    alive(update.getTransactionId());
                    if (update.getQuery().startsWith("bad")) {
                        throw Status.INVALID_ARGUMENT
                                .withDescription("syntax")
                                .asRuntimeException();
                    }
                    did("update");
                    did("update " + update.getQuery());
                    return FlightSql.DoPutUpdateResult.newBuilder().setRecordCount(3).build();
                case "CommandPreparedStatementUpdate":
                    known(
                            unpack(command, FlightSql.CommandPreparedStatementUpdate.class)
                                    .getPreparedStatementHandle());
                    did("update");
                    return FlightSql.DoPutUpdateResult.newBuilder()
                            .setRecordCount(Math.max(1, rows))
                            .build();
                case "CommandPreparedStatementQuery":
                    ByteString handle =
                            unpack(command, FlightSql.CommandPreparedStatementQuery.class)
                                    .getPreparedStatementHandle();
                    known(handle);
                    synchronized (FakeFlightEngine.this) {
                        bound.put(handle.toStringUtf8(), value);
                    }
                    return FlightSql.DoPutPreparedStatementResult.newBuilder()
                            .setPreparedStatementHandle(handle)
                            .build();
                case "CommandStatementIngest":
                    alive(
                            unpack(command, FlightSql.CommandStatementIngest.class)
                                    .getTransactionId());
                    did("ingest");
                    return FlightSql.DoPutUpdateResult.newBuilder().setRecordCount(rows).build();
                default:
                    did("update");
                    return FlightSql.DoPutUpdateResult.newBuilder().setRecordCount(3).build();
            }
        }

        private void known(ByteString handle) {
            synchronized (FakeFlightEngine.this) {
                if (!prepared.containsKey(handle.toStringUtf8())) {
                    throw Status.NOT_FOUND
                            .withDescription("no such statement")
                            .asRuntimeException();
                }
            }
        }
    }
}
