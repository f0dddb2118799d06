// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Detects engines that fail, ejects them and reinstates them; a query that may be repeated probes
 * an ejected engine now and then.
 */
final class OutlierDetector {
    /** Failures in a row that eject an engine. */
    static final int EJECTION_SCORE = 3;

    /** Weight of a broken connection among the failures: the network breaks them, too. */
    private static final double BROKEN_CONNECTION_WEIGHT = 0.4;

    /** Largest part of the fleet ejected on suspicion: beyond that it is load. */
    private static final double MAX_SUSPECTED_SHARE = 0.34;

    /** Time between probes after ejection: queries that fail at once would draw all others. */
    private static final long PROBE_INTERVAL_MICROS = 500_000;

    private final EngineTable engines;
    private final RouterActions actions;
    private int ejectedEngines;

    OutlierDetector(EngineTable engines, RouterActions actions) {
        this.engines = engines;
        this.actions = actions;
    }

    /** Adds a failure to an engine's score and ejects the engine if that makes it an outlier. */
    void recordFailure(long now, EngineState engine, EjectionCause cause) {
        addFailure(now, engine, cause, 1);
    }

    void recordBrokenConnection(long now, EngineState engine) {
        addFailure(now, engine, EjectionCause.CONNECTION_BROKEN, BROKEN_CONNECTION_WEIGHT);
    }

    private void addFailure(long now, EngineState engine, EjectionCause cause, double weight) {
        if (engine.ejection().addFailure(weight) >= EJECTION_SCORE) {
            eject(now, engine, cause);
        }
    }

    /** Ejects an engine; on suspicion only while few are ejected, as beyond that it is load. */
    void eject(long now, EngineState engine, EjectionCause cause) {
        EjectionState state = engine.ejection();
        boolean hasNoEffect =
                cause == EjectionCause.PEER_PROBE_FAILED
                        ? !state.isEjected()
                        : state.isEjected() && state.isEjectedUntilLaterThan(now);
        if (hasNoEffect
                || !cause.isCertain() && ejectedEngines >= MAX_SUSPECTED_SHARE * engines.size()) {
            return;
        }
        ejectedEngines += state.isEjected() ? 0 : 1;
        state.eject(now);
        String engineId = Long.toHexString(engine.id());
        actions.log("engine " + engineId + " ejected: " + cause.logText());
    }

    /** Clears an engine's failure score and puts it back if it is ejected. */
    void reinstate(EngineState engine) {
        ejectedEngines -= engine.ejection().isEjected() ? 1 : 0;
        engine.ejection().reinstate();
    }

    /** Takes in that an attempt starts on an engine, which makes it a probe if it is ejected. */
    void recordAttempt(long now, EngineState engine) {
        engine.ejection().postponeProbe(now + PROBE_INTERVAL_MICROS);
        engine.ejection().setProbeOwed(false);
    }

    /** Takes in an answer to an attempt sent at that time; an earlier ejection outlasts it. */
    void recordSuccess(EngineState engine, long sentAt) {
        if (!engine.ejection().isEjectedUntilLaterThan(sentAt)) {
            reinstate(engine);
        }
    }
}
