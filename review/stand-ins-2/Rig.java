// SPDX-License-Identifier: Apache-2.0
package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * One run of a case: the record, the temporary folder, and the front ends, which are started by the
 * deploy file's command. Ends all that it started.
 */
final class Rig implements AutoCloseable {
    // The script turns these into its own: Java itself ends with 1 where it can't start.
    static final int HELD = 10;
    static final int BROKEN = 11;
    static final int CANNOT_RUN = 12;
    private static final long LONGEST_RUN_SECONDS = 110;
    private static final long READY_MILLIS = 30_000;
    private static final int ENGINES = 6;

    /**
     * A request is lost where its answer comes later than this after its time: half a second, and
     * the 50 ms by which each limit grows on sockets.
     */
    static final long LATE_MILLIS = 550;

    /** A scenario; true if the rule held. */
    interface Scenario {
        boolean play(Rig rig) throws Exception;
    }

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final long startedNanos = System.nanoTime();
    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder = Files.createTempDirectory("review");
    private final PrintWriter record;
    private final List<Process> processes = new ArrayList<>();
    private final List<AutoCloseable> parts = new ArrayList<>();

    private Rig(String number) throws IOException {
        record =
                new PrintWriter(
                        Files.newBufferedWriter(root.resolve("review/" + number + "/record.txt")),
                        true);
    }

