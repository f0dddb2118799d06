// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Holds the threads that other gateways use on one engine, estimated from its load reports. */
final class LoadEstimate {
    /**
     * Time in which the confidence in a report decays to a third (1/e), about a typical run time.
     */
    private static final double CONFIDENCE_DECAY_MICROS = 2_500_000;

    private double otherThreads;
    private long updatedAt = Timestamps.NEVER_MICROS;

    /** Returns the confidence in the last report, which falls from 1 to 0 as the report ages. */
    double confidence(long now) {
        return Math.exp((updatedAt - now) / CONFIDENCE_DECAY_MICROS);
    }

    /**
     * Records reported threads with the given weight, or a higher one if the previous report is
     * old.
     */
    void update(long now, double threads, double weight) {
        otherThreads += (threads - otherThreads) * Math.max(1 - confidence(now), weight);
        updatedAt = now;
    }

    /** Discards the estimate; the next report replaces it. */
    void discard() {
        updatedAt = Timestamps.NEVER_MICROS;
    }

    double otherThreads() {
        return otherThreads;
    }

    long updatedAt() {
        return updatedAt;
    }
}
