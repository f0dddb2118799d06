// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Holds the failure score of one engine and whether it is ejected; see {@link OutlierDetector}. */
final class EjectionState {
    /** Time until the first probe after an ejection; doubled at each ejection that follows. */
    private static final long INITIAL_EJECTION_MICROS = 1_000_000;

    /** Shorter than most faults last, so that a recovery is noticed. */
    private static final long MAX_EJECTION_MICROS = 8_000_000;

    private double failureScore;
    private boolean ejected;
    private boolean probeOwed;
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
     * Clears the score and the ejection; a result of an attempt from before it stays without
     * effect.
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

    boolean isEjectedUntilLaterThan(long time) {
        return time < ejectedUntil;
    }

    /** Returns whether the engine is ejected and one query may find out how it fares. */
    boolean isProbeDue(long now) {
        return ejected && now >= Math.max(ejectedUntil, nextProbeAt);
    }

    /** Keeps probes after ejection from following each other at once. */
    void postponeProbe(long until) {
        nextProbeAt = until;
    }

    /** Returns whether the engine is to be sent a query soon, though no table group prefers it. */
    boolean isProbeOwed() {
        return probeOwed;
    }

    void setProbeOwed(boolean owed) {
        probeOwed = owed;
    }
}
