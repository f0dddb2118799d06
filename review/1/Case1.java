// SPDX-License-Identifier: Apache-2.0
package review;

import com.google.flatbuffers.Table;
import com.google.protobuf.ByteString;
import io.grpc.ManagedChannel;
import io.grpc.Server;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.lang.reflect.Field;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.arrow.flatbuf.Message;
import org.apache.arrow.flatbuf.Schema;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.impl.FlightServiceGrpc;
import org.apache.arrow.flight.sql.impl.FlightSql;
import org.apache.arrow.vector.ipc.message.IpcOption;
import org.apache.arrow.vector.ipc.message.MessageSerializer;
import org.apache.arrow.vector.types.pojo.ArrowType;
import org.apache.arrow.vector.types.pojo.FieldType;

/**
 * One client binds parameters whose schema cannot be read: does the front end go on, and are the
 * other client's requests still answered?
 */
public final class Case1 {
    private static final String SQL = "select c1 from sales_17.orders where c1 = ?";
    /** What the engine takes for a query; the class lookup has 91 to 190 ms on average. */
    private static final long WORK_MS = 150;
    /** How long the sound client asks before the bad one comes, and after it. */
    private static final long BEFORE_MS = 2_000;

    private static final long AFTER_MS = 6_000;
    /** The deadline of the class lookup and half a second. */
    private static final long ANSWER_MS = 4_500;
    /** What the first query may take, on a front end that has just started. */
    private static final long FIRST_MS = 30_000;

    private static final String SERVED = "served";

    private Case1() {}

    /** Answers each query with one row, and prepares what it is asked to. */
    private static final class Engine extends FlightServiceGrpc.FlightServiceImplBase {
        @Override
        public void doAction(Flight.Action request, StreamObserver<Flight.Result> out) {
            if (request.getType().equals("CreatePreparedStatement")) {
                try {
                    ByteString header = Rows.encode(List.of()).get(0).getDataHeader();
                    ByteBuffer prefix = ByteBuffer.allocate(8).order(ByteOrder.LITTLE_ENDIAN);
                    prefix.putInt(-1).putInt(header.size()).flip();
                    ByteString schema = ByteString.copyFrom(prefix).concat(header);
                    out.onNext(
                            Flight.Result.newBuilder()
                                    .setBody(
                                            Wire.pack(
                                                    FlightSql.ActionCreatePreparedStatementResult
                                                            .newBuilder()
                                                            .setPreparedStatementHandle(
                                                                    ByteString.copyFromUtf8(
                                                                            "statement"))
                                                            .setDatasetSchema(schema)
                                                            .setParameterSchema(schema)
                                                            .build()))
                                    .build());
                } catch (IOException e) {
                    out.onError(Status.INTERNAL.asRuntimeException());
                    return;
                }
            }
            out.onCompleted();
        }

        @Override
        public void getFlightInfo(
                Flight.FlightDescriptor request, StreamObserver<Flight.FlightInfo> out) {
            out.onNext(
                    Flight.FlightInfo.newBuilder()
                            .setFlightDescriptor(request)
                            .addEndpoint(
                                    Flight.FlightEndpoint.newBuilder()
                                            .setTicket(
                                                    Flight.Ticket.newBuilder()
                                                            .setTicket(request.getCmd())))
                            .build());
            out.onCompleted();
        }

        @Override
        public void getSchema(
                Flight.FlightDescriptor request, StreamObserver<Flight.SchemaResult> out) {
            out.onError(Status.UNIMPLEMENTED.asRuntimeException());
        }

        @Override
        public void doGet(Flight.Ticket request, StreamObserver<Flight.FlightData> out) {
            try {
                Thread.sleep(WORK_MS);
                Rows.encode(List.of(List.of("a"))).forEach(out::onNext);
                out.onCompleted();
            } catch (IOException | InterruptedException e) {
                out.onError(Status.INTERNAL.asRuntimeException());
            }
        }
    }

    /**
     * A schema of one list column that cannot be read: the offset of the list's only child is
     * negative and leads back to the list itself.
     */
    private static ByteString unreadable() throws ReflectiveOperationException {
        org.apache.arrow.vector.types.pojo.Field item =
                new org.apache.arrow.vector.types.pojo.Field(
                        "item", FieldType.nullable(ArrowType.Utf8.INSTANCE), null);
        org.apache.arrow.vector.types.pojo.Field list =
                new org.apache.arrow.vector.types.pojo.Field(
                        "c1", FieldType.nullable(ArrowType.List.INSTANCE), List.of(item));
        ByteBuffer sound =
                MessageSerializer.serializeMetadata(
                        new org.apache.arrow.vector.types.pojo.Schema(List.of(list)),
                        IpcOption.DEFAULT);
        byte[] bytes = new byte[sound.remaining()];
        sound.get(bytes);
        ByteBuffer header = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        Schema schema = (Schema) Message.getRootAsMessage(header).header(new Schema());
        int parent = position(schema.fields(0));
        int child = position(schema.fields(0).children(0));
        for (int at = 0; at + 4 <= bytes.length; at += 4) {
            if (at != child && at + header.getInt(at) == child) {
                header.putInt(at, parent - at);
            }
        }
        if (position(schema.fields(0).children(0)) != parent) {
            throw new IllegalStateException("the child's offset was not found");
        }
        return ByteString.copyFrom(bytes);
    }

    private static int position(Table table) throws ReflectiveOperationException {
        Field position = Table.class.getDeclaredField("bb_pos");
        position.setAccessible(true);
        return position.getInt(table);
    }

