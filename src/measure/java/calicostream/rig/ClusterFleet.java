// SPDX-License-Identifier: Apache-2.0
package calicostream.rig;

import calicostream.wire.ServerProgram;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;

/**
 * Members of one cluster, each a process of the program, with a relay on every directed link
 * between any two; engines, change log and clients are stand-ins that all of them share. One thread
 * uses it; {@link #close} ends every process, whatever state it is in.
 */
final class ClusterFleet implements AutoCloseable {
    /**
     * @param voters the first of the members, 3 or 5
     * @param clustered false for the same processes with the cluster off
     * @param settings lines of the cluster's file behind those of members and links
     */
    record Plan(int members, int voters, boolean clustered, String settings) {
        static final String QUICK =
                "[raft]\n"
                        + "heartbeat = \"100ms\"\n"
                        + "missed = 5\n"
                        + "election = \"300ms\"\n"
                        + "snapshot_every = 1000\n"
                        + "[session]\n"
                        + "ttl = \"1500ms\"\n"
                        + "retry = \"100ms\"\n"
                        + "[lease]\n"
                        + "ttl = \"1s\"\n";

        static Plan of(int members, int voters) {
            return new Plan(members, voters, true, QUICK);
        }
    }

    private static final int ENGINES = 2;
    private static final long SERVICE_MS = 3;
    final OperationHistory history;
    final LoadGenerator load;
    final LinkProxies relays;
    final FakeFencedResource resource;
    private final Plan plan;
    private final Path folder;
    private final List<FakeCountingEngine> engines = new ArrayList<>();
    private final FakeEndpointList list = new FakeEndpointList();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final Map<Integer, LinkProxies.Link> links = new HashMap<>();
    private final Map<Integer, ServerProcess> running = new HashMap<>();
    private final Map<Integer, Integer> admins = new HashMap<>();
    private final Map<Integer, Integer> generations = new HashMap<>();
    private String cluster = "rig";
    private long tokensAbove;
    private List<Integer> voters;
    private final List<ServerProcess> all = new ArrayList<>();

