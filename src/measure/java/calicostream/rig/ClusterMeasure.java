// SPDX-License-Identifier: Apache-2.0
package calicostream.rig;

import calicostream.rig.FaultInjectingDisks.Lie;
import calicostream.rig.OperationHistory.Act;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Seven processes of the program in one cluster, four of them with a twin that has none, under
 * faults of links, processes and disks; the last line has the figures, "none" for what this version
 * does not do. First argument: a seed, by which victims and order are drawn. It ends within 50
 * seconds, with fewer repeats on a slow machine.
 */
public final class ClusterMeasure {
    private static final int MEMBERS = 7;
    private static final int VOTERS = 5;
    private static final Set<Integer> TWINNED = Set.of(1, 2, 6, 7);
    private static final long ASK_EVERY_MS = 20;
    private static final long TTL_MS = 1_000;
    private static final long FAULT_MS = 800; // longer than a leader is doubted
    private static final long END_NANOS =
            45_000_000_000L; // since the start, after which nothing new is begun
    private static final int KILLS = 4;
    private static final int LINK_FAULTS = 10;

    private static final int CAP =
            56; // sessions that an engine runs at once: eight for each process
    private static final String BUDGETS =
            "[budget]\n"
                    + "ttl = \"1500ms\"\n"
                    + "processes = [\"m1\", \"m2\", \"m3\", \"m4\", \"m5\", \"m6\", \"m7\"]\n"
                    + "default = \"all\"\n"
                    + "in_hand = 8\n"
                    + "patience = \"2s\"\n"
                    + "[pools.all]\n"
                    + "engine_cap = "
                    + CAP
                    + "\nfloor = 4\n[tenants.all]\n";

    private interface Fault {
        void play() throws Exception;
    }

    private final long began = System.nanoTime();
    private final Random random;
    private final StandaloneFrontEnds twins;
    private final ClusterFleet fleet;
    private final Set<String> kinds = new TreeSet<>();
    private final List<Long> killed = new ArrayList<>();
    private boolean budgets; // whether this version runs them
    private final Map<String, Fault> faults = new LinkedHashMap<>();

    private ClusterMeasure(Path folder, long seed) throws IOException {
        random = new Random(seed);
        twins =
                new StandaloneFrontEnds(
                        folder,
                        new ClusterFleet.Plan(
                                MEMBERS, VOTERS, true, ClusterFleet.Plan.QUICK + BUDGETS),
                        TWINNED,
                        ASK_EVERY_MS);
        fleet = twins.on;
        link("cut", LinkFault.CUT);
        link("stall", LinkFault.STALL);
        link("mute", LinkFault.MUTE);
        link("swallow", LinkFault.SWALLOW);
        faults.put("cut-one-way", () -> from(LinkFault.CUT, leader()));
        faults.put("stall-one-way", () -> from(LinkFault.STALL, leader()));
        all("delay", LinkFault.delay(60));
        all("throttle", LinkFault.throttle(30_000));
        all("reset", LinkFault.resetAfter(3_000));
        all("rot", LinkFault.rot(5_000));
        faults.put("leader-stopped", () -> pause(List.of(leader()), 2 * FAULT_MS));
        faults.put("quorum-stopped", () -> pause(List.of(1, 2, 3), 2 * FAULT_MS));
        faults.put("holder-stopped-in-act", this::stopInAct);
        faults.put("planned-stop", () -> again(victim(holder()), true));
        faults.put("leader-killed", () -> again(victim(leader()), false));
        faults.put("slow-disk", () -> disk(Lie.SLOW, 700, leader(), false));
        faults.put("full-disk", () -> disk(Lie.FULL, 0, follower(), true));
        faults.put("failing-disk", () -> disk(Lie.FAILS, 0, follower(), true));
        faults.put("two-on-one-folder", this::second);
    }

