// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.LogStatus.State;

/**
 * The state machine behind {@link LogStatus}: it is told what happened and when, in nanoseconds,
 * and reads no clock. Not thread-safe; its owner guards it with a lock.
 */
final class LogHealth {
    static final int FAST_SYNCS_TO_RECOVER = 8;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long slowSyncNanos;
    private State state = State.READY;
    private long stateSinceNanos;
    private DurableException fault;
    private boolean isSyncing;
    private long syncStartNanos;
    private int fastSyncsInARow;
    private long syncs;
    private long slowSyncs;
    private long longestSyncNanos;

    LogHealth(long slowSyncNanos, long nowNanos) {
        this.slowSyncNanos = slowSyncNanos;
        this.stateSinceNanos = nowNanos;
    }

    void syncStarted(long nowNanos) {
        isSyncing = true;
        syncStartNanos = nowNanos;
    }

    /** Also called after a failed sync: its duration counts. */
    void syncEnded(long nowNanos) {
        long durationNanos = nowNanos - syncStartNanos;
        isSyncing = false;
        syncs++;
        longestSyncNanos = Math.max(longestSyncNanos, durationNanos);
        if (durationNanos > slowSyncNanos) {
            recordSlowSync(durationNanos, nowNanos);
        } else if (state == State.SLOW) {
            fastSyncsInARow++;
            if (fastSyncsInARow >= FAST_SYNCS_TO_RECOVER) {
                enter(State.READY, nowNanos);
                fault = null;
            }
        }
    }

    private void recordSlowSync(long durationNanos, long nowNanos) {
        slowSyncs++;
        fastSyncsInARow = 0;
        if (state == State.READY) {
            enter(State.SLOW, nowNanos);
        }
        if (state == State.SLOW) {
            fault = slowSync(durationNanos);
        }
    }

    /** Records a failure. The first one is kept, as those that follow from it say less. */
    void failed(DurableException failure, long nowNanos) {
        if (!acceptsWrites()) {
            return;
        }
        enter(failure.resultingState(), nowNanos);
        fault = failure;
    }

    void closed(long nowNanos) {
        enter(State.CLOSED, nowNanos);
    }

    private void enter(State next, long nowNanos) {
        state = next;
        stateSinceNanos = nowNanos;
    }

    private DurableException slowSync(long durationNanos) {
        return new DurableException.SlowSync(
                "a sync took "
                        + durationNanos / NANOS_PER_MILLI
                        + " ms, the bound is "
                        + slowSyncNanos / NANOS_PER_MILLI
                        + " ms");
    }

    boolean acceptsWrites() {
        return state == State.READY || state == State.SLOW;
    }

    State state() {
        return state;
    }

    DurableException fault() {
        return fault;
    }

    /** The status now. A running sync counts as slow once it has passed the bound. */
    LogStatus status(
            long nowNanos, long incarnation, boolean votingSuspended, long lastIndex, long bytes) {
        State shownState = state;
        long shownSinceNanos = stateSinceNanos;
        DurableException shownFault = fault;
        long shownLongestNanos = longestSyncNanos;
        long runningNanos = nowNanos - syncStartNanos;
        if (isSyncing && state == State.READY && runningNanos > slowSyncNanos) {
            shownState = State.SLOW;
            shownSinceNanos = syncStartNanos;
            shownFault = slowSync(runningNanos);
            shownLongestNanos = Math.max(longestSyncNanos, runningNanos);
        }
        return new LogStatus(
                shownState,
                shownSinceNanos,
                shownFault,
                incarnation,
                votingSuspended,
                syncs,
                slowSyncs,
                shownLongestNanos,
                lastIndex,
                bytes);
    }
}
