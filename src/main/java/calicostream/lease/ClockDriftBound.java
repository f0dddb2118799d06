// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

/**
 * How far a process's monotonic clock may run from real time, either way. Immutable. Both ends of a
 * lease apply it, each to its own clock, so that the holder's span has ended in real time before
 * the leader's has.
 *
 * @param ppm parts of a million; 500 is the bound that clock discipline itself keeps to
 */
public record ClockDriftBound(int ppm) {
    private static final long MILLION = 1_000_000;

    /** What every process of the product counts with; nobody can set it lower. */
    public static final ClockDriftBound BOUND = new ClockDriftBound(500);

    public ClockDriftBound {
        if (ppm < 0 || ppm >= MILLION) {
            throw new IllegalArgumentException("drift of " + ppm + " ppm");
        }
    }

    /**
     * The span of one's own clock that is over in real time before {@code nanos} are, however slow
     * that clock runs.
     */
    public long within(long nanos) {
        return nanos - part(nanos);
    }

    /**
     * The span of one's own clock after which {@code nanos} of real time are over, however fast
     * that clock runs.
     */
    public long beyond(long nanos) {
        return nanos + part(nanos);
    }

    private long part(long nanos) {
        return nanos / MILLION * ppm + (nanos % MILLION * ppm + MILLION - 1) / MILLION;
    }
}