    /** Binds one row to the statement, under this schema; the call's end as text. */
    private static String bind(ManagedChannel client, ByteString handle, ByteString schema)
            throws Exception {
        CompletableFuture<String> end = new CompletableFuture<>();
        StreamObserver<Flight.FlightData> put =
                FlightServiceGrpc.newStub(client)
                        .withDeadlineAfter(10, TimeUnit.SECONDS)
                        .doPut(
                                new StreamObserver<>() {
                                    @Override
                                    public void onNext(Flight.PutResult result) {}

                                    @Override
                                    public void onError(Throwable error) {
                                        end.complete("status " + Status.fromThrowable(error));
                                    }

                                    @Override
                                    public void onCompleted() {
                                        end.complete("served");
                                    }
                                });
        List<Flight.FlightData> sound = Rows.encode(List.of(List.of("a")));
        put.onNext(
                sound.get(0).toBuilder()
                        .setDataHeader(schema == null ? sound.get(0).getDataHeader() : schema)
                        .setFlightDescriptor(
                                Wire.descriptor(
                                        FlightSql.CommandPreparedStatementQuery.newBuilder()
                                                .setPreparedStatementHandle(handle)
                                                .build()))
                        .build());
        put.onNext(sound.get(1));
        put.onCompleted();
        try {
            return end.get(12, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            return "no end";
        }
    }

    private static ByteString prepare(ManagedChannel client) {
        Flight.Result made =
                FlightServiceGrpc.newBlockingStub(client)
                        .withDeadlineAfter(10, TimeUnit.SECONDS)
                        .doAction(
                                Wire.action(
                                        "CreatePreparedStatement",
                                        FlightSql.ActionCreatePreparedStatementRequest.newBuilder()
                                                .setQuery(SQL)
                                                .build()))
                        .next();
        return Wire.unpack(made.getBody(), FlightSql.ActionCreatePreparedStatementResult.class)
                .getPreparedStatementHandle();
    }

    /** One query of the sound client; its end as text. */
    private static String ask(ManagedChannel client, int number, long patienceMs) {
        try {
            FlightServiceGrpc.FlightServiceBlockingStub stub =
                    FlightServiceGrpc.newBlockingStub(client)
                            .withDeadlineAfter(patienceMs, TimeUnit.MILLISECONDS);
            Flight.FlightInfo info = stub.getFlightInfo(Wire.query("select " + number));
            Iterator<Flight.FlightData> frames = stub.doGet(info.getEndpoint(0).getTicket());
            while (frames.hasNext()) {
                frames.next();
            }
            return SERVED;
        } catch (StatusRuntimeException e) {
            return e.getStatus().getCode() + ", " + e.getStatus().getDescription();
        }
    }

    private static int run(Rig rig) throws Exception {
        Server engine =
                NettyServerBuilder.forAddress(new InetSocketAddress("127.0.0.1", 0))
                        .addService(new Engine())
                        .build()
                        .start();
        rig.changeLog().tell(ChangeLog.engine("s-00000001", engine.getPort(), "Ready", 0));
        Rig.FrontEnd front = rig.startFrontEnd("n1");
        ManagedChannel sound = Wire.connect(front.flightPort());
        ManagedChannel bad = Wire.connect(front.flightPort());
        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger asked = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        rig.record("sound client: first request " + ask(sound, 0, FIRST_MS));
        Thread client =
                new Thread(
                        () -> {
                            while (!stop.get()) {
                                int number = asked.incrementAndGet();
                                String end = ask(sound, number, ANSWER_MS);
                                if (end.equals(SERVED)) {
                                    served.incrementAndGet();
                                } else if (!stop.get()) {
                                    rig.record("sound client: request " + number + " " + end);
                                }
                                if (!front.process().isAlive()) {
                                    return;
                                }
                            }
                        });
        client.setDaemon(true);
        client.start();
        // A sound statement and a sound row before, so that the front end has run this code.
        ByteString handle = prepare(bad);
        rig.record("second client: binds a row, " + bind(bad, handle, null));
        Thread.sleep(BEFORE_MS);
        if (!front.process().isAlive()) {
            throw new IllegalStateException("the front end ended before the disruption");
        }
        rig.record("sound client: " + served.get() + " requests served so far");
        ByteString schema = Rig.trouble() ? unreadable() : null;
        rig.record(
                "second client: binds a row"
                        + (schema == null
                                ? ""
                                : " under a schema of "
                                        + schema.size()
                                        + " bytes that cannot be read"));
        rig.record("second client: " + bind(bad, handle, schema));
        Thread.sleep(AFTER_MS);
        boolean alive = front.process().isAlive();
        stop.set(true);
        client.join(5_000);
        rig.record("sound client: " + served.get() + " of " + asked.get() + " requests served");
        if (!alive) {
            rig.record("front end: its process has ended, code " + front.process().exitValue());
            rig.recordLog("n1", "Exception in thread");
        }
        sound.shutdownNow();
        bad.shutdownNow();
        engine.shutdownNow();
        rig.record(alive ? "HELD: the front end goes on" : "BROKEN: the front end has crashed");
        return alive ? Rig.HELD : Rig.BROKEN;
    }

    public static void main(String[] args) {
        int code = Rig.COULD_NOT_RUN;
        try (Rig rig = new Rig(Path.of(args[0]))) {
            try {
                code = run(rig);
            } catch (Exception e) {
                rig.record("the case could not run: " + e);
            }
        } catch (Exception e) {
            System.err.println("the case could not run: " + e);
        }
        Runtime.getRuntime().halt(code);
    }
}
