// SPDX-License-Identifier: Apache-2.0
package calicostream.deployments;

import calicostream.mass.FleetClock;
import calicostream.routing.AttemptOutcome;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import calicostream.routing.LoadReport;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** An engine that runs all it holds at once; what runs shares its cores, disks and memory. */
final class SimulatedMachine {
    /** A query on it. */
    static final class Run {
        final GeneratedRequest ask;
        final GeneratedDeployment.Lane lane;
        final double wanted;
        final long expires;
        final Consumer<AttemptOutcome> ended;
        int priority;
        private double left, whole, io, granted, rate;
        private boolean waits, blocked, spills;

        /**
         * {@code wanted}: memory granted where there is enough; {@code expires}: not begun after
         * that.
         */
        Run(
                GeneratedRequest ask,
                GeneratedDeployment.Lane lane,
                double wanted,
                int priority,
                long expires,
                Consumer<AttemptOutcome> ended) {
            this.ask = ask;
            this.lane = lane;
            this.wanted = wanted;
            this.priority = priority;
            this.expires = expires;
            this.ended = ended;
            left = ask.workUs;
            whole = left;
            io = lane.io();
        }

        double share() {
            return 1 - left / whole;
        }

        boolean waitsForMemory() {
            return waits;
        }

        boolean waitsForLoad() {
            return blocked;
        }

        double missingMb() {
            return spills ? Math.max(0, ask.memoryMb - granted) : 0;
        }
    }

    private record Seen(
            long at, int inflight, int queue, double util, double granted, double disks) {}

    private static final int[] WEIGHTS = {
        1, 4, 8, 16
    }; // of the priorities where cores or disks are short
    private static final double SLOW = 0.3; // speed of an engine in trouble
    private static final long SECOND = 1_000_000;
    final long id;
    final int kind;
    final int zone;
    final int cores;
    final double speed;
    private final FleetClock time;
    private final GeneratedDeployment draw;
    private final GeneratedDeployment.Machines traits;
    private final SplittableRandom random;
    private final double memoryMb, disks;
    private final List<Run> running = new ArrayList<>();
    private final List<Run> line = new ArrayList<>();
    private final LinkedHashMap<Integer, Boolean> warm = new LinkedHashMap<>(16, 0.75f, true);
    private final ArrayDeque<Seen> seen = new ArrayDeque<>();
    private final ArrayDeque<Long> probedAt = new ArrayDeque<>();
    EngineLifecycle state = EngineLifecycle.READY;
    long bornUs, reportsLateUs;
    boolean hangs, isSlow;
    private double granted, coresBusy, disksBusy;
    private long advancedAt, version;

    SimulatedMachine(
            FleetClock time, GeneratedDeployment draw, long id, int kind, int zone, long bornUs) {
        this.time = time;
        this.draw = draw;
        this.id = id;
        this.kind = kind;
        this.zone = zone;
        this.bornUs = bornUs;
        traits = draw.machines();
        cores = draw.kinds().get(kind).cores();
        memoryMb = draw.kinds().get(kind).memoryMb();
        random = new SplittableRandom(draw.seed() * 31 + draw.number() * 1_000_003L + id);
        speed = 0.85 + 0.3 * random.nextDouble();
        disks = cores * GeneratedDeployment.CAPACITY * draw.meanIo() / traits.diskUse();
        advancedAt = time.now();
        look();
    }

    /** Cells are of four engines. */
    EngineEndpoint entry() {
        return new EngineEndpoint(id, kind, (int) (id / 4), zone, bornUs, state);
    }

    /** Its share of its speed: a cold engine gains evenly until it is warm. */
    double warmth() {
        double from = draw.figures().coldShare();
        double age =
                bornUs == 0
                        ? 1
                        : Math.min(1, (time.now() - bornUs) / (double) draw.figures().warmUpUs());
        return from + (1 - from) * age;
    }

    // ---- What it tells
    // ------------------------------------------------------------------------------------
    private void look() {
        advance();
        plan(); // A cold one is faster now.
        seen.add(
                new Seen(
                        time.now(),
                        running.size() + line.size(),
                        line.size(),
                        coresBusy,
                        granted / memoryMb,
                        disksBusy));
        while (seen.size() > 1 && seen.peek().at < time.now() - 8 * SECOND) {
            seen.poll();
        }
        time.after(draw.telling().periodUs(), this::look);
    }

    LoadReport report() {
        long upTo = time.now() - draw.telling().delayUs() - reportsLateUs;
        Seen told = seen.peek();
        for (Seen each : seen) {
            told = each.at <= upTo ? each : told;
        }
        LoadReport out = LoadReport.EMPTY;
        for (String field : draw.telling().fields()) {
            double value =
                    field.equals("inflight")
                            ? told.inflight
                            : field.equals("queue")
                                    ? told.queue
                                    : field.equals("util")
                                            ? told.util
                                            : field.equals("x0") ? told.granted : told.disks;
            out =
                    out.withColumn(
                            field,
                            Math.max(
                                    0,
                                    value * (1 + draw.telling().noise() * random.nextGaussian())));
        }
        return out;
    }

    /** Whether a probe is within what it answers in a second. */
    boolean answersProbe() {
        probedAt.add(time.now());
        while (probedAt.peek() <= time.now() - SECOND) {
            probedAt.poll();
        }
        return probedAt.size() <= Math.max(1, draw.allowed().probesPerCore() * cores);
    }

    // ---- What it runs
    // -------------------------------------------------------------------------------------
    /** Takes a query, unless it holds too many. */
    boolean take(Run run) {
        if (running.size() + line.size() >= traits.sessionsPerCore() * cores) {
            return false;
        }
        advance();
        if (traits.whenShort() == GeneratedDeployment.Short.WAIT
                && (!line.isEmpty() || granted + run.wanted > memoryMb)) {
            run.waits = true;
            line.add(run);
        } else {
            begin(run);
        }
        plan();
        return true;
    }