    public static void main(String[] args) throws Exception {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        Path folder = Files.createTempDirectory("cluster");
        ClusterMeasure measure = new ClusterMeasure(folder, seed);
        try (StandaloneFrontEnds ending = measure.twins) {
            System.out.println(measure.run(seed));
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(each -> each.toFile().delete());
            }
        }
    }

    private String run(long seed) throws Exception {
        twins.startAll();
        budgets = fleet.signs(leader()).get("layers").asObject().names().contains("budget");
        awaitHolder("");
        awaitGrants();
        long from = System.nanoTime();
        say("started");
        List<String> order = order();
        for (int i = 0; i < order.size() && !isLate(0); i++) {
            play(order.get(i));
            if (i % (order.size() / KILLS) == 0) {
                play("holder-killed");
            }
        }
        while (!twins.look() && !isLate(3_000_000_000L)) {
            Await.pass(20);
        }
        long to = System.nanoTime();
        twins.on.load.settle();
        twins.off.load.settle();
        return line(seed, from, to);
    }

    /**
     * Drawn, but those of links first: they restart no process, so that a slow machine gets through
     * them.
     */
    private List<String> order() {
        List<String> all = new ArrayList<>(faults.keySet());
        Collections.shuffle(all.subList(0, LINK_FAULTS), random);
        Collections.shuffle(all.subList(LINK_FAULTS, all.size()), random);
        return all;
    }

    private boolean isLate(long more) {
        return System.nanoTime() - began > END_NANOS + more;
    }

    private void say(String what) {
        System.out.printf(Locale.ROOT, "%6.2f s %s%n", (System.nanoTime() - began) / 1e9, what);
    }

    private void play(String kind) throws Exception {
        twins.look();
        say(kind);
        if (kind.equals("holder-killed")) {
            killHolder();
        } else {
            faults.get(kind).play();
        }
        kinds.add(kind);
        fleet.heal();
    }

    // ---- Who is what
    // -------------------------------------------------------------------------------------

    /** Who leads, as most that run say; the first voter that runs if nobody does for long. */
    private int leader() throws Exception {
        List<Integer> up = twins.up();
        long end = System.nanoTime() + 3_000_000_000L;
        while (System.nanoTime() < end) {
            for (int each : up) {
                if (each <= VOTERS && fleet.signs(each).getBoolean("leads", false)) {
                    return each;
                }
            }
            Await.pass(10);
        }
        return up.get(0);
    }

    /**
     * A start of the whole fleet is no fault: it counts from when grants are in force, or a bounded
     * time later.
     */
    private void awaitGrants() throws Exception {
        long end = System.nanoTime() + 8_000_000_000L;
        for (int each : fleet.members()) {
            while (budgets
                    && System.nanoTime() < end
                    && !fleet.signs(each)
                            .get("layers")
                            .asObject()
                            .get("budget")
                            .asObject()
                            .get("here")
                            .asObject()
                            .getBoolean("live", false)) {
                Await.pass(20);
            }
        }
    }

    private int follower() throws Exception {
        int leader = leader();
        List<Integer> others = new ArrayList<>(twins.up());
        others.removeIf(each -> each == leader || each > VOTERS);
        return others.get(random.nextInt(others.size()));
    }

    private Optional<Act> lastAct() {
        return fleet.history.copy().acts().stream()
                .filter(Act::done)
                .max(Comparator.comparingLong(Act::at));
    }

    private int holder() {
        return lastAct().map(act -> Integer.parseInt(act.who().substring(1))).orElse(1);
    }

    /**
     * Who holds and goes on holding: what was done just before may end a lease by itself, which is
     * no hand-over.
     */
    private int steadyHolder() {
        long from = System.nanoTime();
        long end = from + 4 * TTL_MS * 1_000_000;
        int holder = holder();
        for (long since = from;
                System.nanoTime() < end && System.nanoTime() - since < TTL_MS * 1_100_000;
                Await.pass(5)) {
            if (holder() != holder
                    || System.nanoTime() - lastAct().map(Act::at).orElse(0L)
                            > TTL_MS * 1_000_000 / 4) {
                holder = holder();
                since = System.nanoTime();
            }
        }
        return holder;
    }

    /** Waits for an act by another one, for a bounded time. */
    private void awaitHolder(String other) {
        long end = System.nanoTime() + 4 * TTL_MS * 1_000_000;
        while (System.nanoTime() < end
                && lastAct().filter(act -> !act.who().equals(other)).isEmpty()) {
            Await.pass(5);
        }
    }

    /** That one, unless its end would leave no quorum while others still start. */
    private int victim(int wanted) throws Exception {
        List<Integer> up = twins.up();
        long voters = up.stream().filter(each -> each <= VOTERS).count();
        return up.contains(wanted) && (wanted > VOTERS || voters > VOTERS / 2 + 1)
                ? wanted
                : up.get(up.size() - 1);
    }

    // ---- Faults
    // ------------------------------------------------------------------------------------------

    private void link(String kind, LinkFault fault) {
        faults.put(
                kind,
                () -> {
                    fleet.isolate(fault, List.of(leader()));
                    Await.pass(FAULT_MS);
                });
    }

    private void all(String kind, LinkFault fault) {
        faults.put(
                kind,
                () -> {
                    fleet.set(fault, fleet.members(), fleet.members());
                    Await.pass(FAULT_MS);
                });
    }

    private void from(LinkFault fault, int member) throws Exception {
        fleet.set(fault, List.of(member), fleet.members());
        Await.pass(FAULT_MS);
    }

    private void pause(List<Integer> members, long millis) throws Exception {
        for (int each : members) {
            twins.signal(each, "STOP");
        }
        Await.pass(millis);
        for (int each : members) {
            twins.signal(each, "CONT");
        }
    }

    /** Its twin is stopped and goes on with it. */
    private void stopInAct() throws Exception {
        fleet.resource.closeGate();
        int holder = Integer.parseInt(fleet.resource.awaitHeld().substring(1));
        twins.signal(holder, "STOP");
        fleet.resource.openGate();
        Await.pass(5 * TTL_MS / 2); // Its clients' requests must come through yet.
        twins.signal(holder, "CONT");
    }

    private void killHolder() throws Exception {
        int wanted = steadyHolder();
        int holder = victim(wanted);
        boolean held = holder == wanted;
        killed.addAll(held ? List.of(System.nanoTime()) : List.of());
        twins.kill(holder);
        if (held) {
            awaitHolder("m" + holder);
        }
        twins.launch(holder);
    }

    private void again(int member, boolean planned) throws Exception {
        if (planned) {
            twins.stop(member);
        } else {
            twins.kill(member);
        }
        Await.pass(FAULT_MS);
        twins.launch(member);
    }

    private void disk(Lie lie, long amount, int member, boolean restart) throws Exception {
        fleet.disk(member, lie, amount);
        Await.pass(2 * FAULT_MS);
        fleet.disk(member, Lie.HONEST, 0);
        if (restart) {
            twins.stop(member);
            twins.launch(member);
        }
    }

    private void second() throws Exception {
        int first = follower();
        try (ServerProcess second = fleet.proc(first, first + 10)) {
            Await.until(() -> !second.isAlive(), () -> "two processes run on one folder");
        }
    }

    // ---- Figures
    // -----------------------------------------------------------------------------------------

    private String line(long seed, long from, long to) {
        OperationHistoryChecker judge = new OperationHistoryChecker(fleet.history.copy());
        OperationHistoryChecker without = new OperationHistoryChecker(twins.off.history.copy());
        List<Long> handovers =
                judge.handovers(HarnessTasks.LEASE, killed).stream().sorted().toList();
        long lost = judge.lost().size() + judge.answeredTwice().size() + judge.ranTwice().size();
        System.out.printf(
                Locale.ROOT,
                "acts %d, refused %d; handovers after %d kills of holders, ms: %s%n",
                fleet.history.copy().acts().size(),
                fleet.history.copy().acts().stream().filter(act -> !act.done()).count(),
                killed.size(),
                handovers.stream().map(each -> each / 1_000_000).toList());
        System.out.printf(
                Locale.ROOT,
                "asked %d with the cluster, served %.5f, 99th percentile %.1f ms; without %d, %.5f,"
                        + " %.1f ms%n",
                fleet.history.copy().asked().size(),
                judge.served(TWINNED, from, to),
                waited(judge, from, to),
                twins.off.history.copy().asked().size(),
                without.served(TWINNED, from, to),
                waited(without, from, to));
        System.out.printf(
                Locale.ROOT,
                "refused %d with the cluster, %d without%n",
                judge.ended(TWINNED, from, to, OperationHistory.Answer.REFUSED),
                without.ended(TWINNED, from, to, OperationHistory.Answer.REFUSED));
        System.out.println(
                "refused with the cluster, by front end, in seconds since the start: "
                        + refusals());
        System.out.printf(
                Locale.ROOT,
                "most at once at an engine: %d with the cluster, of a cap of %d; %d without%n",
                judge.mostAtOnce(),
                CAP,
                without.mostAtOnce());
        System.out.println(
                "kinds "
                        + String.join(" ", kinds)
                        + "; lost without the cluster "
                        + without.lost().size());
        return String.format(
                Locale.ROOT,
                "cluster processes=%d fault_kinds=%d double_acts=%d over_cap=%s lost_answers=%d"
                        + " bookings_broken=none handover_ttl_ratio_p99=%s fair_distance=none"
                        + " cap_use_ratio=none reclaim_p99_ms=none ready_at_start=none"
                        + " service_ratio_faults=%.4f decision_us_p99=none seed=%d",
                MEMBERS,
                kinds.size(),
                judge.doubleActs().size(),
                budgets ? judge.overCap(CAP) : "none",
                lost,
                handovers.size() < killed.size() || handovers.isEmpty()
                        ? "none"
                        : String.format(
                                Locale.ROOT,
                                "%.2f",
                                OperationHistoryChecker.percentile(handovers, 0.99) / 1e6 / TTL_MS),
                judge.served(TWINNED, from, to) / without.served(TWINNED, from, to),
                seed);
    }

    private Map<Integer, Map<Long, Integer>> refusals() {
        Map<Integer, Map<Long, Integer>> out = new TreeMap<>();
        fleet.history.copy().answered().stream()
                .filter(each -> each.answer() == OperationHistory.Answer.REFUSED)
                .forEach(
                        each ->
                                out.computeIfAbsent(each.front(), key -> new TreeMap<>())
                                        .merge(
                                                (each.at() - began) / 1_000_000_000L,
                                                1,
                                                Integer::sum));
        return out;
    }

    private static double waited(OperationHistoryChecker judge, long from, long to) {
        return OperationHistoryChecker.percentile(judge.waits(TWINNED, from, to), 0.99) / 1e6;
    }
}
