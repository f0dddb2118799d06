// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Updates engine health, engine load and class statistics from the results of attempts and load
 * probes.
 */
final class EngineFeedback {
    private final WorkEstimator work;
    private final CapacityEstimator capacity;
    private final OutlierDetector outliers;
    private final LoadProber prober;

    EngineFeedback(
            WorkEstimator work,
            CapacityEstimator capacity,
            OutlierDetector outliers,
            LoadProber prober) {
        this.work = work;
        this.capacity = capacity;
        this.outliers = outliers;
        this.prober = prober;
    }

    /** Records the load report that arrived with the end of an attempt. */
    void recordReport(long now, EngineState engine, LoadReport report) {
        capacity.recordReport(now, engine, report);
    }

    /**
     * Records the result of an attempt. An error may be caused by the query itself, so it counts as
     * a failure of the engine only after another engine has answered the same query.
     */
    void recordResult(long now, QueryState query, EngineState engine, AttemptResult result) {
        switch (result.outcome()) {
            case CONNECT_FAILED -> recordUnavailable(now, engine, EjectionCause.CONNECT_FAILED);
            case RESET -> recordUnavailable(now, engine, EjectionCause.RESET);
            case CONNECTION_BROKEN -> outliers.recordBrokenConnection(now, engine);
            case TIMEOUT -> recordTimeout(now, engine);
            case ERROR -> query.recordError(engine);
            case OVERLOADED -> capacity.recordRejection(now, engine);
            case OK -> recordAnswer(now, query, engine, result);
            case CANCELLED, NOT_STARTED -> {
                // No evidence about the health of the engine.
            }
            default -> throw new IllegalArgumentException(result.outcome().toString());
        }
    }

    private void recordUnavailable(long now, EngineState engine, EjectionCause cause) {
        // The engine may restart before the endpoint list reports its new start time.
        engine.slowStart().restart(now);
        outliers.eject(now, engine, cause);
    }

    private void recordTimeout(long now, EngineState engine) {
        if (engine.ejection().isEjected()) {
            outliers.recordFailure(now, engine, EjectionCause.TIMEOUT);
        }
    }

    private void recordAnswer(
            long now, QueryState query, EngineState engine, AttemptResult result) {
        work.recordAnswer(query, result);
        outliers.recordSuccess(engine, query.sentAt());
        EngineState failed = query.lastErrorEngine();
        if (failed != null && failed != engine) {
            outliers.recordFailure(now, failed, EjectionCause.ERROR);
        }
    }

    /** Records the end of a load probe; {@code report} is null if the probe returned none. */
    void recordProbe(long now, EngineState engine, AttemptOutcome outcome, LoadReport report) {
        engine.probe().end();
        if (report != null && outcome == AttemptOutcome.OK) {
            capacity.recordReport(now, engine, report);
        }
        if (outcome == AttemptOutcome.CONNECT_FAILED) {
            outliers.eject(now, engine, EjectionCause.CONNECT_FAILED);
        } else if (outcome == AttemptOutcome.CANCELLED) {
            outliers.eject(now, engine, EjectionCause.PEER_PROBE_FAILED);
        }
        prober.probeEnded(now, engine);
    }
}
