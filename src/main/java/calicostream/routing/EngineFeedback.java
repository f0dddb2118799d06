// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Learns from ended attempts and load probes: about engines' health and load, and about classes.
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

    /** Takes in the load report that came with the end of an attempt. */
    void recordReport(long now, EngineState engine, LoadReport report) {
        capacity.recordReport(now, engine, report);
    }

    /**
     * Takes in the result of an attempt. An error may be the query's own: it counts as the engine's
     * failure once another engine has answered the same query.
     */
    void recordResult(long now, QueryState query, EngineState engine, AttemptResult result) {
        switch (result.outcome()) {
            case CONNECT_FAILED -> recordDown(now, engine, EjectionCause.CONNECT_FAILED);
            case RESET -> recordDown(now, engine, EjectionCause.RESET);
            case CONNECTION_BROKEN -> outliers.recordBrokenConnection(now, engine);
            case TIMEOUT -> recordTimeout(now, engine);
            case ERROR -> query.recordError(engine);
            case OVERLOADED -> capacity.recordRejection(now, engine);
            case OK -> recordAnswer(now, query, engine, result);
            case CANCELLED, NOT_STARTED -> {
                // Says nothing of the engine.
            }
            default -> throw new IllegalArgumentException(result.outcome().toString());
        }
    }

    private void recordDown(long now, EngineState engine, EjectionCause cause) {
        // It may come back before the endpoint list names its start.
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

    /** Takes in the end of a load probe; {@code report} is null if none came. */
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
