// SPDX-License-Identifier: Apache-2.0
package review2;

import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import io.grpc.Server;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.impl.FlightServiceGrpc;
import org.apache.arrow.flight.sql.impl.FlightSql;

/**
 * A sound Flight SQL engine: plain queries, updates, {@code create table}, the table catalog and
 * transactions. Every call is recorded when it arrives and when it is answered. It takes as long
 * for a kind of call as it is told to.
 */
final class FlightEngine implements AutoCloseable {
    static final String INFO = "GetFlightInfo";
    static final String SCHEMA = "GetSchema";
    static final String GET = "DoGet";
    static final String PUT = "DoPut";

    private final Rig rig;
    private final String name;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4);
    private final Server server;
    private final ConcurrentHashMap<String, Long> delays = new ConcurrentHashMap<>();
    private final Set<String> tables = new ConcurrentSkipListSet<>();
    private final Set<String> transactions = ConcurrentHashMap.newKeySet();
    private final Map<String, String> prepared = new ConcurrentHashMap<>();
    private final Map<Integer, Integer> points = new ConcurrentSkipListMap<>();
    private final TreeMap<String, Long> lastArrival = new TreeMap<>();
    private int begun;
    private int made;

    FlightEngine(Rig rig, String name) throws IOException {
        this.rig = rig;
        this.name = name;
        server =
                NettyServerBuilder.forAddress(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .addService(new Service())
                        .build()
                        .start();
    }

    int port() {
        return server.getPort();
    }

    /** How long a kind of call takes from now on. */
    void takes(String kind, long millis) {
        delays.put(kind, millis);
    }

    /** The transactions that are neither committed nor rolled back. */
    int openTransactions() {
        return transactions.size();
    }

    /** Players and their points; a prepared update adds one point for each row's player. */
    Map<Integer, Integer> points() {
        return points;
    }

    Set<String> tables() {
        return tables;
    }

    /** When a call of the kind last arrived, in the record's milliseconds; -1 if none has. */
    long lastArrival(String kind) {
        synchronized (lastArrival) {
            return lastArrival.getOrDefault(kind, -1L);
        }
    }

    private void arrived(String kind, String text) {
        synchronized (lastArrival) {
            lastArrival.put(kind, rig.millis());
        }
        rig.note(name, kind + " arrived: " + text);
    }

    private void after(String kind, Runnable answer) {
        timer.schedule(answer, delays.getOrDefault(kind, 0L), TimeUnit.MILLISECONDS);
    }

    private static Any any(ByteString bytes) {
        try {
            return Any.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw Status.INVALID_ARGUMENT.asRuntimeException();
        }
    }

    private static <M extends Message> M unpack(Any any, Class<M> as) {
        try {
            return any.unpack(as);
        } catch (InvalidProtocolBufferException e) {
            throw Status.INVALID_ARGUMENT.asRuntimeException();
        }
    }

    private static String kind(Any any) {
        return any.getTypeUrl().substring(any.getTypeUrl().lastIndexOf('.') + 1);
    }

    /** The text of a query command; it is the ticket, too. */
    private static String text(Any any) {
        return any.is(FlightSql.CommandStatementQuery.class)
                ? unpack(any, FlightSql.CommandStatementQuery.class).getQuery()
                : kind(any);
    }

    private final class Service extends FlightServiceGrpc.FlightServiceImplBase {
        private <T> void one(String kind, String text, StreamObserver<T> out, T message) {
            arrived(kind, text);
            after(
                    kind,
                    () -> {
                        rig.note(name, kind + " answered: " + text);
                        if (!((ServerCallStreamObserver<T>) out).isCancelled()) {
                            out.onNext(message);
                            out.onCompleted();
                        }
                    });
        }

        @Override
        public void getFlightInfo(
                Flight.FlightDescriptor request, StreamObserver<Flight.FlightInfo> out) {
            String text = text(any(request.getCmd()));
            one(
                    INFO,
                    text,
                    out,
                    Flight.FlightInfo.newBuilder()
                            .setFlightDescriptor(request)
                            .setSchema(Rows.schemaBytes())
                            .addEndpoint(
                                    Flight.FlightEndpoint.newBuilder()
                                            .setTicket(
                                                    Flight.Ticket.newBuilder()
                                                            .setTicket(
                                                                    ByteString.copyFromUtf8(text))))
                            .build());
        }

        @Override
        public void getSchema(
                Flight.FlightDescriptor request, StreamObserver<Flight.SchemaResult> out) {
            one(
                    SCHEMA,
                    text(any(request.getCmd())),
                    out,
                    Flight.SchemaResult.newBuilder().setSchema(Rows.schemaBytes()).build());
        }

        @Override
        public void doGet(Flight.Ticket request, StreamObserver<Flight.FlightData> out) {
            String text = request.getTicket().toStringUtf8();
            ServerCallStreamObserver<Flight.FlightData> to =
                    (ServerCallStreamObserver<Flight.FlightData>) out;
            to.setOnCancelHandler(() -> rig.note(name, GET + " cancelled: " + text));
            arrived(GET, text);
            after(
                    GET,
                    () -> {
                        Iterator<Flight.FlightData> messages =
                                text.equals("CommandGetTables")
                                        ? Rows.tables(tables).iterator()
                                        : Rows.numbered(text).iterator();
                        while (messages.hasNext() && !to.isCancelled()) {
                            to.onNext(messages.next());
                        }
                        if (!to.isCancelled()) {
                            to.onCompleted();
                            rig.note(name, GET + " answered: " + text);
                        }
                    });
        }

        @Override
        public StreamObserver<Flight.FlightData> doPut(StreamObserver<Flight.PutResult> out) {
            return new Put(out);
        }

        @Override
        public void doAction(Flight.Action request, StreamObserver<Flight.Result> out) {
            String type = request.getType();
            if (type.equals("CreatePreparedStatement")) {
                String handle = "p" + ++made + "@" + name;
                prepared.put(
                        handle,
                        unpack(
                                        any(request.getBody()),
                                        FlightSql.ActionCreatePreparedStatementRequest.class)
                                .getQuery());
                one(
                        type,
                        handle,
                        out,
                        result(
                                FlightSql.ActionCreatePreparedStatementResult.newBuilder()
                                        .setPreparedStatementHandle(
                                                ByteString.copyFromUtf8(handle))
                                        .setParameterSchema(Rows.parameterBytes())
                                        .build()));
            } else if (type.equals("ClosePreparedStatement")) {
                String handle =
                        unpack(
                                        any(request.getBody()),
                                        FlightSql.ActionClosePreparedStatementRequest.class)
                                .getPreparedStatementHandle()
                                .toStringUtf8();
                arrived(type, handle);
                prepared.remove(handle);
                out.onCompleted();
            } else if (type.equals("BeginTransaction")) {
                String handle = "t" + ++begun + "@" + name;
                transactions.add(handle);
                one(
                        type,
                        handle,
                        out,
                        result(
                                FlightSql.ActionBeginTransactionResult.newBuilder()
                                        .setTransactionId(ByteString.copyFromUtf8(handle))
                                        .build()));
            } else if (type.equals("EndTransaction")) {
                FlightSql.ActionEndTransactionRequest end =
                        unpack(any(request.getBody()), FlightSql.ActionEndTransactionRequest.class);
                String handle = end.getTransactionId().toStringUtf8();
                arrived(type, handle + " " + end.getAction());
                if (!transactions.remove(handle)) {
                    out.onError(
                            Status.NOT_FOUND
                                    .withDescription("no such transaction")
                                    .asRuntimeException());
                    return;
                }
                rig.note(name, type + " answered: " + handle);
                out.onCompleted();
            } else {
                arrived(type, "");
                out.onError(Status.UNIMPLEMENTED.asRuntimeException());
            }
        }

        private Flight.Result result(Message message) {
            return Flight.Result.newBuilder().setBody(Any.pack(message).toByteString()).build();
        }
    }

    /** An update of a client: plain, or prepared with rows of parameters. */
    private final class Put implements StreamObserver<Flight.FlightData> {
        private final StreamObserver<Flight.PutResult> out;
        private final List<Flight.FlightData> frames = new ArrayList<>();
        private Any command;

        Put(StreamObserver<Flight.PutResult> out) {
            this.out = out;
        }

        @Override
        public void onNext(Flight.FlightData data) {
            if (data.hasFlightDescriptor()) {
                command = any(data.getFlightDescriptor().getCmd());
                arrived(PUT, isPrepared() ? "of " + handle() : sql());
            }
            if (!data.getDataHeader().isEmpty()) {
                frames.add(data);
            }
        }

        private boolean isPrepared() {
            return command.is(FlightSql.CommandPreparedStatementUpdate.class);
        }

        private String sql() {
            return unpack(command, FlightSql.CommandStatementUpdate.class).getQuery();
        }

        private String handle() {
            return unpack(command, FlightSql.CommandPreparedStatementUpdate.class)
                    .getPreparedStatementHandle()
                    .toStringUtf8();
        }

        @Override
        public void onError(Throwable error) {}

        @Override
        public void onCompleted() {
            after(
                    PUT,
                    () -> {
                        try {
                            long rows = isPrepared() ? award() : run();
                            rig.note(name, PUT + " done and answered");
                            out.onNext(
                                    Flight.PutResult.newBuilder()
                                            .setAppMetadata(
                                                    FlightSql.DoPutUpdateResult.newBuilder()
                                                            .setRecordCount(rows)
                                                            .build()
                                                            .toByteString())
                                            .build());
                            out.onCompleted();
                        } catch (StatusRuntimeException e) {
                            rig.note(name, PUT + " answered: " + e.getStatus());
                            out.onError(e);
                        } catch (IOException e) {
                            out.onError(Status.INTERNAL.asRuntimeException());
                        }
                    });
        }

        private long run() {
            String sql = sql();
            if (sql.startsWith("create table ")) {
                tables.add(sql.split(" ")[2]);
            }
            rig.note(name, "ran: " + sql);
            return 1;
        }

        /** Row after row, each for itself, as without a transaction. */
        private long award() throws IOException {
            if (!prepared.containsKey(handle())) {
                throw Status.NOT_FOUND.withDescription("no such statement").asRuntimeException();
            }
            List<String> players = Rows.column(frames, "p0");
            for (String player : players) {
                int number = Integer.parseInt(player);
                if (!points.containsKey(number)) {
                    throw Status.NOT_FOUND
                            .withDescription("no player " + number)
                            .asRuntimeException();
                }
                rig.note(
                        name,
                        "player " + number + " now has " + points.merge(number, 1, Integer::sum));
            }
            return players.size();
        }
    }

    @Override
    public void close() {
        server.shutdownNow();
        timer.shutdownNow();
    }
}
