// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

/**
 * For how long nothing was heard that only a quorum can bring about; pure, one thread, monotonic
 * nanoseconds.
 */
final class QuorumMonitor {
    private long lastNanos;

    QuorumMonitor(long nowNanos) {
        lastNanos = nowNanos;
    }

    /** There was a quorum at that moment or after it. */
    void onQuorumContact(long atNanos) {
        if (atNanos - lastNanos > 0) {
            lastNanos = atNanos;
        }
    }

    /** 0 while it is not longer than {@code limitNanos}, which is normal between two signs. */
    long missingMillis(long nowNanos, long limitNanos) {
        long silent = nowNanos - lastNanos;
        return silent > limitNanos ? silent / 1_000_000 : 0;
    }
}
