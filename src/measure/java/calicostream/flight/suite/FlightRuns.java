// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.suite;

import calicostream.flight.suite.Script.Act;
import calicostream.flight.wire.FlightWire;
import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCallStreamObserver;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.arrow.flight.FlightRuntimeException;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.impl.FlightServiceGrpc;
import org.apache.arrow.flight.sql.FlightSqlClient;

/**
 * Runs for the measurement: engines that are killed under loads and commits, and clients that
 * cancel.
 */
public final class FlightRuns {
    /**
     * Kills made; loads and commits that an engine did twice; the longest from a cancel to the
     * engine, in ms.
     */
    public record Result(int kills, int doubles, long slowestCancelMs) {}

    private static final int KILLS = 20;
    private static final int LOADS = 24;
    private static final int CANCELS = 100;
    private final Path folder;

    public FlightRuns(Path folder) {
        this.folder = folder;
    }

    public Result run() throws Exception {
        long seed = System.nanoTime();
        System.out.println("runs with kills: seed " + seed);
        Random random = new Random(seed);
        int doubles = 0;
        ExecutorService some = Executors.newFixedThreadPool(5);
        List<Future<Integer>> all = new ArrayList<>();
        for (int i = 0; i < KILLS; i++) {
            Random own = new Random(random.nextLong());
            int number = i;
            all.add(some.submit(() -> killed(own, number)));
        }
        for (Future<Integer> each : all) {
            doubles += each.get(40, TimeUnit.SECONDS);
        }
        some.shutdownNow();
        return new Result(KILLS, doubles, cancels());
    }

    /** Loads and commits while one of three engines is killed; how many were done twice. */
    private int killed(Random random, int number) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(8);
        AtomicInteger done = new AtomicInteger();
        Script script = new Script();
        try (FlightHarness rig =
                new FlightHarness(script, 3, 256, Files.createTempDirectory(folder, "kills"))) {
            FlightSqlClient client = rig.client();
            List<Future<?>> all = new ArrayList<>();
            List<FakeFlightEngine> ever = new ArrayList<>(rig.engines);
            int killAfter = random.nextInt(LOADS);
            Act[] acts = {Act.SLOW, Act.ANSWERS, Act.DIES_DURING, Act.DIES_BEFORE, Act.DIES_AFTER};
            script.next(
                    number % 2 == 0 ? "put" : FlightWire.END_TRANSACTION,
                    acts[random.nextInt(acts.length)]);
            for (int i = 0; i < LOADS; i++) {
                String sql = "insert into t values (" + i + ")";
                boolean transaction = i % 4 == 0;
                all.add(
                        threads.submit(
                                () -> {
                                    try {
                                        if (transaction) {
                                            FlightSqlClient.Transaction txn =
                                                    client.beginTransaction(
                                                            FlightHarness.options("lookup", 1500));
                                            client.executeUpdate(
                                                    sql,
                                                    txn,
                                                    FlightHarness.options("stat-load", 1500));
                                            client.commit(
                                                    txn, FlightHarness.options("stat-load", 1500));
                                        } else {
                                            client.executeUpdate(
                                                    sql, FlightHarness.options("stat-load", 1500));
                                        }
                                    } catch (FlightRuntimeException e) {
                                        // Told to its client; whether it ran is counted at the
                                        // engines.
                                    }
                                    done.incrementAndGet();
                                }));
            }
            FlightHarness.await("some are done", () -> done.get() >= killAfter / 2);
            rig.engines.get(random.nextInt(3)).die();
            for (Future<?> each : all) {
                each.get(30, TimeUnit.SECONDS);
            }
            int doubles = 0;
            for (int i = 0; i < LOADS; i++) {
                String sql = "update insert into t values (" + i + ")";
                doubles += Math.max(0, ever.stream().mapToInt(each -> each.count(sql)).sum() - 1);
            }
            int begun = (LOADS + 3) / 4;
            int commits = ever.stream().mapToInt(each -> each.count("commit")).sum();
            return doubles + Math.max(0, commits - begun);
        } finally {
            threads.shutdownNow();
        }
    }

    private long cancels() throws Exception {
        long slowest = 0;
        Script script = new Script();
        script.always("get", Act.HANGS);
        try (FlightHarness rig =
                new FlightHarness(script, 1, 256, Files.createTempDirectory(folder, "cancels"))) {
            ManagedChannel channel =
                    NettyChannelBuilder.forAddress("127.0.0.1", rig.port()).usePlaintext().build();
            FlightServiceGrpc.FlightServiceBlockingStub stub =
                    FlightServiceGrpc.newBlockingStub(channel);
            FakeFlightEngine engine = rig.engines.get(0);
            for (int i = 0; i < CANCELS; i++) {
                Flight.FlightInfo info = stub.getFlightInfo(RawFlightClient.query("select rows=1"));
                ClientCallStreamObserver<Flight.Ticket> call =
                        RawFlightClient.unread(
                                channel,
                                info.getEndpoint(0).getTicket(),
                                new CompletableFuture<>());
                int wanted = i + 1;
                FlightHarness.await("at the engine", () -> rig.count("get") == wanted);
                long at = System.nanoTime();
                if (i % 2 == 0) {
                    call.cancel("no longer wanted", null);
                } else {
                    stub.doAction(
                                    Flight.Action.newBuilder()
                                            .setType(FlightWire.CANCEL_INFO)
                                            .setBody(
                                                    Flight.CancelFlightInfoRequest.newBuilder()
                                                            .setInfo(info)
                                                            .build()
                                                            .toByteString())
                                            .build())
                            .next();
                }
                FlightHarness.await("freed", () -> engine.cancelledAt().size() == wanted);
                slowest = Math.max(slowest, engine.cancelledAt().get(i) - at);
            }
            channel.shutdownNow();
        }
        return TimeUnit.NANOSECONDS.toMillis(slowest);
    }
}
