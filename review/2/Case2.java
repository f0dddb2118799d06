// SPDX-License-Identifier: Apache-2.0
package review;

import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Server;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.ServerInterceptors;
import io.grpc.Context;
import io.grpc.Contexts;
import io.grpc.Status;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.impl.FlightServiceGrpc;
import org.apache.arrow.flight.sql.impl.FlightSql;

/**
 * A load that replaces a table, and has no rows this time, runs at an engine that dies before it
 * can say so: does the load run again elsewhere?
 */
public final class Case2 {
    private static final Metadata.Key<String> REQUEST_ID =
            Metadata.Key.of("x-request-id", Metadata.ASCII_STRING_MARSHALLER);
    private static final Context.Key<String> ID = Context.key("request");
    private static final String LOAD = "load-1";
    /** Loads with rows before it, so that the front end has run this code. */
    private static final int EARLIER = 3;
    /** Six to eight engines run today; one of six is 17%, up to 24% may die at once. */
    private static final int ENGINES = 6;
    /** What the client's source takes until it says that there are no rows. */
    private static final long SOURCE_MS = 1_000;
    /** How long the test looks for a second run. */
    private static final long WATCH_MS = 8_000;

    private Case2() {}

    /** Runs a load when all of it has arrived, as every sound engine does. */
    private static final class Engine extends FlightServiceGrpc.FlightServiceImplBase {
        private final Rig rig;
        private final String name;
        private final AtomicInteger runs;
        volatile Link link;

        Engine(Rig rig, String name, AtomicInteger runs) {
            this.rig = rig;
            this.name = name;
            this.runs = runs;
        }

        @Override
        public StreamObserver<Flight.FlightData> doPut(StreamObserver<Flight.PutResult> out) {
            String id = ID.get();
            return new StreamObserver<>() {
                private int frames;
                private FlightSql.CommandStatementIngest load;

                @Override
                public void onNext(Flight.FlightData data) {
                    if (frames++ == 0) {
                        load =
                                Wire.unpack(
                                        data.getFlightDescriptor().getCmd(),
                                        FlightSql.CommandStatementIngest.class);
                    }
                }

                @Override
                public void onError(Throwable error) {
                    rig.record(name + ": the load " + id + " broke off before it was whole");
                }

                @Override
                public void onCompleted() {
                    int run = id.equals(LOAD) ? runs.incrementAndGet() : 0;
                    rig.record(
                            name + ": RUNS the load " + id + ", table " + load.getSchema() + "."
                                    + load.getTable() + " is replaced, " + (frames - 1) + " batches");
                    if (Rig.trouble() && run == 1) {
                        try {
                            rig.record(name + ": dies before it has answered");
                            link.die();
                        } catch (Exception e) {
                            rig.record(name + ": " + e);
                        }
                        return;
                    }
                    out.onNext(
                            Flight.PutResult.newBuilder()
                                    .setAppMetadata(
                                            FlightSql.DoPutUpdateResult.newBuilder()
                                                    .setRecordCount(0)
                                                    .build()
                                                    .toByteString())
                                    .build());
                    out.onCompleted();
                }
            };
        }
    }

    /** The id that the front end gives the request, the same on each attempt. */
    private static ServerInterceptor ids() {
        return new ServerInterceptor() {
            @Override
            public <Q, R> ServerCall.Listener<Q> interceptCall(
                    ServerCall<Q, R> call, Metadata headers, ServerCallHandler<Q, R> next) {
                return Contexts.interceptCall(
                        Context.current().withValue(ID, String.valueOf(headers.get(REQUEST_ID))),
                        call,
                        headers,
                        next);
            }
        };
    }

