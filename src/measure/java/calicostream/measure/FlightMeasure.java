// SPDX-License-Identifier: Apache-2.0
package calicostream.measure;

import calicostream.flight.suite.FakeFlightEngine;
import calicostream.flight.suite.FlightRuns;
import calicostream.flight.suite.RawFlightClient;
import calicostream.wire.FakeDiscoveryServer;
import calicostream.wire.ServerProgram;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;
import org.apache.arrow.flight.FlightClient;
import org.apache.arrow.flight.FlightInfo;
import org.apache.arrow.flight.FlightStream;
import org.apache.arrow.flight.Location;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.impl.FlightServiceGrpc;
import org.apache.arrow.flight.sql.FlightSqlClient;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.memory.RootAllocator;

/**
 * What the front end costs: daemon and engine are processes of their own, and each figure is a
 * ratio against the engine read directly, in turn, in the same run. The last line holds the
 * figures.
 */
public final class FlightMeasure {
    private static final String LARGE =
            "select rows=512000 batch=1000 width=1044"; // 512 MB and a little
    private static final String SMALL = "select rows=100 width=100";
    private static final int WARM = 500;
    private static final int LARGE_ROUNDS = 5;
    private static final int SMALL_CALLS = 1500;
    private static final int STALLED = 100;
    private static final int POLLS = 5000;
    private static final String[] ENGINE_HEAP = {"-Xmx512m"};
    private static final String[] FRONT_HEAP = {
        "-XX:+UseSerialGC",
        "-Xms64m",
        "-Xmx64m",
        "-XX:MaxDirectMemorySize=192m",
        "-XX:TieredStopAtLevel=1",
        "-XX:-UsePerfData"
    };
    private final BufferAllocator allocator = new RootAllocator();
    private final Path folder = Files.createTempDirectory("flight-measure");
    private final FakeDiscoveryServer log = new FakeDiscoveryServer();
    private final List<Process> processes = new ArrayList<>();
    private final List<AutoCloseable> clients = new ArrayList<>();
    private Process front;
    private int frontPort, enginePort;

    private FlightMeasure() throws IOException {}

    /** {@code engine}: serves as the engine's process. */
    public static void main(String[] args) throws Exception {
        if (args.length == 1 && args[0].equals("engine")) {
            System.out.println("port " + FakeFlightEngine.alone().address().getPort());
            Thread.currentThread().join();
        }
        FlightMeasure measure = new FlightMeasure();
        try {
            measure.start();
            measure.run();
        } finally {
            for (Process each : measure.processes) {
                each.destroy();
                each.waitFor(3, TimeUnit.SECONDS);
            }
        }
        System.exit(0);
    }

