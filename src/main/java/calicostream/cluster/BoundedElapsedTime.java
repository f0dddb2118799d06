// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

/**
 * Time as a leader may count it against others: of each span between two looks no more than the
 * looks' own period counts. Whatever a clock does between them, a jump ahead or a stop of this
 * process, nothing is taken for over that may not be; a look that comes late makes things last
 * longer. Pure, one thread; nanoseconds.
 */
public final class BoundedElapsedTime {
    private final long periodNanos;
    private long counted;
    private long lastNanos;
    private boolean started;

    /**
     * @param periodNanos that passes between two looks at least
     */
    public BoundedElapsedTime(long periodNanos) {
        this.periodNanos = periodNanos;
    }

    /**
     * The time that is counted at a look; differences alone mean something, and it never goes back.
     */
    public long advance(long nowNanos) {
        counted += started ? Math.max(0, Math.min(periodNanos, nowNanos - lastNanos)) : 0;
        started = true;
        lastNanos = nowNanos;
        return counted;
    }
}
