// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

/**
 * The greatest rate by which a process's monotonic clock may differ from real time, either way.
 * Immutable. The holder and the leader each apply it to their own clock, so that the holder's span
 * is over in real time before the leader's is.
 *
 * @param partsPerMillion the bound; clock discipline (NTP) itself keeps to 500
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
            throw new IllegalArgumentException("drift of " + partsPerMillion + " ppm");
        }
    }

    /**
     * The span to measure on a local clock so that it ends no later than {@code nanos} of real time
     * do, however slow the clock runs. Rounded down.
     */
    public long shortestSpan(long nanos) {
        return nanos - drift(nanos);
    }

    /**
     * The span to measure on a local clock so that it ends no earlier than {@code nanos} of real
     * time do, however fast the clock runs. Rounded up.
     */
    public long longestSpan(long nanos) {
        return nanos + drift(nanos);
    }

    /** Split in two products, as {@code nanos * partsPerMillion} may overflow. */
    private long drift(long nanos) {
        long ofWholeMillions = nanos / MILLION * partsPerMillion;
        long ofRemainder = (nanos % MILLION * partsPerMillion + MILLION - 1) / MILLION;
        return ofWholeMillions + ofRemainder;
    }
}
