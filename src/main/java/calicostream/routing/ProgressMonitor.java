// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Watches running attempts: migrates slow ones, gives up hopeless ones, notices silent engines. */
final class ProgressMonitor {
    /** Fresh runs that must fit into the rest of an attempt before it migrates. */
    private static final double MIGRATION_GAIN = 2.0;

    /** Part of the projected rest that must miss the deadline to give up. */
    private static final double HOPELESS_SHARE = 0.7;

    /** Least share done that is assumed, as the first reports round it down. */
    private static final double MIN_FRACTION_DONE = 0.005;

    /** Expected runs without an answer that make an engine silent, where it reports no progress. */
    private static final double SILENT_RUNS = 10;

    /** Periods of progress reports without one that make an engine silent. */
    private static final double SILENT_PERIODS = 1.4;

    /** Time without a tick after which silence may be this process's own. */
    private static final long STALLED_TICK_MICROS = 400_000;

    private final RouterSettings settings;
    private final QueryLifecycle lifecycle;
    private final CapacityEstimator capacity;
    private final WorkEstimator work;
    private final OutlierDetector outliers;
    private final RetryPolicy retryPolicy;
    private long resumedAt = Timestamps.NEVER_MICROS;

    ProgressMonitor(
            RouterSettings settings,
            QueryLifecycle lifecycle,
            CapacityEstimator capacity,
            WorkEstimator work,
            OutlierDetector outliers,
            RetryPolicy retryPolicy) {
        this.settings = settings;
        this.lifecycle = lifecycle;
        this.capacity = capacity;
        this.work = work;
        this.outliers = outliers;
        this.retryPolicy = retryPolicy;
    }

    /** Takes in progress of an attempt that runs. */
    void recordProgress(long now, QueryState query, QueryProgress progress) {
        query.recordProgress(now);
        if (progress.kind() == ProgressKind.WAITING_FOR_MEMORY) {
            capacity.recordMemoryShortage(now, query.engine());
        }
        if (progress.kind() == ProgressKind.FRACTION_DONE && isCancelUseful(query)) {
            judge(now, query, Math.min(1, Math.max(MIN_FRACTION_DONE, progress.amount())));
        }
    }

    /** Without load reports nothing would show whether a cancelled attempt frees its engine. */
    private boolean isCancelUseful(QueryState query) {
        return settings.loadReporting() != LoadReporting.NONE && isWatched(query);
    }

    private static boolean isWatched(QueryState query) {
        return !query.isDone() && !query.isCancelled() && !query.isStreaming();
    }

    /** A bad plan, or an engine gone slow, shows as a run far longer than a fresh one would be. */
    private void judge(long now, QueryState query, double fractionDone) {
        double rest = (now - query.sentAt()) * (1 - fractionDone) / fractionDone;
        boolean slow = rest > migrationThreshold(query);
        if (slow && !query.isMigrated() && retryPolicy.mayMigrate(now, query)) {
            query.setMigrated(); // If it is as slow on another engine, the query itself is long.
            lifecycle.cancelAttempt(query);
        } else if (now + rest * HOPELESS_SHARE > query.deadline()
                && settings.attemptLimits().cancel()) {
            lifecycle.finish(query, false);
        }
    }

    /** Returns the rest of a run, in microseconds, from which a fresh run elsewhere is better. */
    private double migrationThreshold(QueryState query) {
        // Where connections cost, the other engine may need one.
        double gain = settings.costs().handshake() > 0 ? 2 * MIGRATION_GAIN : MIGRATION_GAIN;
        ClassStatistics known = query.statistics();
        double uncertainty = gain * Math.exp(known.workRatio().standardDeviation());
        return uncertainty * Math.max(work.freshRunMicros(query), known.averageRunMicros());
    }

    /**
     * Looks for attempts whose engines are silent.
     *
     * @param sinceLastTick microseconds since the last call; after a long time progress is overdue
     *     by this process's own fault
     */
    void checkSilence(long now, long sinceLastTick) {
        if (sinceLastTick > STALLED_TICK_MICROS) {
            resumedAt = now;
        }
        for (QueryState query : lifecycle.snapshot()) {
            checkSilence(now, query);
        }
    }

    /**
     * A query whose progress report is overdue, or without these its answer by far, is lost: it
     * migrates, and the failure counts for the engine. Meant for hangs, lost messages, crashes and
     * cut links that nothing reports. A report that is late costs the work done.
     */
    private void checkSilence(long now, QueryState query) {
        if (!query.hasAttempt() || !isWatched(query)) {
            return;
        }
        long heardAt = Math.max(query.lastProgressAt(), resumedAt);
        if (now - heardAt > patienceMicros(query)) {
            outliers.recordFailure(now, query.engine(), EjectionCause.SILENCE);
            query.recordProgress(now);
            if (retryPolicy.mayMigrate(now, query)
                    && now + work.freshRunMicros(query) < query.due()) {
                lifecycle.cancelAttempt(query);
            }
        }
    }

    private double patienceMicros(QueryState query) {
        long period = settings.engineCapabilities().progressPeriodUs();
        return period > 0 ? SILENT_PERIODS * period : SILENT_RUNS * work.freshRunMicros(query);
    }
}
