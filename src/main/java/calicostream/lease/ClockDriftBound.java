// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

/**
 * The maximum rate by which a process's monotonic clock may run slower or faster than real time.
 * Immutable. The holder and the leader each apply it to their own clock, so that in real time a
 * lease expires at the holder before it expires at the leader.
 *
 * @param partsPerMillion the bound; NTP limits its own frequency correction to 500 ppm
 */
public record ClockDriftBound(int partsPerMillion) {
    private static final long MILLION = 1_000_000;

    /** The bound that every process assumes; it is not configurable. */
    public static final ClockDriftBound STANDARD = new ClockDriftBound(500);

    /**
     * @throws IllegalArgumentException if the bound is negative or a million or more
     */
    public ClockDriftBound {
        if (partsPerMillion < 0 || partsPerMillion >= MILLION) {
            throw new IllegalArgumentException(
                    "clock drift bound of " + partsPerMillion + " ppm is out of range");
        }
    }

    /**
     * The duration on a local clock that ends no later than {@code nanos} of real time, even if the
     * clock runs as slow as the bound allows. Rounded down.
     */
    public long minLocalNanos(long nanos) {
        return nanos - driftNanos(nanos);
    }

    /**
     * The duration on a local clock that ends no earlier than {@code nanos} of real time, even if
     * the clock runs as fast as the bound allows. Rounded up.
     */
    public long maxLocalNanos(long nanos) {
        return nanos + driftNanos(nanos);
    }

    /**
     * The drift over a duration, rounded up. Computed in two parts, as {@code nanos *
     * partsPerMillion} may overflow.
     */
    private long driftNanos(long nanos) {
        long wholeMillionsNanos = nanos / MILLION * partsPerMillion;
        long remainderNanos = (nanos % MILLION * partsPerMillion + MILLION - 1) / MILLION;
        return wholeMillionsNanos + remainderNanos;
    }
}
