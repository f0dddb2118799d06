// SPDX-License-Identifier: Apache-2.0
package calicostream.hostile;

import calicostream.flight.suite.FakeFlightEngine;
import calicostream.wire.FakeDiscoveryServer;
import calicostream.wire.ServerProgram;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.arrow.flight.CallOption;
import org.apache.arrow.flight.CallOptions;
import org.apache.arrow.flight.FlightCallHeaders;
import org.apache.arrow.flight.FlightClient;
import org.apache.arrow.flight.FlightInfo;
import org.apache.arrow.flight.FlightStream;
import org.apache.arrow.flight.HeaderCallOption;
import org.apache.arrow.flight.Location;
import org.apache.arrow.flight.sql.FlightSqlClient;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.memory.RootAllocator;

/**
 * The program as a process of its own with the options of {@code run}; its engines answer at once.
 * With Flight SQL it has both fronts, and the memory that docs/operate/flight-sql.md asks for.
 */
final class Victim implements AutoCloseable {
    /** How long a client waits; the example of the platform's protocol. */
    static final int WAIT_MILLIS = 1500;

    /** What {@code run} has to do with, by the README. */
    private static final long RUN_MEMORY_MB = 88;

    /** Heap, direct memory, metaspace and code cache by the options, and 64 MB for all else. */
    private static final long FLIGHT_MEMORY_MB = 64 + 192 + 64 + 32 + 64;

    private static final int ENGINES = 3;
    private static final int DESCRIPTORS = 1024;

    private static final Map<String, String> FLIGHT_OPTIONS =
            Map.of(
                    "-Xmx40m", "-Xmx64m",
                    "-XX:MaxDirectMemorySize=8m", "-XX:MaxDirectMemorySize=192m",
                    "-XX:MaxMetaspaceSize=48m", "-XX:MaxMetaspaceSize=64m");

    private final BufferAllocator allocator = new RootAllocator();
    private final List<AutoCloseable> engines = new ArrayList<>();
    private final FakeDiscoveryServer discovery = new FakeDiscoveryServer();
    private final boolean hasFlight;
    private final ServerProgram program;
    private int linePort;
    private int flightPort;

    Victim(Path folder, boolean hasFlight) throws IOException {
        this.hasFlight = hasFlight;
        if (hasFlight) {
            Files.writeString(
                    folder.resolve("flight.json"), "{\"enabled\":true,\"listen\":\"127.0.0.1:0\"}");
        }
        List<String> endpoints = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            endpoints.add(ServerProgram.endpoint("e" + i, engine(), "Ready", 0));
        }
        Path config = ServerProgram.configure(folder, 0, discovery.port(), endpoints, DESCRIPTORS);
        program = ServerProgram.asDeployed(folder, config, hasFlight ? FLIGHT_OPTIONS : Map.of());
        discovery.follow();
        discovery.stayAwake();
        while (linePort == 0 || hasFlight && flightPort == 0) {
            String logged = program.awaitLine("listening on port");
            if (logged.contains("Flight SQL")) {
                flightPort = ServerProgram.portIn(logged);
            } else {
                linePort = ServerProgram.portIn(logged);
            }
        }
        program.drainLog();
    }

    private InetSocketAddress engine() throws IOException {
        if (hasFlight) {
            FakeFlightEngine engine = FakeFlightEngine.alone();
            engines.add(engine);
            return engine.address();
        }
        PromptRespEngine engine = new PromptRespEngine();
        engines.add(engine);
        return engine.address();
    }

    /** The most memory that the process may hold, in MB. */
    long maxMemoryMb() {
        return hasFlight ? FLIGHT_MEMORY_MB : RUN_MEMORY_MB;
    }

    /** Clients that do nothing unusual, one for each front. */
    List<Neighbour> neighbours() throws IOException {
        return hasFlight ? List.of(lineNeighbour(), flightNeighbour()) : List.of(lineNeighbour());
    }

    int linePort() {
        return linePort;
    }

    int flightPort() {
        return flightPort;
    }

    ServerProgram program() {
        return program;
    }

    private Neighbour lineNeighbour() throws IOException {
        LineClient client = new LineClient(linePort);
        return new Neighbour("platform client", client::ask, WAIT_MILLIS, client);
    }

    private Neighbour flightNeighbour() {
        FlightClient flight =
                FlightClient.builder(allocator, Location.forGrpcInsecure("127.0.0.1", flightPort))
                        .build();
        FlightSqlClient client = new FlightSqlClient(flight);
        FlightCallHeaders headers = new FlightCallHeaders();
        headers.insert("calicostream-class", "lookup");
        CallOption[] options = {
            new HeaderCallOption(headers), CallOptions.timeout(WAIT_MILLIS, TimeUnit.MILLISECONDS)
        };
        // GetFlightInfo and DoGet wait for so long each.
        return new Neighbour(
                "Flight SQL client", () -> ask(client, options), 2 * WAIT_MILLIS, client);
    }

    private static String ask(FlightSqlClient client, CallOption[] options) throws Exception {
        FlightInfo info = client.execute("select rows=3", options);
        int rows = 0;
        try (FlightStream stream =
                client.getStream(info.getEndpoints().get(0).getTicket(), options)) {
            while (stream.next()) {
                rows += stream.getRoot().getRowCount();
            }
        }
        return rows == 3 ? null : rows + " rows";
    }

    /** A client of the platform's protocol on one connection; it connects again where it ends. */
    private static final class LineClient implements AutoCloseable {
        private final int port;
        private Socket socket;
        private BufferedReader in;
        private int asked;

        LineClient(int port) {
            this.port = port;
        }

        String ask() throws IOException {
            if (socket == null) {
                socket = new Socket(InetAddress.getLoopbackAddress(), port);
                socket.setSoTimeout(4 * WAIT_MILLIS);
                in =
                        new BufferedReader(
                                new InputStreamReader(
                                        socket.getInputStream(), StandardCharsets.US_ASCII));
            }
            asked++;
            String request =
                    String.format(
                            "{\"jsonrpc\":\"2.0\",\"id\":%d,\"method\":\"lookup\",\"params\":{\"i\":\"%016x\",\"d\":%d,\"content\":\"c2VsZWN0IHJvd3M9Mw==\"}}\n",
                            asked, asked, WAIT_MILLIS);
            try {
                socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
                String answer = in.readLine();
                boolean isServed = answer != null && answer.contains("\"result\"");
                return isServed ? null : "answered " + answer;
            } catch (IOException e) {
                socket.close();
                socket = null;
                throw e;
            }
        }

        @Override
        public void close() throws IOException {
            if (socket != null) {
                socket.close();
            }
        }
    }

    @Override
    public void close() throws Exception {
        program.close();
        discovery.close();
        for (AutoCloseable engine : engines) {
            engine.close();
        }
    }
}