    /** Sends a load; its end as text. */
    private static CompletableFuture<String> load(
            Rig rig, ManagedChannel client, String id, List<List<String>> batches) throws Exception {
        CompletableFuture<String> answer = new CompletableFuture<>();
        StreamObserver<Flight.FlightData> put =
                FlightServiceGrpc.newStub(client)
                        .withInterceptors(Wire.headers(Wire.CLASS, "stat-load", REQUEST_ID, id))
                        .withDeadlineAfter(20, TimeUnit.SECONDS)
                        .doPut(
                                new StreamObserver<>() {
                                    @Override
                                    public void onNext(Flight.PutResult result) {}

                                    @Override
                                    public void onError(Throwable error) {
                                        answer.complete(Status.fromThrowable(error).toString());
                                    }

                                    @Override
                                    public void onCompleted() {
                                        answer.complete("served");
                                    }
                                });
        FlightSql.CommandStatementIngest command =
                FlightSql.CommandStatementIngest.newBuilder()
                        .setSchema("sales_17")
                        .setTable("totals")
                        .setTableDefinitionOptions(
                                FlightSql.CommandStatementIngest.TableDefinitionOptions.newBuilder()
                                        .setIfNotExist(
                                                FlightSql.CommandStatementIngest
                                                        .TableDefinitionOptions
                                                        .TableNotExistOption
                                                        .TABLE_NOT_EXIST_OPTION_CREATE)
                                        .setIfExists(
                                                FlightSql.CommandStatementIngest
                                                        .TableDefinitionOptions.TableExistsOption
                                                        .TABLE_EXISTS_OPTION_REPLACE))
                        .build();
        rig.record("client: one load, class stat-load, replaces sales_17.totals, id " + id);
        List<Flight.FlightData> frames = Rows.encode(batches);
        put.onNext(
                frames.get(0).toBuilder().setFlightDescriptor(Wire.descriptor(command)).build());
        Thread.sleep(SOURCE_MS);
        frames.subList(1, frames.size()).forEach(put::onNext);
        put.onCompleted();
        rig.record("client: that was all of " + id + ", " + (frames.size() - 1) + " batches");
        return answer;
    }

    private static int run(Rig rig) throws Exception {
        AtomicInteger runs = new AtomicInteger();
        List<Server> servers = new ArrayList<>();
        List<Link> links = new ArrayList<>();
        List<String> listed = new ArrayList<>();
        for (int i = 1; i <= ENGINES; i++) {
            String name = "s-0000000" + i;
            Engine engine = new Engine(rig, name, runs);
            Server server =
                    NettyServerBuilder.forAddress(new InetSocketAddress("127.0.0.1", 0))
                            .addService(ServerInterceptors.intercept(engine, ids()))
                            .build()
                            .start();
            engine.link = new Link(server.getPort());
            servers.add(server);
            links.add(engine.link);
            listed.add(ChangeLog.engine(name, engine.link.port(), "Ready", 0));
        }
        rig.changeLog().tell(listed.toArray(new String[0]));
        Rig.FrontEnd front = rig.startFrontEnd("n1");
        ManagedChannel client = Wire.connect(front.flightPort());
        for (int i = 0; i < EARLIER; i++) {
            load(rig, client, "earlier-" + i, List.of(List.of("a", "b"))).get(20, TimeUnit.SECONDS);
        }
        CompletableFuture<String> answer = load(rig, client, LOAD, List.of());
        long until = rig.millis() + WATCH_MS;
        boolean told = false;
        while (rig.millis() < until) {
            if (answer.isDone() && !told) {
                told = true;
                rig.record("client: the load ended with " + answer.join());
            }
            Thread.sleep(20);
        }
        if (runs.get() == 0) {
            throw new IllegalStateException("the load never came to an engine");
        }
        client.shutdownNow();
        for (Link link : links) {
            link.close();
        }
        servers.forEach(Server::shutdownNow);
        boolean held = runs.get() == 1;
        rig.record(
                held
                        ? "HELD: the load ran once"
                        : "BROKEN: the load ran " + runs.get() + " times");
        return held ? Rig.HELD : Rig.BROKEN;
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
