// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Estimates the load and the remaining capacity of engines from load reports and from the attempts
 * that this gateway runs itself.
 */
final class CapacityEstimator {
    /**
     * Maximum threads per core on engines that report utilization; throughput starts to drop
     * between one and two threads per core.
     */
    static final double THREADS_PER_CORE = 1.9;

    /**
     * Maximum threads per core on engines that do not report utilization. It is higher because
     * about a third of their threads wait for disks.
     */
    static final double THREADS_PER_UNREPORTED_CORE = 2.7;

    /** Utilization at which an engine's capacity is used up. */
    private static final double FULL_UTILIZATION = 0.85;

    /** Time over which loads are smoothed, about the run time of a few queries. */
    private static final double SMOOTHING_MICROS = 1_000_000;

    /** Maximum weight of one report against earlier ones, because reports are noisy. */
    private static final double MAX_REPORT_WEIGHT = 0.4;

    /**
     * Minimum weight of one report in the fleet's average, which is then dominated by about the
     * last ten reports.
     */
    private static final double MIN_FLEET_REPORT_WEIGHT = 0.08;

    /** Number of reports that the initial assumption counts as. */
    private static final int PRIOR_REPORTS = 2;

    /** Load assumed for an engine that rejects a query, as a multiple of its capacity. */
    private static final double REJECTION_LOAD_FACTOR = 2;

    /** Jitter with which unknown load is assumed to be equal to the average load. */
    private static final double MEAN_JITTER = 0.5;

    /** Minimum share of the traffic assumed for this gateway, relative to an equal distribution. */
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

    /**
     * Returns whether an engine has capacity for the query's threads beside the threads that this
     * and other gateways use there.
     */
    boolean hasCapacity(long now, QueryState query, EngineState engine) {
        QueryClass queryClass = query.queryClass();
        // A load blocks other loads, and classes that wait for loads, of the same table group.
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
     * Returns the threads of other gateways on an engine: its last report, blended into the fleet's
     * average as the report ages. The average is scaled by the query's jitter, so that gateways
     * without recent reports send only some of their queries to the engine instead of all or none.
     */
    private double otherThreads(EngineState engine, long now, double jitter) {
        double confidence = engine.load().confidence(now);
        // Slow start keeps the load of a warming-up engine low.
        double averageWeight = slowStart.isWarmingUp(engine, now) ? 0 : 1 - confidence;
        return confidence * engine.load().otherThreads()
                + averageWeight * otherThreadsPerCore * (MEAN_JITTER + jitter) * engine.cores();
    }

    /** Returns the threads per core on an engine, of this and other gateways. */
    double loadPerCore(EngineState engine, long now) {
        return (engine.ownThreads() + otherThreads(engine, now, MEAN_JITTER)) / engine.cores();
    }

    /** Returns the mean threads per core in the fleet, of this and other gateways. */
    double meanLoadPerCore() {
        return ownLoad.threads() / Math.max(1, engines.readyCores()) + otherThreadsPerCore;
    }

    /** Returns the mean threads per core that other gateways use in the fleet. */
    double meanOtherThreadsPerCore() {
        return otherThreadsPerCore;
    }

    /** Returns this gateway's share of the traffic as estimated from load reports. */
    double ownTrafficShare() {
        double own = ownLoad.averageThreads() / Math.max(1, engines.readyCores());
        return Math.max(
                MIN_TRAFFIC_SHARE / settings.gateways(),
                own / Math.max(1e-9, own + otherThreadsPerCore));
    }

    /** Records a load report of an engine. */
    void recordReport(long now, EngineState engine, LoadReport report) {
        threadsPerCore =
                Double.isNaN(report.utilization()) ? THREADS_PER_UNREPORTED_CORE : THREADS_PER_CORE;
        double threads = reportedOtherThreads(engine, report);
        if (Double.isNaN(threads)) {
            return;
        }
        double age = (now - engine.load().updatedAt()) / SMOOTHING_MICROS;
        engine.load().update(now, threads, Math.min(MAX_REPORT_WEIGHT, age));
        reports++;
        double fleetWeight = Math.max(MIN_FLEET_REPORT_WEIGHT, 1.0 / (reports + PRIOR_REPORTS));
        otherThreadsPerCore += (threads / engine.cores() - otherThreadsPerCore) * fleetWeight;
    }

    /**
     * Returns the threads of other gateways according to a report: those of queries that are not
     * this gateway's, or fewer if the cores are not all busy. Returns NaN if the report has neither
     * queries nor utilization.
     */
    private double reportedOtherThreads(EngineState engine, LoadReport report) {
        double threadsByCount =
                (report.running() - engine.runningQueries()) * ownLoad.averageThreadsPerQuery();
        // Cores may be idle while queries wait for another resource that is saturated.
        double threadsByUtilization =
                report.highestUtilization() / FULL_UTILIZATION * threadsPerCore * engine.cores()
                        - engine.ownThreads();
        if (Double.isNaN(threadsByCount)) {
            return Math.max(0, threadsByUtilization);
        }
        // A saturated engine may queue queries, so that its utilization understates the load.
        boolean hasIdleCores =
                Math.max(report.utilization(), report.highestUtilization()) < FULL_UTILIZATION;
        return Math.max(
                0, hasIdleCores ? Math.min(threadsByCount, threadsByUtilization) : threadsByCount);
    }

    /**
     * Records that queries wait for memory on an engine; it counts as full regardless of its
     * utilization.
     */
    void recordMemoryShortage(long now, EngineState engine) {
        engine.load().update(now, threadsPerCore * engine.cores(), MAX_REPORT_WEIGHT);
    }

    /** Records that an engine rejected a query because of its load. */
    void recordRejection(long now, EngineState engine) {
        engine.load().update(now, REJECTION_LOAD_FACTOR * threadsPerCore * engine.cores(), 1);
    }

    /**
     * Updates the averages. Without load reports, each other gateway is assumed to cause the same
     * load as this one.
     *
     * @param weight weight of the current values in the averages, from 0 to 1
     */
    void updateAverages(double weight) {
        ownLoad.updateAverages(weight);
        double assumedThreadsPerCore =
                (settings.gateways() - 1)
                        * ownLoad.averageThreads()
                        / Math.max(1, engines.readyCores());
        otherThreadsPerCore =
                reports > 0 ? otherThreadsPerCore * (1 - weight) : assumedThreadsPerCore;
    }
}
