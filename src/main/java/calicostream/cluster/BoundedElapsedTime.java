// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

/**
 * Elapsed time with an upper bound per update, as a leader may safely count it against others. Of
 * the time between two calls of {@link #advance} at most one update period is counted. So neither a
 * clock that jumps ahead nor a pause of this process makes anything expire early; a late call only
 * makes things last longer. Pure; used by one thread; nanoseconds.
 */
public final class BoundedElapsedTime {
    private final long maxStepNanos;
    private long elapsedNanos;
    private long lastNanos;
    private boolean started;

    /**
     * Starts at zero.
     *
     * @param updatePeriodNanos the least time between two regular calls of {@link #advance}
     */
    public BoundedElapsedTime(long updatePeriodNanos) {
        this.maxStepNanos = updatePeriodNanos;
    }

    /**
     * Counts the time since the last call, up to one period.
     *
     * @param nowNanos of a monotonic clock; a time before the last one counts as no time
     * @return the bounded elapsed time; only differences are meaningful, and it never decreases
     */
    public long advance(long nowNanos) {
        if (started) {
            elapsedNanos += Math.max(0, Math.min(maxStepNanos, nowNanos - lastNanos));
        }
        started = true;
        lastNanos = nowNanos;
        return elapsedNanos;
    }
}
