// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Holds the threads of other gateways on one engine, as its load reports tell. */
final class LoadEstimate {
    /** Time in which trust in a report decays to a third: that of typical runs. */
    private static final double TRUST_DECAY_MICROS = 2_500_000;

    private double otherThreads;
    private long updatedAt = Timestamps.NEVER_MICROS;

    /** Returns the trust in the last report, from 1 down to 0 as it ages. */
    double trust(long now) {
        return Math.exp((updatedAt - now) / TRUST_DECAY_MICROS);
    }

    /** Takes in threads as reported, weighed against what earlier reports are still worth. */
    void update(long now, double threads, double weight) {
        otherThreads += (threads - otherThreads) * Math.max(1 - trust(now), weight);
        updatedAt = now;
    }

    /** Makes the next report replace this estimate. */
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
