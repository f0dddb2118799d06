// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Detects failing engines, ejects them and reinstates them. Idempotent queries serve as occasional
 * probes of ejected engines.
 */
final class OutlierDetector {
    /** Consecutive failures after which an engine is ejected. */
    static final int EJECTION_SCORE = 3;

    /**
     * Weight of a broken connection as a failure; below 1 because network faults break connections,
     * too.
     */
    private static final double BROKEN_CONNECTION_WEIGHT = 0.4;

    /**
     * Maximum share of the fleet that is ejected on suspicion; more suspected engines indicate
     * overload rather than faults.
     */
    private static final double MAX_SUSPECTED_SHARE = 0.34;

    /**
     * Minimum time between probes of an ejected engine. An engine that fails immediately would
     * otherwise attract all queries as probes.
     */
    private static final long PROBE_INTERVAL_MICROS = 500_000;

    private final EngineTable engines;
    private final RouterActions actions;
    private int ejectedEngines;

    OutlierDetector(EngineTable engines, RouterActions actions) {
        this.engines = engines;
        this.actions = actions;
    }

    /**
     * Adds a failure to an engine's score and ejects the engine if the score reaches the threshold.
     */
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

    /**
     * Ejects an engine. On suspicion, it is ejected only while few engines are ejected, because
     * many suspected engines indicate overload.
     */
    void eject(long now, EngineState engine, EjectionCause cause) {
        EjectionState state = engine.ejection();
        boolean hasNoEffect =
                cause == EjectionCause.PEER_PROBE_FAILED
                        ? !state.isEjected()
                        : state.isEjected() && state.isBeforeEjectionEnd(now);
        if (hasNoEffect
                || !cause.isCertain() && ejectedEngines >= MAX_SUSPECTED_SHARE * engines.size()) {
            return;
        }
        ejectedEngines += state.isEjected() ? 0 : 1;
        state.eject(now);
        String engineId = Long.toHexString(engine.id());
        actions.log("engine " + engineId + " ejected: " + cause.logText());
    }

    /** Resets the failure score of an engine and ends its ejection. */
    void reinstate(EngineState engine) {
        ejectedEngines -= engine.ejection().isEjected() ? 1 : 0;
        engine.ejection().reinstate();
    }

    /** Records the start of an attempt, which is a probe if the engine is ejected. */
    void recordAttempt(long now, EngineState engine) {
        engine.ejection().postponeProbe(now + PROBE_INTERVAL_MICROS);
        engine.ejection().setProbeRequested(false);
    }

    /**
     * Records an answer to an attempt sent at the given time. The engine stays ejected if the
     * attempt was sent before the ejection time ended.
     */
    void recordSuccess(EngineState engine, long sentAt) {
        if (!engine.ejection().isBeforeEjectionEnd(sentAt)) {
            reinstate(engine);
        }
    }
}
