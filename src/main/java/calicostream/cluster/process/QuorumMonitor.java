// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

/**
 * Measures for how long nothing was heard that needs a quorum. Pure, one thread, monotonic
 * nanoseconds, of which only differences count.
 */
final class QuorumMonitor {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private long lastContactNanos;

    QuorumMonitor(long nowNanos) {
        lastContactNanos = nowNanos;
    }

    /** There was a quorum at that moment or after it; an earlier moment changes nothing. */
    void onQuorumContact(long atNanos) {
        if (atNanos - lastContactNanos > 0) {
            lastContactNanos = atNanos;
        }
    }

    /** For how long there was no sign; 0 up to the limit, which is normal between two signs. */
    long missingMillis(long nowNanos, long limitNanos) {
        long silentNanos = nowNanos - lastContactNanos;
        return silentNanos > limitNanos ? silentNanos / NANOS_PER_MILLI : 0;
    }
}
