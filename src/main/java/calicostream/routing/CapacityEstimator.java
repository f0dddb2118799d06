// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Estimates the load of engines and the capacity they have left, from load reports and from what
 * this gateway runs itself.
 */
final class CapacityEstimator {
    /** Threads per reported core at most: work done falls beyond one to two. */
    static final double THREADS_PER_CORE = 1.9;

    /** The same where cores are not reported: a third of the threads wait for disks. */
    static final double THREADS_PER_UNREPORTED_CORE = 2.7;

    /** Utilization at which an engine's capacity is used up. */
    private static final double FULL_UTILIZATION = 0.85;

    /** Time over which loads are smoothed: that of a few queries. */
    private static final double SMOOTHING_MICROS = 1_000_000;

    /** Largest weight of one report against earlier ones, as reports are noisy. */
    private static final double MAX_REPORT_WEIGHT = 0.4;

    /** Least weight of one report in the fleet's average: some ten count. */
    private static final double FLEET_REPORT_WEIGHT = 0.08;

    /** Reports that the assumption before the first one counts for. */
    private static final int PRIOR_REPORTS = 2;

    /** Threads that fill an engine which rejects a query, relative to its capacity. */
    private static final double REJECTING_LOAD = 2;

    /** Jitter of a query that takes unknown load as it is on average. */
    private static final double MEAN_JITTER = 0.5;

    /** Least share of the traffic assumed for this gateway, relative to an equal one. */
    private static final double MIN_TRAFFIC_SHARE = 0.5;

    private final RouterSettings settings;
    private final EngineTable engines;
    private final SlowStartLimiter slowStart;
    private final OwnLoad ownLoad;
    private double threadsPerCore = THREADS_PER_UNREPORTED_CORE;
    private double otherThreadsPerCore;
    private long reports;

    CapacityEstimator(
            RouterSettings settings,
            EngineTable engines,
            SlowStartLimiter slowStart,
            OwnLoad ownLoad) {
        this.settings = settings;
        this.engines = engines;
        this.slowStart = slowStart;
        this.ownLoad = ownLoad;
    }

    /** Returns whether the threads on an engine, own and others', leave room for the query's. */
    boolean hasCapacity(long now, QueryState query, EngineState engine) {
        QueryClass queryClass = query.queryClass();
        // A load stops other loads and waiting classes of its table group on its engine.
        boolean blocked =
                (queryClass.load() || queryClass.waitsForLoads())
                        && query.tableGroup().hasRunningLoad(engine.id());
        return !blocked
                && engine.ownThreads()
                                + otherThreads(engine, now, query.jitter())
                                + queryClass.threads()
                        <= threadsPerCore * engine.cores();
    }

    /**
     * Returns the threads of other gateways on an engine: its report, fading into the fleet's
     * average. What is not known is taken higher for some queries than for others, so that many
     * gateways in doubt send a part of them.
     */
    private double otherThreads(EngineState engine, long now, double jitter) {
        double trust = engine.load().trust(now);
        // What a warming-up engine runs is kept low by its slow start.
        double unknown = slowStart.isWarmingUp(engine, now) ? 0 : 1 - trust;
        return trust * engine.load().otherThreads()
                + unknown * otherThreadsPerCore * (MEAN_JITTER + jitter) * engine.cores();
    }

    /** Returns the threads per core on an engine, own and others'. */
    double loadPerCore(EngineState engine, long now) {
        return (engine.ownThreads() + otherThreads(engine, now, MEAN_JITTER)) / engine.cores();
    }

    /** Returns the threads per core in the fleet, own and others'. */
    double meanLoadPerCore() {
        return ownLoad.threads() / Math.max(1, engines.readyCores()) + otherThreadsPerCore;
    }

    /** Returns the threads per core of other gateways in the fleet. */
    double meanOtherThreadsPerCore() {
        return otherThreadsPerCore;
    }

    /** Returns this gateway's part of the traffic, as far as load reports tell. */
    double ownTrafficShare() {
        double own = ownLoad.averageThreads() / Math.max(1, engines.readyCores());
        return Math.max(
                MIN_TRAFFIC_SHARE / settings.gateways(),
                own / Math.max(1e-9, own + otherThreadsPerCore));
    }

    /** Takes in a load report of an engine. */
    void recordReport(long now, EngineState engine, LoadReport report) {
        threadsPerCore =
                Double.isNaN(report.utilization()) ? THREADS_PER_UNREPORTED_CORE : THREADS_PER_CORE;
        double threads = otherThreads(engine, report);
        if (Double.isNaN(threads)) {
            return;
        }
        double age = (now - engine.load().updatedAt()) / SMOOTHING_MICROS;
        engine.load().update(now, threads, Math.min(MAX_REPORT_WEIGHT, age));
        reports++;
        double fleetWeight = Math.max(FLEET_REPORT_WEIGHT, 1.0 / (reports + PRIOR_REPORTS));
        otherThreadsPerCore += (threads / engine.cores() - otherThreadsPerCore) * fleetWeight;
    }

    /**
     * Returns the threads that a report leaves to other gateways: those of the queries that are not
     * ours, or fewer where the cores are not all busy. NaN if neither is reported.
     */
    private double otherThreads(EngineState engine, LoadReport report) {
        double counted =
                (report.running() - engine.runningQueries()) * ownLoad.averageThreadsPerQuery();
        // Cores may idle while queries wait for something else that is full.
        double busy =
                report.highestUtilization() / FULL_UTILIZATION * threadsPerCore * engine.cores()
                        - engine.ownThreads();
        if (Double.isNaN(counted)) {
            return Math.max(0, busy);
        }
        // On a full engine, queries beyond its capacity wait.
        boolean hasIdleCores =
                Math.max(report.utilization(), report.highestUtilization()) < FULL_UTILIZATION;
        return Math.max(0, hasIdleCores ? Math.min(counted, busy) : counted);
    }

    /** Takes in that queries wait for memory on an engine: it is full whatever its cores report. */
    void recordMemoryShortage(long now, EngineState engine) {
        engine.load().update(now, threadsPerCore * engine.cores(), MAX_REPORT_WEIGHT);
    }

    /** Takes in that an engine rejected a query for its load. */
    void recordRejection(long now, EngineState engine) {
        engine.load().update(now, REJECTING_LOAD * threadsPerCore * engine.cores(), 1);
    }

    /**
     * Updates the averages; without reports, other gateways are assumed to do as much as this one.
     *
     * @param weight part of the difference by which averages move towards the present
     */
    void updateAverages(double weight) {
        ownLoad.updateAverages(weight);
        double assumed =
                (settings.gateways() - 1)
                        * ownLoad.averageThreads()
                        / Math.max(1, engines.readyCores());
        otherThreadsPerCore = reports > 0 ? otherThreadsPerCore * (1 - weight) : assumed;
    }
}