    private Process launch(Path output, String[] heap, String... main) throws IOException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java")
                                        .toString()));
        command.addAll(List.of(heap));
        command.addAll(
                List.of(
                        "--add-opens=java.base/java.nio=ALL-UNNAMED",
                        "-Dcalicostream.deploy=" + folder,
                        "-Xlog:gc:file=" + output + ".gc",
                        "-cp",
                        System.getProperty("java.class.path")));
        command.addAll(List.of(main));
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(output.toFile());
        builder.environment().put("NODE_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("TMPDIR", folder.toString());
        Process out = builder.start();
        processes.add(out);
        return out;
    }

    private static int port(Path output, String of) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(15);
        while (System.nanoTime() < until) {
            try (BufferedReader in = Files.newBufferedReader(output)) {
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    if (line.contains(of)) {
                        return Integer.parseInt(line.substring(line.lastIndexOf(' ') + 1));
                    }
                }
            }
            Thread.sleep(20);
        }
        throw new IOException("not started:\n" + Files.readString(output));
    }

    private void start() throws Exception {
        Path engineOut = folder.resolve("engine.out");
        launch(engineOut, ENGINE_HEAP, "calicostream.measure.FlightMeasure", "engine");
        enginePort = port(engineOut, "port ");
        InetSocketAddress engine =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), enginePort);
        Path config =
                ServerProgram.configure(
                        folder,
                        0,
                        log.port(),
                        List.of(ServerProgram.endpoint("e1", engine, "Ready", 0)),
                        8192);
        Files.writeString(
                config,
                Files.readString(config)
                        .replace("\"kind_cores\":[12,8]", "\"kind_cores\":[8192,8192]"));
        Files.writeString(
                folder.resolve("flight.json"),
                "{\"enabled\":true,\"listen\":\"127.0.0.1:0\","
                    + "\"query_class\":\"report\",\"metadata_class\":\"lookup\",\"poll_wait_ms\":60000,"
                    + "\"metadata_life_ms\":60000,\"calls\":20000,\"calls_per_client\":20000}");
        Path frontOut = folder.resolve("front.out");
        front = launch(frontOut, FRONT_HEAP, "calicostream.Main", "serve");
        frontPort = port(frontOut, "Flight SQL listening on port");
    }

    private FlightSqlClient client(int port) {
        FlightSqlClient out =
                new FlightSqlClient(
                        FlightClient.builder(allocator, Location.forGrpcInsecure("127.0.0.1", port))
                                .build());
        clients.add(out);
        return out;
    }

    private ManagedChannel channel(int port) {
        return NettyChannelBuilder.forAddress("127.0.0.1", port).usePlaintext().build();
    }

    private static long read(FlightSqlClient client, String sql) throws Exception {
        FlightInfo info = client.execute(sql);
        long bytes = 0;
        try (FlightStream stream = client.getStream(info.getEndpoints().get(0).getTicket())) {
            while (stream.next()) {
                bytes +=
                        stream.getRoot().getFieldVectors().stream()
                                .mapToLong(each -> each.getBufferSize())
                                .sum();
            }
        }
        return bytes;
    }

    private static double seconds(long since) {
        return (System.nanoTime() - since) / 1e9;
    }

    private void run() throws Exception {
        FlightSqlClient direct = client(enginePort);
        FlightSqlClient through = client(frontPort);
        for (int i = 0; i < WARM; i++) { // warm
            read(direct, SMALL);
            read(through, SMALL);
        }
        read(direct, "select rows=100000 batch=1000 width=1044");
        read(through, "select rows=100000 batch=1000 width=1044");
        double[] ratios = new double[LARGE_ROUNDS];
        double fastest = 0;
        for (int i = 0; i < LARGE_ROUNDS; i++) {
            long at = System.nanoTime();
            long bytes = read(direct, LARGE);
            double directly = seconds(at);
            at = System.nanoTime();
            if (read(through, LARGE) != bytes) {
                throw new IllegalStateException("not the same result");
            }
            ratios[i] = directly / seconds(at);
            fastest = Math.max(fastest, bytes / 1e6 * ratios[i] / directly);
            System.out.printf(
                    Locale.ROOT,
                    "large %d: %.0f MB, direct %.2f s, ratio %.2f%n",
                    i,
                    bytes / 1e6,
                    directly,
                    ratios[i]);
        }
        Arrays.sort(ratios);
        Histogram[] small = {new Histogram(60_000_000, 3), new Histogram(60_000_000, 3)};
        for (int i = 0; i < SMALL_CALLS * 2; i++) {
            long at = System.nanoTime();
            read(i % 2 == 0 ? direct : through, SMALL);
            small[i % 2].recordValue((System.nanoTime() - at) / 1000);
        }
        for (Histogram each : small) {
            System.out.println(
                    "small us: p50 "
                            + each.getValueAtPercentile(50)
                            + " p99 "
                            + each.getValueAtPercentile(99));
        }
        stall();
        int heap = peakHeap();
        int[] polls = polls();
        long resident = status("VmHWM:") / 1024;
        front.destroyForcibly().waitFor();
        FlightRuns.Result runs = new FlightRuns(folder).run();
        System.out.printf(
                Locale.ROOT,
                "flight stream_ratio=%.2f stream_mb_s=%.0f peak_heap_mb=%d resident_mb=%d"
                        + " small_ratio_p50=%.2f small_ratio_p99=%.2f small_p50_us=%d calls_open=%d"
                        + " threads=%d kill_runs=%d double_loads=%d cancel_p100_ms=%d%n",
                ratios[LARGE_ROUNDS / 2],
                fastest,
                heap,
                resident,
                ratio(small, 50),
                ratio(small, 99),
                small[1].getValueAtPercentile(50),
                polls[0],
                polls[1],
                runs.kills(),
                runs.doubles(),
                runs.slowestCancelMs());
    }

    private static double ratio(Histogram[] each, double percentile) {
        return (double) each[1].getValueAtPercentile(percentile)
                / each[0].getValueAtPercentile(percentile);
    }

    /** Clients that open a large result and read nothing, for two seconds. */
    private void stall() throws Exception {
        ManagedChannel channel = channel(frontPort);
        List<ClientCallStreamObserver<Flight.Ticket>> calls = new ArrayList<>();
        for (int i = 0; i < STALLED; i++) {
            calls.add(
                    RawFlightClient.unread(
                            channel,
                            RawFlightClient.ticket(channel, LARGE),
                            new CompletableFuture<>()));
        }
        Thread.sleep(2000);
        calls.forEach(each -> each.cancel("read nothing", null));
        channel.shutdownNow();
    }

    /** The most that the front's heap held, before any of its collections, in MB. */
    private int peakHeap() throws IOException {
        Pattern sizes = Pattern.compile("(\\d+)M->(\\d+)M\\(");
        int most = 0;
        for (String line : Files.readAllLines(folder.resolve("front.out.gc"))) {
            Matcher found = sizes.matcher(line);
            most = Math.max(most, found.find() ? Integer.parseInt(found.group(1)) : 0);
        }
        return most;
    }

    private long status(String field) throws IOException {
        for (String line :
                Files.readAllLines(
                        Path.of("/proc/" + front.pid() + "/status"), StandardCharsets.US_ASCII)) {
            if (line.startsWith(field)) {
                return Long.parseLong(line.replaceAll("\\D+", ""));
            }
        }
        return -1;
    }

    /** Calls that wait for news of one long query: how many were open, on how many threads. */
    private int[] polls() throws Exception {
        ManagedChannel channel = channel(frontPort);
        FlightServiceGrpc.FlightServiceBlockingStub stub =
                FlightServiceGrpc.newBlockingStub(channel);
        Flight.FlightDescriptor first =
                stub.pollFlightInfo(RawFlightClient.query("select rows=1 polls=1000000 hold"))
                        .getFlightDescriptor();
        Flight.PollInfo told =
                stub.pollFlightInfo(first); // The engine has told half, and keeps the next answer.
        AtomicInteger ended = new AtomicInteger();
        CountDownLatch errors = new CountDownLatch(1);
        for (int i = 0; i < POLLS; i++) {
            FlightServiceGrpc.newStub(channel)
                    .pollFlightInfo(
                            told.getFlightDescriptor(),
                            new StreamObserver<>() {
                                @Override
                                public void onNext(Flight.PollInfo info) {}

                                @Override
                                public void onError(Throwable error) {
                                    ended.incrementAndGet();
                                    if (errors.getCount() > 0) {
                                        System.out.println(
                                                "a poll ended: " + Status.fromThrowable(error));
                                        errors.countDown();
                                    }
                                }

                                @Override
                                public void onCompleted() {
                                    ended.incrementAndGet();
                                }
                            });
        }
        Thread.sleep(2500);
        int open = POLLS - ended.get();
        int threads = (int) status("Threads:");
        channel.shutdownNow();
        return new int[] {open, threads};
    }
}
