// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Monitors running attempts: migrates slow ones, fails queries that cannot meet their deadline, and
 * detects silent engines.
 */
final class ProgressMonitor {
    /**
     * Minimum ratio of the projected remaining time to the expected run time elsewhere for a
     * migration.
     */
    private static final double MIN_MIGRATION_GAIN = 2.0;

    /**
     * A query fails early if even this share of its projected remaining time exceeds the deadline.
     */
    private static final double MIN_REMAINING_SHARE = 0.7;

    /** Minimum completed share assumed, because the first progress reports are rounded down. */
    private static final double MIN_FRACTION_DONE = 0.005;

    /**
     * Multiple of the expected run time without an answer after which an engine counts as silent,
     * if it sends no progress reports.
     */
    private static final double SILENT_RUNS = 10;

    /**
     * Multiple of the progress report period without a report after which an engine counts as
     * silent.
     */
    private static final double SILENT_PERIODS = 1.4;

    /** Time between ticks above which missing progress may be caused by this process itself. */
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

    /** Handles a progress report of a running attempt. */
    void recordProgress(long now, QueryState query, QueryProgress progress) {
        query.recordProgress(now);
        if (progress.kind() == ProgressKind.WAITING_FOR_MEMORY) {
            capacity.recordMemoryShortage(now, query.engine());
        }
        if (progress.kind() == ProgressKind.FRACTION_DONE && isCancelUseful(query)) {
            migrateOrFail(now, query, Math.min(1, Math.max(MIN_FRACTION_DONE, progress.amount())));
        }
    }

    /**
     * Without load reports it is unknown whether a cancelled attempt frees capacity on its engine.
     */
    private boolean isCancelUseful(QueryState query) {
        return settings.loadReporting() != LoadReporting.NONE && isMonitored(query);
    }

    private static boolean isMonitored(QueryState query) {
        return !query.isClosed() && !query.isCancelled() && !query.isStreaming();
    }

    /**
     * Migrates an attempt that takes much longer than a new run elsewhere, because of a bad query
     * plan or a slow engine, or fails the query if it cannot meet its deadline.
     */
    private void migrateOrFail(long now, QueryState query, double fractionDone) {
        double remainingMicros = (now - query.sentAt()) * (1 - fractionDone) / fractionDone;
        boolean slow = remainingMicros > migrationThreshold(query);
        if (slow && !query.isMigrated() && retryPolicy.mayMigrate(now, query)) {
            // At most one migration: if another engine is as slow, the query itself is long.
            query.setMigrated();
            lifecycle.cancelAttempt(query);
        } else if (now + remainingMicros * MIN_REMAINING_SHARE > query.deadline()
                && settings.attemptLimits().cancel()) {
            lifecycle.finish(query, false);
        }
    }

    /**
     * Returns the remaining time in microseconds above which a new run on another engine is better.
     */
    private double migrationThreshold(QueryState query) {
        // The other engine may need a new connection.
        double gain =
                settings.costs().handshake() > 0 ? 2 * MIN_MIGRATION_GAIN : MIN_MIGRATION_GAIN;
        ClassStatistics statistics = query.statistics();
        double requiredGain = gain * Math.exp(statistics.workRatio().standardDeviation());
        return requiredGain
                * Math.max(work.expectedRunMicros(query), statistics.averageRunMicros());
    }

    /**
     * Detects attempts on silent engines.
     *
     * @param microsSinceLastTick time since the previous call; after a long pause, progress may be
     *     overdue because this process was paused
     */
    void checkSilence(long now, long microsSinceLastTick) {
        if (microsSinceLastTick > STALLED_TICK_MICROS) {
            resumedAt = now;
        }
        for (QueryState query : lifecycle.snapshot()) {
            checkSilence(now, query);
        }
    }

    /**
     * Records a failure of the engine and migrates the query if its progress report is overdue, or
     * its answer if the engine sends no progress reports. This detects hangs, lost messages,
     * crashes and network partitions that cause no error. A report that is only late costs the work
     * done so far.
     */
    private void checkSilence(long now, QueryState query) {
        if (!query.hasAttempt() || !isMonitored(query)) {
            return;
        }
        long lastSignalAt = Math.max(query.lastProgressAt(), resumedAt);
        if (now - lastSignalAt > silenceTimeoutMicros(query)) {
            outliers.recordFailure(now, query.engine(), EjectionCause.SILENCE);
            query.recordProgress(now);
            if (retryPolicy.mayMigrate(now, query)
                    && now + work.expectedRunMicros(query) < query.due()) {
                lifecycle.cancelAttempt(query);
            }
        }
    }

    private double silenceTimeoutMicros(QueryState query) {
        long period = settings.engineCapabilities().progressPeriodUs();
        return period > 0 ? SILENT_PERIODS * period : SILENT_RUNS * work.expectedRunMicros(query);
    }
}
