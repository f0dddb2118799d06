// SPDX-License-Identifier: Apache-2.0
package calicostream.mass;

import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import calicostream.routing.LoadReport;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * An engine whose cores are shared by all that runs; it keeps the accounts of what was sent to it
 * while it was cold.
 */
final class FleetEngineModel {
    /** A query on it; {@code left} is its work in core-microseconds. */
    static final class Run {
        final int threads;
        final Consumer<Boolean> ended;
        private double left;

        Run(double work, int threads, Consumer<Boolean> ended) {
            left = work;
            this.threads = threads;
            this.ended = ended;
        }
    }

    private record Seen(long at, int running, double busy) {}

    private static final long SEES = 100_000; // us between looks at its load
    private static final long REPORT_AGE = 1_000_000; // us by which a report is late
    final long id;
    final int zone;
    final int cores;
    final Map<Integer, Integer> connections = new HashMap<>();
    private final FleetClock time;
    private final SimulatedFleet.Shape shape;
    private final List<Run> running = new ArrayList<>();
    private final ArrayDeque<Seen> seen = new ArrayDeque<>();
    private final ArrayDeque<double[]> coldSent = new ArrayDeque<>();
    EngineLifecycle state = EngineLifecycle.READY;
    long bornUs;
    int mostConnections;
    double coldPeak, coldWork;
    private long advancedAt;
    private long version;

    FleetEngineModel(
            FleetClock time,
            SimulatedFleet.Shape shape,
            long id,
            int zone,
            int cores,
            long bornUs) {
        this.time = time;
        this.shape = shape;
        this.id = id;
        this.zone = zone;
        this.cores = cores;
        this.bornUs = bornUs;
        advancedAt = time.now();
        look();
    }

    EngineEndpoint entry() {
        return new EngineEndpoint(id, 0, 0, zone, bornUs, state);
    }

    boolean cold() {
        return bornUs > 0 && time.now() < bornUs + shape.rules().warmUpUs();
    }

    int threads() {
        return running.stream().mapToInt(r -> r.threads).sum();
    }

    /** Threads a core, own to every front end. */
    double load() {
        return threads() / (double) cores;
    }

    private void look() {
        seen.add(new Seen(time.now(), running.size(), Math.min(1, load())));
        while (seen.peek().at < time.now() - REPORT_AGE - SEES) {
            seen.poll();
        }
        time.after(SEES, this::look);
    }

    LoadReport report() {
        Seen told = seen.peek();
        return new LoadReport(told.running, told.busy);
    }

    void connect(int gateway, int change) {
        connections.merge(gateway, change, Integer::sum);
        mostConnections =
                Math.max(
                        mostConnections,
                        connections.values().stream().mapToInt(Integer::intValue).sum());
    }

    void start(Run run, double usualWork) {
        if (cold()) {
            account(usualWork);
        }
        advance();
        running.add(run);
        plan();
    }

    /**
     * The rule on cold engines: what was sent within its window, against what the engine can do
     * now, several times.
     */
    private void account(double usualWork) {
        coldSent.add(new double[] {time.now(), usualWork});
        while (coldSent.peek()[0] <= time.now() - shape.rules().slowStartWindowUs()) {
            coldSent.poll();
        }
        coldPeak =
                Math.max(
                        coldPeak, coldSent.stream().mapToDouble(e -> e[1]).sum() / coldAllowance());
        coldWork += usualWork;
    }

    /** Work of one window. */
    double coldAllowance() {
        return shape.rules().slowStartMultiple()
                * shape.rules().slowStartShare()
                * cores
                * SimulatedFleet.CAPACITY
                * shape.rules().slowStartWindowUs();
    }

    void stop(Run run) {
        advance();
        running.remove(run);
        plan();
    }

    /** All that runs ends without an answer. */
    void die() {
        advance();
        state = EngineLifecycle.REMOVED;
        List<Run> lost = List.copyOf(running);
        running.clear();
        coldSent.clear();
        plan();
        lost.forEach(r -> r.ended.accept(false));
    }

    private double rate() {
        double share = Math.min(1, cores / (double) Math.max(1, threads()));
        return share * (cold() ? shape.rules().slowStartShare() : 1);
    }

    private void advance() {
        double each = (time.now() - advancedAt) * rate();
        running.forEach(r -> r.left -= each * r.threads);
        advancedAt = time.now();
    }

    private void plan() {
        long planned = ++version;
        double soonest = running.stream().mapToDouble(r -> r.left / r.threads).min().orElse(-1);
        if (!running.isEmpty()) {
            time.after(
                    (long) Math.ceil(Math.max(0, soonest) / rate()) + 1,
                    () -> {
                        if (planned == version) {
                            advance();
                            List<Run> done = running.stream().filter(r -> r.left <= 0).toList();
                            running.removeAll(done);
                            plan();
                            done.forEach(r -> r.ended.accept(true));
                        }
                    });
        }
    }
}