    ClusterFleet(Path folder, Plan plan, OperationHistory history, long askEveryMs)
            throws IOException {
        this.folder = folder;
        this.plan = plan;
        this.history = history;
        voters = members().subList(0, plan.voters());
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new FakeCountingEngine(i, SERVICE_MS, history));
        }
        load = new LoadGenerator(history, askEveryMs);
        relays = new LinkProxies();
        resource = new FakeFencedResource(history);
        addresses.addAll(freeAddresses(ownAddress(), plan.members()));
        InetAddress relayAddress = ownAddress();
        for (int from = 1; plan.clustered() && from <= plan.members(); from++) {
            for (int to = 1; to <= plan.members(); to++) {
                if (from != to) {
                    links.put(
                            key(from, to),
                            relays.open(
                                    new InetSocketAddress(relayAddress, 0), addresses.get(to - 1)));
                }
            }
        }
    }

    /**
     * A loopback address for one use alone. Nothing but members listens on theirs, so that a port
     * that was free stays free until a member takes it.
     */
    private static InetAddress ownAddress() throws IOException {
        Random random = new Random(ProcessHandle.current().pid() * 31 + System.nanoTime());
        return InetAddress.getByAddress(
                new byte[] {
                    127,
                    (byte) (1 + random.nextInt(250)),
                    (byte) random.nextInt(256),
                    (byte) (1 + random.nextInt(250))
                });
    }

    /** Ports that are free, all of them held until the last is found, so that none comes twice. */
    private static List<InetSocketAddress> freeAddresses(InetAddress at, int count)
            throws IOException {
        List<InetSocketAddress> free = new ArrayList<>();
        if (count > 0) {
            try (ServerSocket probe = new ServerSocket(0, 1, at)) {
                free.addAll(freeAddresses(at, count - 1));
                free.add(new InetSocketAddress(at, probe.getLocalPort()));
            }
        }
        return free;
    }

    private static int key(int from, int to) {
        return from * 1000 + to;
    }

    // ---- Processes
    // ---------------------------------------------------------------------------------------
    /** Starts all, and returns when each serves. */
    void startAll() throws Exception {
        for (int i = 1; i <= plan.members(); i++) {
            launch(i);
        }
        for (int i = 1; i <= plan.members(); i++) {
            awaitServing(i);
        }
    }

    /** Starts a member, or starts it again, on its folder; it serves when this returns. */
    void start(int member) throws Exception {
        launch(member);
        awaitServing(member);
    }

    /** Starts a member's process. {@code properties} are the virtual machine's. */
    void launch(int member, String... properties) throws IOException {
        ServerProcess proc = proc(member, member, properties);
        running.put(member, proc);
    }

    /** A further process with the settings of a member but for its folder of settings. */
    ServerProcess proc(int member, int place, String... properties) throws IOException {
        Path home =
                Files.createDirectories(folder.resolve((plan.clustered() ? "m" : "off") + place));
        List<String> known = new ArrayList<>();
        for (int i = 0; i < engines.size(); i++) {
            known.add(ServerProgram.endpoint("e" + i, engines.get(i).address(), "Ready", 0));
        }
        Path config = ServerProgram.configure(home, 0, list.port(), known, 256);
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:+UseSerialGC",
                                "-Xmx48m",
                                "-XX:TieredStopAtLevel=1",
                                "-XX:CICompilerCount=1",
                                "-Xshare:auto",
                                "--add-opens=java.base/java.nio=ALL-UNNAMED",
                                "-Dcalicostream.deploy=" + home));
        if (plan.clustered()) {
            command.addAll(
                    List.of(
                            "-Dcalicostream.cluster.disks=calicostream.rig.FaultInjectingDisks",
                            "-D" + FaultInjectingDisks.PROPERTY + "=" + disk(place),
                            "-Dcalicostream.lease.tasks=calicostream.rig.HarnessTasks",
                            "-D" + HarnessTasks.PROPERTY + "=" + resource.port() + " m" + place));
        }
        command.addAll(List.of(properties));
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        "calicostream.Main",
                        "serve"));
        Map<String, String> environment =
                new HashMap<>(Map.of("NODE_CONFIG", config.toString(), "TMPDIR", home.toString()));
        if (plan.clustered()) {
            environment.put(
                    "NODE_CLUSTER",
                    Files.writeString(home.resolve("cluster.toml"), settings(member)).toString());
        }
        ServerProcess proc = new ServerProcess("member " + member, command, environment);
        all.add(proc);
        return proc;
    }

    private String settings(int self) {
        StringBuilder out =
                new StringBuilder(
                        "enabled = true\n[cluster]\nname = \""
                                + cluster
                                + "\"\n[member]\nname = \"m"
                                + self
                                + "\"\ndata = \""
                                + data(self)
                                + "\"\nmarks = \""
                                + marks(self)
                                + "\"\ngeneration = "
                                + generations.getOrDefault(self, 0)
                                + "\n");
        for (int i = 1; i <= plan.members(); i++) {
            InetSocketAddress at = addresses.get(i - 1);
            out.append(voters.contains(i) ? "[[voters]]\n" : "[[members]]\n")
                    .append("name = \"m")
                    .append(i)
                    .append("\"\nnumber = ")
                    .append(i)
                    .append("\naddress = \"")
                    .append(text(at))
                    .append("\"\n");
        }
        for (int to = 1; to <= plan.members(); to++) {
            if (to != self) {
                out.append("[[links]]\nto = \"m")
                        .append(to)
                        .append("\"\nvia = \"")
                        .append(via(self, to))
                        .append("\"\n");
            }
        }
        return out
                + plan.settings()
                        .replace("[lease]\n", "[lease]\ntokens_above = " + tokensAbove + "\n");
    }

    private String via(int from, int to) {
        try {
            return text(link(from, to).at());
        } catch (IOException e) {
            throw new IllegalStateException("a relay of the rig has no address", e);
        }
    }

    private static String text(InetSocketAddress at) {
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    private Path disk(int member) throws IOException {
        Path file = folder.resolve("disk" + member);
        return Files.exists(file) ? file : Files.writeString(file, "HONEST");
    }

    /** What the member's disk does from now on, at its next call. */
    void disk(int member, FaultInjectingDisks.Lie lie, long amount) throws IOException {
        Path next = Files.writeString(folder.resolve("disk.next"), lie + " " + amount);
        Files.move(
                next,
                disk(member),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    /** The folder that is this member's alone. */
    Path data(int member) {
        return folder.resolve(cluster + "-data" + member);
    }

    /** The second one, on a device without faults. */
    Path marks(int member) {
        return folder.resolve(cluster + "-" + FaultInjectingDisks.HONEST + member);
    }

    /**
     * Whoever is started from now on is of a new group with these voters and only tokens above
     * that, and begins with empty folders.
     */
    void regroup(String name, List<Integer> first, long above) {
        cluster = name;
        tokensAbove = above;
        voters = first;
        generations.clear();
    }

    /** The member starts as this generation from now on. */
    void generation(int member, int generation) {
        generations.put(member, generation);
    }

    void awaitServing(int member) throws Exception {
        ServerProcess proc = running.get(member);
        admins.put(member, ServerProgram.portIn(proc.awaitLine("admin API on port")));
        resume(member);
    }

    /** Clients ask this front end again. */
    void resume(int member) throws Exception {
        load.begin(
                member, ServerProgram.portIn(running.get(member).awaitLine("listening on port")));
    }

    /** Ends what a test did and did not end: all run, on whole links and disks. */
    void restore() throws Exception {
        heal();
        List<Integer> missing = new ArrayList<>();
        for (int each : members()) {
            running.get(each).signal("CONT");
            disk(each, FaultInjectingDisks.Lie.HONEST, 0);
            if (!running.get(each).isAlive()) {
                missing.add(each);
                launch(each);
            }
        }
        for (int each : missing) {
            awaitServing(each);
        }
    }

    ServerProcess proc(int member) {
        return running.get(member);
    }

    void kill(int member) throws Exception {
        load.end(member, true);
        running.get(member).kill();
    }

    /** SIGKILL to all of these before waiting for any. */
    void killAll(List<Integer> members) throws Exception {
        for (int each : members) {
            load.end(each, true);
            running.get(each).signal("KILL");
        }
        for (int each : members) {
            running.get(each).awaitExit();
        }
    }

    /** A planned stop by SIGTERM, of a front end that is asked nothing more; its exit code. */
    int stop(int member) throws Exception {
        load.end(member, false);
        running.get(member).signal("TERM");
        return running.get(member).awaitExit();
    }

    // ---- Links
    // -------------------------------------------------------------------------------------------
    LinkProxies.Link link(int from, int to) {
        return links.get(key(from, to));
    }

    /** On all links from these to those; returns when it has taken hold. */
    void set(LinkFault fault, List<Integer> from, List<Integer> to) throws InterruptedException {
        for (int a : from) {
            for (int b : to) {
                if (a != b) {
                    link(a, b).set(fault);
                }
            }
        }
        relays.settle();
    }

    /** Both ways between these and all others. */
    void isolate(LinkFault fault, List<Integer> these) throws InterruptedException {
        List<Integer> others = new ArrayList<>(members());
        others.removeAll(these);
        set(fault, these, others);
        set(fault, others, these);
    }

    void heal() throws InterruptedException {
        set(LinkFault.NONE, members(), members());
    }

    List<Integer> members() {
        return java.util.stream.IntStream.rangeClosed(1, plan.members()).boxed().toList();
    }

    // ---- What operators see
    // ------------------------------------------------------------------------------
    /** What the member tells operators of the cluster. */
    JsonObject signs(int member) throws IOException {
        String answer = ServerProgram.call(admins.get(member), "GET /-/cluster");
        if (!answer.startsWith("HTTP/1.1 200 ")) {
            throw new AssertionError("member " + member + " tells no signs: " + answer);
        }
        return Json.parse(answer.substring(answer.indexOf("\r\n\r\n") + 4)).asObject();
    }

    /** Operators' words to a member; the status line and, behind it, what was said. */
    String tell(int member, String words) throws IOException {
        return ServerProgram.call(admins.get(member), "POST /-/cluster/" + words);
    }

    /** Whether its front end is ready, as the operators' address says. */
    boolean isReady(int member) throws IOException {
        return ServerProgram.call(admins.get(member), "GET /-/ready").startsWith("HTTP/1.1 200 ");
    }

    /** Waits until the member's signs are so. */
    JsonObject awaitSigns(int member, String what, Predicate<JsonObject> so) throws Exception {
        JsonObject[] last = new JsonObject[1];
        Await.until(
                () -> so.test(last[0] = signs(member)),
                () ->
                        "member "
                                + member
                                + ", waiting for "
                                + what
                                + ": "
                                + last[0]
                                + "\n"
                                + String.join("\n", running.get(member).lines()));
        return last[0];
    }

    /** Waits until one of these leads and all of them say so; its number. */
    int awaitLeader(List<Integer> among) throws Exception {
        int[] leader = new int[1];
        Await.until(
                () -> agreed(among, leader), () -> "no leader among " + among + ": " + told(among));
        return leader[0];
    }

    private boolean agreed(List<Integer> among, int[] leader) throws IOException {
        Optional<Integer> leads = Optional.empty();
        List<Integer> named = new ArrayList<>();
        for (int each : among) {
            JsonObject signs = signs(each);
            leads = signs.getBoolean("leads", false) ? Optional.of(each) : leads;
            named.add(signs.getInt("leader", 0));
        }
        leader[0] = leads.orElse(0);
        return leads.isPresent() && named.stream().allMatch(leads.get()::equals);
    }

    private String told(List<Integer> among) {
        StringBuilder out = new StringBuilder();
        for (int each : among) {
            try {
                out.append('\n').append(signs(each));
            } catch (IOException e) {
                out.append('\n').append(each).append(": ").append(e);
            }
            out.append('\n').append(String.join("\n", running.get(each).lines()));
        }
        return out.toString();
    }

    @Override
    public void close() throws IOException {
        all.forEach(ServerProcess::close);
        load.close();
        relays.close();
        resource.close();
        list.close();
        for (FakeCountingEngine each : engines) {
            each.close();
        }
    }
}
