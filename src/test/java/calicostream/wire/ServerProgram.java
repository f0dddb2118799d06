// SPDX-License-Identifier: Apache-2.0
package calicostream.wire;

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

/**
 * The program as a process of its own, with a configuration written for a test; it listens on ports
 * it picks.
 */
public final class ServerProgram implements AutoCloseable {
    public static final long PATIENCE_MS = 20_000;
    private static final int MAX_KEPT_CHARS = 100_000;
    private static final String SETTINGS =
            "{'balancers':1,'self_index':0,'az':0,'zones':['hall-a','hall-b'],"
                + "'flavors':['std-12','std-8'],'tick_us':5000,'membership_mode':'automatic',"
                + "'ceilings':{'cancel':true,'max_attempts':5,'dial_timeout_us':2000000,'conn_idle_us':30000000,"
                + "'streams_per_conn':32,'max_retry_after_us':2000000},"
                + "'family_info':{'kind_cores':[12,8],'kind_memory_mb':[24576,16384],'holds_tables':[false,false,true],"
                + "'width_by_class':[1,4,2],'waits_for_loads':[true,true,false],'priorities':true,"
                + "'note_period_us':2000000},'stats':{'columns':['util','inflight','x1','x0'],'how':'inline'},"
                + "'lanes':[{'name':'lookup','aim_us':800000,'aim_stretch':1.5,'deadline_us':4000000,"
                + "'effect':'repeatable','key_scope':'all','points':1,'late_worth':0.1},"
                + "{'name':'report','aim_us':1500000,'aim_stretch':2.5,'deadline_us':20000000,'effect':'repeatable',"
                + "'key_scope':'all','points':6,'late_worth':0.3},"
                + "{'name':'stat-load','aim_us':4000000,'aim_stretch':2.5,'deadline_us':20000000,'effect':'once',"
                + "'key_scope':'all','points':5,'late_worth':0.6}],"
                + "'rules':{'cold_share':0.3,'warm_up_us':14000000,'drain_grace_us':500000,'fall_us':2000000,"
                + "'overload_factor':4}}";
    private final Process process;
    private final BufferedReader log;
    private final StringBuilder seen = new StringBuilder();
    private long loggedLines;

    /** Engines as change-log entries; extra files go beside each other as the deploy folder. */
    public ServerProgram(
            Path folder, int changelogPort, List<String> endpoints, String... deployFiles)
            throws IOException {
        this(folder, changelogPort, endpoints, 1024, deployFiles);
    }

    /** The same with a limit on descriptors, which the program heeds by itself. */
    public ServerProgram(
            Path folder,
            int changelogPort,
            List<String> endpoints,
            int sockets,
            String... deployFiles)
            throws IOException {
        this(folder, 0, changelogPort, endpoints, sockets, deployFiles);
    }

    /** The same where clients connect to this port; 0 lets the program pick one. */
    public ServerProgram(
            Path folder,
            int port,
            int changelogPort,
            List<String> endpoints,
            int sockets,
            String... deployFiles)
            throws IOException {
        Path config = configure(folder, port, changelogPort, endpoints, sockets);
        for (int i = 0; i < deployFiles.length; i += 2) {
            Files.writeString(folder.resolve(deployFiles[i]), deployFiles[i + 1]);
        }
        process = launch(folder, config);
        log = process.inputReader(StandardCharsets.UTF_8);
    }

    /** The same with a part of the settings written otherwise. */
    public ServerProgram(
            Path folder,
            int port,
            int changelogPort,
            List<String> endpoints,
            int sockets,
            Map<String, String> otherwise)
            throws IOException {
        Path config = configure(folder, port, changelogPort, endpoints, sockets);
        String text = Files.readString(config);
        for (Map.Entry<String, String> part : otherwise.entrySet()) {
            if (!text.contains(part.getKey())) {
                throw new IOException("no such settings: " + part.getKey());
            }
            text = text.replace(part.getKey(), part.getValue());
        }
        process = launch(folder, Files.writeString(config, text));
        log = process.inputReader(StandardCharsets.UTF_8);
    }

    private ServerProgram(Process process) {
        this.process = process;
        log = process.inputReader(StandardCharsets.UTF_8);
    }

    /** The program started with SIGHUP ignored, as nohup does it. */
    public static ServerProgram deaf(Path folder, Path config) throws IOException {
        return new ServerProgram(
                launch(folder, config, "/bin/sh", "-c", "trap '' HUP; exec \"$0\" \"$@\""));
    }

