// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Holds the failure score of one engine and whether it is ejected; see {@link OutlierDetector}. */
final class EjectionState {
    /** Time from the first ejection to the first probe; doubled at each following ejection. */
    private static final long INITIAL_EJECTION_MICROS = 1_000_000;

    /** Maximum ejection time; shorter than most faults, so that a recovery is detected soon. */
    private static final long MAX_EJECTION_MICROS = 8_000_000;

    private double failureScore;
    private boolean ejected;
    private boolean probeRequested;
    private long ejectedUntil;
    private long nextProbeAt;
    private long nextEjectionMicros = INITIAL_EJECTION_MICROS;

    double addFailure(double weight) {
        failureScore += weight;
        return failureScore;
    }

    void eject(long now) {
        ejectedUntil = now + nextEjectionMicros;
        nextEjectionMicros = Math.min(MAX_EJECTION_MICROS, nextEjectionMicros * 2);
        ejected = true;
    }

    /**
     * Resets the failure score and ends the ejection. The time of its end is kept, so that
     * successes of attempts sent before it are still ignored.
     */
    void reinstate() {
        failureScore = 0;
        ejected = false;
        nextEjectionMicros = INITIAL_EJECTION_MICROS;
    }

    double failureScore() {
        return failureScore;
    }

    boolean isEjected() {
        return ejected;
    }

    boolean isBeforeEjectionEnd(long time) {
        return time < ejectedUntil;
    }

    /** Returns whether the engine is ejected and one query may be sent to it as a probe. */
    boolean isProbeDue(long now) {
        return ejected && now >= Math.max(ejectedUntil, nextProbeAt);
    }

    /** Prevents the next probe of an ejected engine before the given time. */
    void postponeProbe(long until) {
        nextProbeAt = until;
    }

    /**
     * Returns whether the next suitable query should be sent to the engine, even if no table group
     * prefers it.
     */
    boolean isProbeRequested() {
        return probeRequested;
    }

    void setProbeRequested(boolean requested) {
        probeRequested = requested;
    }
}