    /** Plays a scenario and ends this process with the case's exit code. */
    static void run(String number, Scenario scenario) {
        int code = CANNOT_RUN;
        try (Rig rig = new Rig(number)) {
            rig.watch();
            rig.note("case", "trouble " + (rig.trouble ? "on" : "off"));
            try {
                code = scenario.play(rig) ? HELD : BROKEN;
            } catch (Exception | AssertionError e) {
                rig.note("case", "could not run: " + e);
                e.printStackTrace();
            }
            rig.note("case", "exit code " + (code - HELD));
        } catch (Exception e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(code);
    }

    private void watch() {
        // Ended from outside: the processes that were started end with it.
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        Thread thread =
                new Thread(
                        () -> {
                            sleep(LONGEST_RUN_SECONDS * 1000);
                            note("case", "took too long; exit code 2");
                            close();
                            Runtime.getRuntime().halt(CANNOT_RUN);
                        });
        thread.setDaemon(true);
        thread.start();
    }

    long millis() {
        return (System.nanoTime() - startedNanos) / 1_000_000;
    }

    /** A line of the record. */
    void note(String who, String what) {
        synchronized (record) {
            String line = String.format("%7d ms  %-10s %s", millis(), who, what);
            record.println(line);
            System.out.println(line);
        }
    }

    /** Closed at the end of the run, the last one first. */
    <T extends AutoCloseable> T keep(T part) {
        parts.add(0, part);
        return part;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** Writes a file beside the front end's Flight SQL settings. */
    void write(String name, String text) throws IOException {
        Files.writeString(folder.resolve(name), text);
    }

    /** Six sound engines, as the operators' brief has them, by their names. */
    Map<String, FlightEngine> engines() throws IOException {
        Map<String, FlightEngine> engines = new LinkedHashMap<>();
        for (int i = 1; i <= ENGINES; i++) {
            engines.put("engine-" + i, keep(new FlightEngine(this, "engine-" + i)));
        }
        return engines;
    }

    /** A change log that lists these engines. */
    ChangeLog log(Map<String, FlightEngine> engines) throws IOException {
        Map<String, Integer> ports = new LinkedHashMap<>();
        engines.forEach((name, engine) -> ports.put(name, engine.port()));
        return keep(new ChangeLog(this, ports));
    }

    /** A front end with a Flight SQL server and Flight SQL engines. */
    FrontEnd flightFrontEnd(ChangeLog log, Map<String, String> flightSettings) throws Exception {
        int flightPort = freePort();
        StringBuilder flight =
                new StringBuilder("{\"enabled\": true, \"listen\": \"127.0.0.1:" + flightPort)
                        .append("\", \"engines\": \"flight\", \"query_class\": \"lookup\", ")
                        .append("\"update_class\": \"stat-load\"");
        flightSettings.forEach(
                (key, value) -> flight.append(", \"").append(key).append("\": ").append(value));
        write("flight.json", flight.append("}\n").toString());
        int port = freePort();
        int admin = freePort();
        Path tmp = Files.createDirectory(folder.resolve("tmp"));
        Path config = folder.resolve("config.json");
        Files.writeString(config, config(port, admin, log));
        // The command of the deploy file, with what docs/operate/flight-sql.md says that it needs.
        String run =
                runLine()
                        .replace("-Xmx40m", "-Xmx64m")
                        .replace("-XX:MaxDirectMemorySize=8m", "-XX:MaxDirectMemorySize=192m")
                        .replace("-XX:MaxMetaspaceSize=48m", "-XX:MaxMetaspaceSize=64m")
                        .replace(
                                " -jar ",
                                " --add-opens=java.base/java.nio=ALL-UNNAMED"
                                        + " -Dcalicostream.deploy="
                                        + folder
                                        + " -jar ");
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", run)
                        .directory(root.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(folder.resolve("front-end.log").toFile());
        builder.environment().put("NODE_NAME", "n1");
        builder.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("NODE_ADMIN", "127.0.0.1:" + admin);
        builder.environment().put("NODE_CONFIG", config.toString());
        builder.environment().put("TMPDIR", tmp.toString());
        builder.environment().remove("NODE_CLUSTER");
        Process process = builder.start();
        processes.add(process);
        note("front end", "started");
        long giveUp = millis() + READY_MILLIS;
        while (!isReady(admin)) {
            if (!process.isAlive() || millis() > giveUp) {
                throw new IOException(
                        "not ready: " + Files.readString(folder.resolve("front-end.log")));
            }
            sleep(50);
        }
        note("front end", "ready");
        return new FrontEnd(process, port, admin, flightPort);
    }

    /** What a started front end listens on. */
    record FrontEnd(Process process, int port, int admin, int flightPort) {}

    private static boolean isReady(int admin) {
        try {
            return call(admin, "GET /-/ready").startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** One call at an admin address: all of the answer. */
    static String call(int admin, String methodAndPath) throws IOException {
        try (Socket caller = new Socket()) {
            caller.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), admin), 1000);
            caller.setSoTimeout(2000);
            caller.getOutputStream()
                    .write(
                            (methodAndPath + " HTTP/1.1\r\nHost: n1\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private String runLine() throws IOException {
        String line =
                Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                        .filter(each -> each.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
    }

    private static String config(int port, int admin, ChangeLog log) {
        return ("{'name':'n1','listen':'127.0.0.1:"
                        + port
                        + "','admin':'127.0.0.1:"
                        + admin
                        + "','seed':'8c1f30d27a5be964','limits':{'cores':1.0,'memory_mb':512,"
                        + "'sockets':1024},'changelog':'127.0.0.1:"
                        + log.port()
                        + "','known':{'seq':1,'results':["
                        + log.first()
                        + "]},'settings':"
                        + SETTINGS
                        + "}")
                .replace('\'', '"');
    }

    /** A small deployment's settings: the classes, aims and limits of the operators' brief. */
    private static final String SETTINGS =
            "{'balancers':1,'self_index':0,'az':0,'zones':['hall-a','hall-b'],"
                + "'flavors':['std-12','std-8'],'tick_us':5000,'membership_mode':'automatic',"
                + "'ceilings':{'cancel':true,'max_attempts':5,'dial_timeout_us':2000000,"
                + "'conn_idle_us':30000000,'streams_per_conn':32,'max_retry_after_us':2000000},"
                + "'family_info':{'kind_cores':[12,8],'kind_memory_mb':[24576,16384],"
                + "'holds_tables':[false,false,true],'width_by_class':[1,4,2],"
                + "'waits_for_loads':[true,true,false],'priorities':true,'note_period_us':2000000},"
                + "'stats':{'columns':['util','inflight','x1','x0'],'how':'inline'},"
                + "'lanes':[{'name':'lookup','aim_us':800000,'aim_stretch':1.5,"
                + "'deadline_us':4000000,'effect':'repeatable','key_scope':'all','points':1,"
                + "'late_worth':0.1},{'name':'report','aim_us':1500000,'aim_stretch':2.5,"
                + "'deadline_us':20000000,'effect':'repeatable','key_scope':'all','points':6,"
                + "'late_worth':0.3},{'name':'stat-load','aim_us':4000000,'aim_stretch':2.5,"
                + "'deadline_us':20000000,'effect':'once','key_scope':'all','points':5,"
                + "'late_worth':0.6}],'rules':{'cold_share':0.3,'warm_up_us':14000000,"
                + "'drain_grace_us':500000,'fall_us':2000000,'overload_factor':4}}";

    /** SIGTERM to the program that {@code run} started. */
    void terminate(FrontEnd frontEnd) {
        note("platform", "SIGTERM to the front end");
        frontEnd.process().destroy();
    }

    @Override
    public void close() {
        for (AutoCloseable part : parts) {
            try {
                part.close();
            } catch (Exception e) {
                // The run is over; what the part was for has been recorded.
            }
        }
        for (Process process : processes) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            // A temporary folder that stays behind does no harm.
        }
    }
}