    /**
     * The program with the virtual machine's options of {@code run}, of which {@code instead}
     * replaces some by others.
     */
    public static ServerProgram asDeployed(Path folder, Path config, Map<String, String> instead)
            throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        String options = run();
        for (Map.Entry<String, String> each : instead.entrySet()) {
            if (!options.contains(each.getKey())) {
                throw new IOException("no such option: " + each.getKey());
            }
            options = options.replace(each.getKey(), each.getValue());
        }
        int first = options.indexOf(" -") + 1;
        command.addAll(List.of(options.substring(first, options.indexOf(" -jar ")).split(" ")));
        command.addAll(
                List.of(
                        "--add-opens=java.base/java.nio=ALL-UNNAMED",
                        "-Dcalicostream.deploy=" + folder,
                        "-cp",
                        System.getProperty("java.class.path"),
                        "calicostream.Main",
                        "serve"));
        return new ServerProgram(start(command, folder, config));
    }

    /** Writes the configuration file, also in place of an earlier one. */
    public static Path configure(
            Path folder, int port, int changelogPort, List<String> endpoints, int sockets)
            throws IOException {
        String json =
                ("{'name':'n1','listen':'127.0.0.1:"
                                + port
                                + "','admin':'127.0.0.1:0','seed':'8c1f30d27a5be964','limits':{'sockets':"
                                + sockets
                                + "},'changelog':'127.0.0.1:"
                                + changelogPort
                                + "','known':{'seq':1,'results':["
                                + event(1, true, endpoints)
                                + "]},'settings':"
                                + SETTINGS
                                + "}")
                        .replace('\'', '"');
        return Files.writeString(folder.resolve("config.json"), json);
    }

    /** Starts the program on any configuration file. */
    public static Process launch(Path folder, Path config, String... by) throws IOException {
        List<String> command = new ArrayList<>(List.of(by));
        command.addAll(
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-Xmx96m",
                        "--add-opens=java.base/java.nio=ALL-UNNAMED",
                        "-Dcalicostream.deploy=" + folder,
                        "-cp",
                        System.getProperty("java.class.path"),
                        "calicostream.Main",
                        "serve"));
        return start(command, folder, config);
    }

    private static Process start(List<String> command, Path folder, Path config)
            throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("NODE_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        return builder.start();
    }

    /** Reads the log to its end, so that the program never waits for a reader. */
    public void drainLog() {
        FakePlatform.daemon(
                () -> {
                    for (String line = log.readLine(); line != null; line = log.readLine()) {
                        keep(line);
                    }
                });
    }

    private synchronized void keep(String line) {
        loggedLines++;
        if (seen.length() < MAX_KEPT_CHARS) {
            seen.append(line).append('\n');
        }
    }

    /** Lines logged since {@link #drainLog}. */
    public synchronized long loggedLines() {
        return loggedLines;
    }

    /** The first part of the log. */
    public synchronized String firstLines() {
        return seen.toString();
    }

    /** The most memory that the process has held, in MB. */
    public long peakMemoryMb() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("\\D", "")) / 1024;
            }
        }
        throw new IOException("no peak");
    }

    /** An engine's entry in an event of the change log. */
    public static String endpoint(
            String name, InetSocketAddress address, String status, long sinceMs) {
        return ("{'name':'"
                        + name
                        + "','address':'127.0.0.1:"
                        + address.getPort()
                        + "','zone':'hall-a','type':'std-12',"
                        + "'group':0,'status':'"
                        + status
                        + "','weight':4,'since_ms':"
                        + sinceMs
                        + "}")
                .replace('\'', '"');
    }

    public static String event(int seq, boolean whole, List<String> endpoints) {
        return ("{'seq':"
                                + seq
                                + ",'fleet':{'index':"
                                + seq
                                + ",'snapshot':"
                                + whole
                                + ",'endpoints':")
                        .replace('\'', '"')
                + endpoints
                + "}}";
    }

    /** The port named in the log line that has this text. */
    public int port(String of) throws IOException {
        return portIn(awaitLine(of));
    }

    public static int portIn(String line) {
        return Integer.parseInt(line.substring(line.lastIndexOf(' ') + 1));
    }

    /** The command by which the platform starts the program. */
    public static String run() throws IOException {
        String line =
                Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                        .filter(l -> l.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
    }

    /** One request on a connection of its own, served by the engine. */
    public static void ask(int port, FakeRespEngine engine, int number) throws IOException {
        String id = String.format("%016x", number);
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.setSoTimeout((int) PATIENCE_MS);
            client.getOutputStream()
                    .write(
                            ("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"lookup\",\"params\":{\"i\":\""
                                            + id
                                            + "\",\"d\":4000,\"content\":\"c2VsZWN0IDE=\"}}\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            String command = engine.command();
            engine.answer(id + "|DONE|sheets=1|x\n");
            String answer =
                    new BufferedReader(
                                    new InputStreamReader(
                                            client.getInputStream(), StandardCharsets.US_ASCII))
                            .readLine();
            if (!command.startsWith("REQ|" + id)
                    || answer == null
                    || !answer.contains("\"result\"")) {
                throw new AssertionError(command + " was answered " + answer);
            }
        }
    }

    /** One call at an admin address: all of the answer. */
    public static String call(int admin, String methodAndPath) throws IOException {
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), admin)) {
            caller.setSoTimeout((int) PATIENCE_MS);
            caller.getOutputStream()
                    .write(
                            (methodAndPath + " HTTP/1.1\r\nHost: n1\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Waits for a log line that has this text. */
    public String awaitLine(String of) throws IOException {
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            seen.append(line).append('\n');
            if (line.contains(of)) {
                return line;
            }
        }
        throw new IOException("the program ended:\n" + seen);
    }

    /** Whether nothing has been logged for so long. */
    public boolean isQuiet(long ms) throws IOException, InterruptedException {
        for (long end = System.nanoTime() + ms * 1_000_000;
                System.nanoTime() < end;
                Thread.sleep(5)) {
            if (log.ready()) {
                return false;
            }
        }
        return true;
    }

    public long pid() {
        return process.pid();
    }

    /** SIGTERM; the exit code. */
    public int terminate() throws InterruptedException {
        process.destroy();
        return awaitExit();
    }

    /** SIGTERM, with the log still to be read, which Java's own way to send it closes. */
    public void signal() throws IOException, InterruptedException {
        signal("TERM");
    }

    /** SIGHUP, which Java itself can't send. */
    public void hangUp() throws IOException, InterruptedException {
        signal("HUP");
    }

    private void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    public int awaitExit() throws InterruptedException {
        if (!process.waitFor(PATIENCE_MS, TimeUnit.MILLISECONDS)) {
            throw new AssertionError("the program did not end");
        }
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
