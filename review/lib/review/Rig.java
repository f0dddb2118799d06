// SPDX-License-Identifier: Apache-2.0
package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What every case shares: a folder, a change log, the program as a process started by the deploy
 * file's command, and the record. Everything listens on loopback addresses and on ports that the
 * system picks.
 */
public final class Rig implements AutoCloseable {
    /** The classes of the main deployment, with its figures of the rules. */
    private static final String SETTINGS =
            "{'balancers':1,'self_index':0,'az':0,'zones':['hall-a','hall-b'],"
                    + "'flavors':['std-12','std-8'],'tick_us':5000,'membership_mode':'automatic',"
                    + "'ceilings':{'cancel':true,'max_attempts':5,'dial_timeout_us':2000000,"
                    + "'conn_idle_us':30000000,'streams_per_conn':32,'max_retry_after_us':2000000},"
                    + "'family_info':{'kind_cores':[12,8],'kind_memory_mb':[24576,16384],"
                    + "'holds_tables':[false,false,true],'width_by_class':[1,4,2],"
                    + "'waits_for_loads':[true,true,false],'priorities':true,'note_period_us':2000000},"
                    + "'stats':{'columns':['util','inflight','x1','x0'],'how':'inline'},"
                    + "'lanes':[{'name':'lookup','aim_us':800000,'aim_stretch':1.5,'deadline_us':4000000,"
                    + "'effect':'repeatable','key_scope':'all','points':1,'late_worth':0.1},"
                    + "{'name':'report','aim_us':1500000,'aim_stretch':2.5,'deadline_us':20000000,"
                    + "'effect':'repeatable','key_scope':'all','points':6,'late_worth':0.3},"
                    + "{'name':'stat-load','aim_us':4000000,'aim_stretch':2.5,'deadline_us':20000000,"
                    + "'effect':'once','key_scope':'all','points':5,'late_worth':0.6}],"
                    + "'rules':{'cold_share':0.3,'warm_up_us':14000000,'drain_grace_us':500000,"
                    + "'fall_us':2000000,'overload_factor':4}}";
    private static final long START_MS = 30_000;

    /** Exit codes of a test, which run.sh translates; none of them is one of Java's own. */
    public static final int HELD = 10;

    public static final int BROKEN = 11;
    public static final int COULD_NOT_RUN = 12;

    private final long begun = System.nanoTime();
    private final PrintWriter record;
    private final Path folder;
    private final ChangeLog changeLog;
    private final List<Process> processes = new ArrayList<>();

    /** Writes to {@code record.txt} in the folder of the case. */
    public Rig(Path caseFolder) throws IOException {
        record =
                new PrintWriter(
                        Files.newBufferedWriter(
                                caseFolder.resolve("record.txt"), StandardCharsets.UTF_8),
                        true);
        folder = Files.createTempDirectory("review");
        // Where the time of run.sh is over before the case is.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
        changeLog = new ChangeLog();
    }

    /** Whether the disruption takes place. */
    public static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** One line of the record, with the time since the start in milliseconds. */
    public synchronized void record(String line) {
        String text = String.format("%7d ms  %s", millis(), line);
        record.println(text);
        System.out.println(text);
    }

    public long millis() {
        return (System.nanoTime() - begun) / 1_000_000;
    }

    public ChangeLog changeLog() {
        return changeLog;
    }

    public static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** A running front end: its process and where it listens. */
    public record FrontEnd(Process process, int clientPort, int flightPort, int adminPort) {
        /** SIGTERM to the process that the deploy file's command has become. */
        public void terminate() {
            process.toHandle().destroy();
        }
    }

    /**
     * Starts a front end with Flight SQL on, by the deploy file's command with the memory that
     * docs/operate/flight-sql.md asks for, and waits until it says that it is ready.
     *
     * @param flightKeys further keys of flight.json, each as {@code "name":value}
     */
    public FrontEnd startFrontEnd(String name, String... flightKeys) throws Exception {
        int clientPort = freePort();
        int flightPort = freePort();
        int adminPort = freePort();
        Path home = Files.createDirectory(folder.resolve(name));
        Path tmp = Files.createDirectory(home.resolve("tmp"));
        StringBuilder flight =
                new StringBuilder("{\"enabled\":true,\"listen\":\"127.0.0.1:" + flightPort + "\"");
        for (String key : flightKeys) {
            flight.append(',').append(key);
        }
        Files.writeString(home.resolve("flight.json"), flight.append('}').toString());
        String config =
                ("{'name':'" + name + "','listen':'127.0.0.1:" + clientPort + "','admin':'127.0.0.1:"
                                + adminPort + "','seed':'8c1f30d27a5be964',"
                                + "'limits':{'cores':1.0,'memory_mb':512,'sockets':1024},"
                                + "'changelog':'127.0.0.1:" + changeLog.port() + "','known':{'seq':0,'results':[]},"
                                + "'settings':" + SETTINGS + "}")
                        .replace('\'', '"');
        Path file = Files.writeString(home.resolve("config.json"), config);
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", command(home)).redirectErrorStream(true);
        builder.environment().put("NODE_CONFIG", file.toString());
        builder.environment().put("NODE_NAME", name);
        builder.environment().put("TMPDIR", tmp.toString());
        builder.redirectOutput(home.resolve("log.txt").toFile());
        Process process = builder.start();
        processes.add(process);
        FrontEnd out = new FrontEnd(process, clientPort, flightPort, adminPort);
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MS);
        while (!isReady(adminPort)) {
            if (!process.isAlive() || System.nanoTime() > until) {
                throw new IOException(
                        "the front end did not start: " + Files.readString(home.resolve("log.txt")));
            }
            Thread.sleep(50);
        }
        record("front end " + name + " is ready, process " + process.pid());
        return out;
    }

    private static String command(Path home) throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'))
                        .replace("-Xmx40m", "-Xmx64m")
                        .replace("-XX:MaxMetaspaceSize=48m", "-XX:MaxMetaspaceSize=64m")
                        .replace("-XX:MaxDirectMemorySize=8m", "-XX:MaxDirectMemorySize=192m")
                        .replace(
                                " -jar ",
                                " --add-opens=java.base/java.nio=ALL-UNNAMED -Dcalicostream.deploy="
                                        + home
                                        + " -jar ");
            }
        }
        throw new IOException("deploy/balancer.toml has no line run");
    }

    private static boolean isReady(int adminPort) {
        try (Socket caller = new Socket("127.0.0.1", adminPort)) {
            caller.setSoTimeout(2_000);
            caller.getOutputStream()
                    .write("GET /-/ready HTTP/1.1\r\nHost: review\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            String status =
                    new BufferedReader(
                                    new InputStreamReader(
                                            caller.getInputStream(), StandardCharsets.US_ASCII))
                            .readLine();
            return status != null && status.contains(" 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Records the first line of a front end's log that has this text, if there is one. */
    public void recordLog(String name, String text) throws IOException {
        for (String line : Files.readAllLines(folder.resolve(name).resolve("log.txt"))) {
            if (line.contains(text)) {
                record("log of " + name + ": " + line);
                return;
            }
        }
    }

    /** Ends every process that was started, and removes the folder. */
    @Override
    public void close() throws Exception {
        for (Process process : processes) {
            process.destroyForcibly();
            process.waitFor(10, TimeUnit.SECONDS);
        }
        changeLog.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(each);
            }
        }
        record.close();
    }
}