    private void begin(Run run) {
        double free = Math.max(0, memoryMb - granted);
        run.granted =
                traits.whenShort() == GeneratedDeployment.Short.CUT
                        ? Math.min(free, run.wanted)
                        : run.wanted;
        granted += run.granted;
        run.waits = false;
        if (run.granted < run.ask.memoryMb) {
            run.spills = true;
            run.left *= 1 + (traits.spill() - 1) * (1 - run.granted / run.ask.memoryMb);
        }
        if (warm.get(run.ask.group) != null) {
            double saved = run.io * traits.warmGain();
            run.left *= 1 - saved;
            run.io = (run.io - saved) / (1 - saved);
        }
        warm.put(run.ask.group, true);
        if (warm.size() > traits.warmGroups()) {
            warm.remove(warm.keySet().iterator().next());
        }
        run.whole = run.left;
        running.add(run);
    }

    void stop(Run run) {
        advance();
        leave(run);
        plan();
    }

    private void leave(Run run) {
        if (running.remove(run)) {
            granted -= run.granted;
        }
        line.remove(run);
    }

    /** Queries that wait for memory begin by priority, then in turn. */
    private void admit() {
        while (!line.isEmpty()) {
            Run next =
                    draw.allowed().priorities()
                            ? line.stream()
                                    .max(Comparator.comparingInt((Run r) -> r.priority))
                                    .get()
                            : line.get(0);
            if (time.now() > next.expires) {
                line.remove(next);
                time.after(1, () -> next.ended.accept(AttemptOutcome.OVERLOADED));
            } else if (granted + next.wanted <= memoryMb || running.isEmpty()) {
                line.remove(next);
                begin(next);
            } else {
                return;
            }
        }
    }

    /** All that it holds ends without an answer. */
    void die() {
        advance();
        state = EngineLifecycle.REMOVED;
        List<Run> lost = new ArrayList<>(running);
        lost.addAll(line);
        running.clear();
        line.clear();
        warm.clear();
        granted = 0;
        plan();
        lost.forEach(run -> run.ended.accept(AttemptOutcome.RESET));
    }

    /** From now on it is slow, or no more. */
    void slow(boolean on) {
        advance();
        isSlow = on;
        plan();
    }

    private void advance() {
        double passed = time.now() - advancedAt;
        running.forEach(run -> run.left -= passed * run.rate);
        advancedAt = time.now();
    }

    /**
     * The cores and the disks together are one bottleneck: all that runs is as much slower as the
     * shorter one asks for.
     */
    private void rates() {
        Map<Integer, Run> holders = new HashMap<>();
        running.stream()
                .filter(run -> run.lane.load())
                .forEach(run -> holders.putIfAbsent(run.ask.group, run));
        double[] threads = new double[WEIGHTS.length];
        double reading = 0;
        for (Run run : running) {
            Run holder = holders.get(run.ask.group);
            run.blocked = holder != null && holder != run && (run.lane.load() || run.lane.waits());
            if (!run.blocked) {
                threads[level(run)] += run.lane.threads();
                reading += run.lane.threads() * run.io;
            }
        }
        double all = Arrays.stream(threads).sum();
        double crowd = all / (cores * traits.knee());
        double done = cores * (crowd > 1 ? Math.pow(crowd, -traits.thrash() / 2) : 1);
        double seeks = reading / (2 * disks);
        double read = disks * (seeks > 1 ? Math.pow(seeks, -traits.seek()) : 1);
        double used =
                running.stream().mapToDouble(run -> Math.min(run.granted, run.ask.memoryMb)).sum();
        double jam =
                Math.max(1, Math.max(all / done, reading / read)) * Math.max(1, used / memoryMb);
        double[] parts = shared(threads, all / jam);
        double pace = speed * warmth() * (isSlow ? SLOW : 1);
        for (Run run : running) {
            run.rate = run.blocked ? 0 : run.lane.threads() * pace * parts[level(run)];
        }
        coresBusy = Math.min(1, all / jam / cores);
        disksBusy = Math.min(1, reading / jam / disks);
    }

    private int level(Run run) {
        return draw.allowed().priorities() ? run.priority : 1;
    }

    /**
     * The part of its full speed at which each priority's threads run, where so many threads' work
     * is done in all.
     */
    private static double[] shared(double[] threads, double done) {
        double[] parts = new double[threads.length];
        for (int highest = threads.length - 1;
                highest >= 0;
                highest--) { // What a higher one can't use goes to the others.
            double weights = 0;
            for (int i = 0; i <= highest; i++) {
                weights += threads[i] * WEIGHTS[i];
            }
            parts[highest] = weights > 0 ? Math.min(1, WEIGHTS[highest] * done / weights) : 0;
            done = Math.max(0, done - parts[highest] * threads[highest]);
        }
        return parts;
    }

    private void plan() {
        long planned = ++version;
        admit();
        rates();
        double soonest = Double.MAX_VALUE;
        for (Run run : running) {
            soonest = run.rate > 0 ? Math.min(soonest, Math.max(0, run.left) / run.rate) : soonest;
        }
        if (soonest < Double.MAX_VALUE) {
            time.after(
                    (long) Math.ceil(soonest) + 1,
                    () -> {
                        if (planned == version) {
                            finish();
                        }
                    });
        }
    }

    private void finish() {
        advance();
        List<Run> done = running.stream().filter(run -> run.left <= 0).toList();
        done.forEach(this::leave);
        plan();
        done.forEach(run -> run.ended.accept(AttemptOutcome.OK));
    }
}
