// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.function.Predicate;

/**
 * Limits the work sent to engines that are warming up to this gateway's part of what they may get.
 */
final class SlowStartLimiter {
    /** Largest part of the allowance used, as typical work is an estimate. */
    static final double USED_SHARE = 0.8;

    /** Work of a core at capacity: 85% utilization, and some cores are slower. */
    static final double CORE_YIELD = 0.75;

    /** Turns in a slow-start window; shorter turns waste less of it. */
    private static final int TURNS_PER_WINDOW = 4;

    private static final int HASH_SHIFT = 33;

    private final RouterSettings settings;
    private final ProtectionRules rules;
    private final GatewayProcesses processes;
    private final WorkEstimator work;

    SlowStartLimiter(RouterSettings settings, GatewayProcesses processes, WorkEstimator work) {
        this.settings = settings;
        this.rules = settings.protectionRules();
        this.processes = processes;
        this.work = work;
    }

    boolean isWarmingUp(EngineState engine, long now) {
        return now < engine.slowStart().startedAt() + rules.warmUpUs();
    }

    /**
     * Allows an engine nothing more for a window: this process has restarted and does not know what
     * its predecessor sent. A predecessor that still runs makes that known by itself.
     */
    void recordUnknownPast(long now, EngineState engine) {
        if (processes.count() == 1 && isWarmingUp(engine, now)) {
            engine.slowStart().add(SlowStartEntry.exhausting(now));
        }
    }

    /** Takes in that a query is sent to an engine. */
    void recordAttempt(long now, QueryState query, EngineState engine) {
        if (isWarmingUp(engine, now)) {
            double workMicros = query.statistics().admittedWorkMicros();
            engine.slowStart()
                    .add(new SlowStartEntry(now, workMicros, query.request().queryClass()));
        }
    }

    /**
     * Returns whether a query may be sent to an engine. In each window a warming-up engine may be
     * sent an equal part of the work by each gateway. A class whose queries are more than that has
     * its share of it apart, and gateways take turns by number: one query a turn, so often that all
     * turns which touch a window stay within it. Classes with few queries have longer turns.
     */
    boolean allows(long now, QueryState query, EngineState engine) {
        double window = rules.slowStartWindowUs();
        engine.slowStart().sent().removeIf(entry -> entry.sentAt() <= now - window);
        if (!isWarmingUp(engine, now)) {
            return true;
        }
        ClassStatistics known = query.statistics();
        int gateways = gatewayCount();
        double limit = limitPerGateway(engine, window, gateways);
        boolean apart = limit < known.admittedWorkMicros();
        Predicate<ClassStatistics> countsToo =
                other -> apart ? other == known : other.admittedWorkMicros() <= limit;
        double sent = sentWork(engine, countsToo);
        double share = requestedWork(now, countsToo);
        double part = limit * share / Math.max(1, work.requestedWork(now));
        if (apart && sent <= 0 && isInTurn(now, known, engine, new Turns(share, part, gateways))) {
            return true;
        }
        return sent + known.admittedWorkMicros() <= part;
    }

    /**
     * What the turns of a class are computed from.
     *
     * @param requestedWork recently requested work of the class, in core-microseconds
     * @param allowedWork work of the class that this gateway may send in a window
     * @param gateways number of gateway processes that take turns
     */
    private record Turns(double requestedWork, double allowedWork, int gateways) {}

    private boolean isInTurn(long now, ClassStatistics known, EngineState engine, Turns turns) {
        double window = rules.slowStartWindowUs();
        double workMicros = known.admittedWorkMicros();
        double longTurn =
                Math.sqrt(
                        2 * window * DecayingSum.DECAY_MICROS * workMicros / turns.requestedWork());
        double turn = Math.min(2 * window, Math.max(window / TURNS_PER_WINDOW, longTurn));
        double cycle = (window + turn) * workMicros / turns.allowedWork();
        long number =
                Math.floorMod(
                        settings.index() * processes.count()
                                + processes.index()
                                + (engine.id() * RendezvousRanking.HASH_MULTIPLIER >>> HASH_SHIFT),
                        turns.gateways());
        long sinceStart = now - engine.slowStart().startedAt();
        return (sinceStart + cycle * number / turns.gateways()) % cycle < turn;
    }

    private int gatewayCount() {
        return Math.max(settings.gateways(), settings.index() + 1) * processes.count();
    }

    /** Work in core-microseconds that one gateway process may send an engine in a window. */
    private double limitPerGateway(EngineState engine, double window, int gateways) {
        return USED_SHARE
                * rules.slowStartMultiple()
                * rules.slowStartShare()
                * engine.cores()
                * CORE_YIELD
                * window
                / gateways;
    }

    // The streams' sums are compensated; a loop would give other last digits.
    private double sentWork(EngineState engine, Predicate<ClassStatistics> countsToo) {
        return engine.slowStart().sent().stream()
                .mapToDouble(entry -> isCounted(entry, countsToo) ? entry.workMicros() : 0)
                .sum();
    }

    private boolean isCounted(SlowStartEntry entry, Predicate<ClassStatistics> countsToo) {
        return entry.concernsAllClasses() || countsToo.test(work.statistics(entry.queryClass()));
    }

    private double requestedWork(long now, Predicate<ClassStatistics> countsToo) {
        return work.allStatistics().stream()
                .filter(countsToo)
                .mapToDouble(other -> other.requestedWork(now))
                .sum();
    }
}
