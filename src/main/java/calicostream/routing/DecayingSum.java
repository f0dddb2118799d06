// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Sums amounts whose weight decays exponentially with their age. */
final class DecayingSum {
    /**
     * Time in which an amount decays to a third (1/e). Gateways with few queries need a period this
     * long for a usable average.
     */
    static final double DECAY_MICROS = 20_000_000;

    private double sum;
    private double updatedAt;

    /** Adds an amount and returns the sum as of now. */
    double add(long now, double amount) {
        sum = sum * Math.exp((updatedAt - now) / DECAY_MICROS) + amount;
        updatedAt = now;
        return sum;
    }

    /** Returns the sum as of now. */
    double get(long now) {
        return add(now, 0);
    }
}
