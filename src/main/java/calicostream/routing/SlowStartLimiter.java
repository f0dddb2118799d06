// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.function.Predicate;

/**
 * Limits the work sent to warming-up engines to this gateway's part of their slow-start capacity.
 */
final class SlowStartLimiter {
    /** Share of the allowance that is used, because the work of queries is only an estimate. */
    static final double ALLOWANCE_SHARE = 0.8;

    /**
     * Work of a core at capacity relative to its nominal speed: 85% utilization, and some cores are
     * slower.
     */
    static final double CORE_EFFICIENCY = 0.75;

    /** Maximum number of turns in a slow-start window; shorter turns waste less of the window. */
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
     * Exhausts the allowance of a warming-up engine for one window, because this process has
     * restarted and the work sent by its predecessor is unknown. A predecessor that is still
     * running is counted by {@link GatewayProcesses} instead.
     */
    void exhaustWindowAfterRestart(long now, EngineState engine) {
        if (processes.count() == 1 && isWarmingUp(engine, now)) {
            engine.slowStart().add(SlowStartEntry.exhausting(now));
        }
    }

    /** Records the work of a query sent to an engine. */
    void recordAttempt(long now, QueryState query, EngineState engine) {
        if (isWarmingUp(engine, now)) {
            double workMicros = query.statistics().admittedWorkMicros();
            engine.slowStart()
                    .add(new SlowStartEntry(now, workMicros, query.request().queryClass()));
        }
    }

    /**
     * Returns whether slow start allows a query on an engine. In each window, all gateways may send
     * equal parts of a warming-up engine's allowance.
     *
     * <p>A class whose queries exceed that part has a separate share of the allowance, and gateways
     * send its queries in turns ordered by their index. Each gateway sends one query per turn, and
     * the cycle is long enough that all turns which overlap a window stay within the allowance.
     * Classes with few queries have longer turns.
     */
    boolean allows(long now, QueryState query, EngineState engine) {
        double window = rules.slowStartWindowUs();
        engine.slowStart().sent().removeIf(entry -> entry.sentAt() <= now - window);
        if (!isWarmingUp(engine, now)) {
            return true;
        }
        ClassStatistics statistics = query.statistics();
        int gateways = gatewayCount();
        double limit = limitPerGateway(engine, window, gateways);
        boolean hasSeparateShare = limit < statistics.admittedWorkMicros();
        Predicate<ClassStatistics> countedClasses =
                other ->
                        hasSeparateShare
                                ? other == statistics
                                : other.admittedWorkMicros() <= limit;
        double sentWork = sentWork(engine, countedClasses);
        double requestedWork = requestedWork(now, countedClasses);
        double allowedWork = limit * requestedWork / Math.max(1, work.requestedWork(now));
        if (hasSeparateShare
                && sentWork <= 0
                && isInTurn(
                        now, statistics, engine, new Turns(requestedWork, allowedWork, gateways))) {
            return true;
        }
        return sentWork + statistics.admittedWorkMicros() <= allowedWork;
    }

    /**
     * Inputs for the computation of a class's turns.
     *
     * @param requestedWork recently requested work of the class, in core-microseconds
     * @param allowedWork work of the class that this gateway may send in a window
     * @param gateways number of gateway processes that take turns
     */
    private record Turns(double requestedWork, double allowedWork, int gateways) {}

    private boolean isInTurn(
            long now, ClassStatistics statistics, EngineState engine, Turns turns) {
        double window = rules.slowStartWindowUs();
        double workMicros = statistics.admittedWorkMicros();
        double targetTurn =
                Math.sqrt(
                        2 * window * DecayingSum.DECAY_MICROS * workMicros / turns.requestedWork());
        double turnMicros = Math.min(2 * window, Math.max(window / TURNS_PER_WINDOW, targetTurn));
        double cycleMicros = (window + turnMicros) * workMicros / turns.allowedWork();
        long turnIndex =
                Math.floorMod(
                        settings.index() * processes.count()
                                + processes.index()
                                + (engine.id() * RendezvousRanking.HASH_MULTIPLIER >>> HASH_SHIFT),
                        turns.gateways());
        long sinceStartMicros = now - engine.slowStart().startedAt();
        return (sinceStartMicros + cycleMicros * turnIndex / turns.gateways()) % cycleMicros
                < turnMicros;
    }

    private int gatewayCount() {
        return Math.max(settings.gateways(), settings.index() + 1) * processes.count();
    }

    /**
     * Returns the work in core-microseconds that one gateway process may send to an engine in a
     * window.
     */
    private double limitPerGateway(EngineState engine, double window, int gateways) {
        return ALLOWANCE_SHARE
                * rules.slowStartMultiple()
                * rules.slowStartShare()
                * engine.cores()
                * CORE_EFFICIENCY
                * window
                / gateways;
    }

    // Stream sums use compensated summation; a loop would round the last digits differently.
    private double sentWork(EngineState engine, Predicate<ClassStatistics> countedClasses) {
        return engine.slowStart().sent().stream()
                .mapToDouble(entry -> isCounted(entry, countedClasses) ? entry.workMicros() : 0)
                .sum();
    }

    private boolean isCounted(SlowStartEntry entry, Predicate<ClassStatistics> countedClasses) {
        return entry.appliesToAllClasses()
                || countedClasses.test(work.statistics(entry.queryClass()));
    }

    private double requestedWork(long now, Predicate<ClassStatistics> countedClasses) {
        return work.allStatistics().stream()
                .filter(countedClasses)
                .mapToDouble(other -> other.requestedWork(now))
                .sum();
    }
}
