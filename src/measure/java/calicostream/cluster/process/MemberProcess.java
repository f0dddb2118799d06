// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.wire.ServerProgram;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Predicate;

/** A process of the program with a member of a cluster; a thread here reads its output lines. */
final class MemberProcess implements AutoCloseable {
    static final long PATIENCE_S = 60;

    /**
     * Heartbeats that a machine with two busy cores can keep, and a session that outlasts a change
     * of leader.
     */
    private static final String TIMINGS =
            "[raft]\nheartbeat = \"50ms\"\nmissed = 8\nelection = \"300ms\"\nsnapshot_every = 200\n"
                    + "[session]\nttl = \"1500ms\"\nretry = \"200ms\"\n";

    final Process process;
    private final StringBuffer lines = new StringBuffer();
    private final CompletableFuture<Integer> adminPort = new CompletableFuture<>();
    private final Thread reader;

    /**
     * Starts the process, without engines behind its front end.
     *
     * @param options of the virtual machine
     */
    MemberProcess(Path folder, int changelogPort, String cluster, String... options)
            throws IOException {
        Files.createDirectories(folder);
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-Xmx96m",
                                "-Dcalicostream.deploy=" + folder));
        command.addAll(List.of(options));
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        "calicostream.Main",
                        "serve"));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment()
                .put(
                        "NODE_CONFIG",
                        ServerProgram.configure(folder, 0, changelogPort, List.of(), 1024)
                                .toString());
        builder.environment().put("TMPDIR", folder.toString());
        builder.environment()
                .put(
                        "NODE_CLUSTER",
                        Files.writeString(folder.resolve("cluster.toml"), cluster).toString());
        process = builder.start();
        reader = new Thread(this::read, "lines of " + folder.getFileName());
        reader.setDaemon(true);
        reader.start();
    }

    /** Ports that were free a moment ago, one for each member. */
    static List<Integer> ports(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
        }
        List<Integer> ports = sockets.stream().map(ServerSocket::getLocalPort).toList();
        for (ServerSocket each : sockets) {
            each.close();
        }
        return ports;
    }

    /**
     * The settings of a member; the first three members are voters.
     *
     * @param own further lines of its table {@code [member]}
     */
    static String settings(int number, List<Integer> ports, String own) {
        StringBuilder settings =
                new StringBuilder(
                        "enabled = true\n[cluster]\nname = \"test\"\n[member]\nname = \"m"
                                + number
                                + "\"\ndata = \"data\"\n"
                                + own
                                + "\n");
        for (int i = 1; i <= ports.size(); i++) {
            settings.append(i <= 3 ? "[[voters]]\n" : "[[members]]\n")
                    .append("name = \"m")
                    .append(i)
                    .append("\"\nnumber = ")
                    .append(i)
                    .append("\naddress = \"127.0.0.1:")
                    .append(ports.get(i - 1))
                    .append("\"\n");
        }
        return settings + TIMINGS;
    }

    private void read() {
        try (BufferedReader in = process.inputReader(StandardCharsets.UTF_8)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                lines.append(line).append('\n');
                if (line.contains("admin API on port")) {
                    adminPort.complete(ServerProgram.portIn(line));
                }
            }
        } catch (IOException e) {
            lines.append(e).append('\n');
        }
        adminPort.completeExceptionally(new IllegalStateException("ended:\n" + lines));
    }

    String lines() {
        return lines.toString();
    }

    int adminPort() throws Exception {
        return adminPort.get(PATIENCE_S, TimeUnit.SECONDS);
    }

    JsonObject status() throws Exception {
        String answer = ServerProgram.call(adminPort(), "GET /-/cluster");
        if (!answer.startsWith("HTTP/1.1 200 ")) {
            throw new IllegalStateException(answer);
        }
        return Json.parse(answer.substring(answer.indexOf("\r\n\r\n") + 4)).asObject();
    }

    /** The status once the condition holds. */
    JsonObject await(String what, Predicate<JsonObject> condition) throws Exception {
        JsonObject last = null;
        for (long end = System.nanoTime() + PATIENCE_S * 1_000_000_000L;
                System.nanoTime() < end;
                LockSupport.parkNanos(20_000_000)) {
            last = status();
            if (condition.test(last)) {
                return last;
            }
        }
        throw new AssertionError("not " + what + ": " + last + "\n" + lines);
    }

    /** Posts a command of operators; returns the HTTP response. */
    String post(String command) throws Exception {
        return ServerProgram.call(adminPort(), "POST /-/cluster/" + command);
    }

    int awaitExit() throws InterruptedException {
        if (!process.waitFor(PATIENCE_S, TimeUnit.SECONDS)) {
            throw new AssertionError("the program did not end:\n" + lines);
        }
        reader.join();
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            throw new UncheckedIOException(new IOException(e));
        }
    }
}
