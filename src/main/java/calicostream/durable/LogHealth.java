// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.LogStatus.State;

/**
 * The state of a log as operators see it: a machine that takes what happened and when. It reads no
 * clock. Its caller holds the lock that makes it safe to be asked by any thread.
 */
final class LogHealth {

    static final int FAST_SYNCS_TO_RECOVER = 8;

    private final long slowNanos;
    private State state = State.READY;
    private long since;
    private DurableException fault;
    private boolean syncing;
    private long began;
    private int calm;
    private long syncs;
    private long slow;
    private long longest;

    LogHealth(long slowNanos, long now) {
        this.slowNanos = slowNanos;
        this.since = now;
    }

    void syncStarted(long now) {
        syncing = true;
        began = now;
    }

    /** Also called where the sync failed: its time counts. */
    void syncEnded(long now) {
        long took = now - began;
        syncing = false;
        syncs++;
        longest = Math.max(longest, took);
        if (took > slowNanos) {
            slow++;
            calm = 0;
            if (state == State.READY) go(State.SLOW, now);
            if (state == State.SLOW) fault = slow(took);
        } else if (state == State.SLOW && ++calm >= FAST_SYNCS_TO_RECOVER) {
            go(State.READY, now);
            fault = null;
        }
    }

    /** The first failure stays: those that follow from it say less. */
    void failed(DurableException first, long now) {
        if (state != State.READY && state != State.SLOW) return;
        go(first.state(), now);
        fault = first;
    }

    void closed(long now) {
        go(State.CLOSED, now);
    }

    private void go(State next, long now) {
        state = next;
        since = now;
    }

    private DurableException slow(long took) {
        return new DurableException.SlowSync(
                "a sync took "
                        + took / 1_000_000
                        + " ms, "
                        + slowNanos / 1_000_000
                        + " are the bound");
    }

    State state() {
        return state;
    }

    DurableException fault() {
        return fault;
    }

    /** A sync that still runs past the bound is seen as slow before it ends. */
    LogStatus status(long now, long incarnation, boolean barred, long lastIndex, long bytes) {
        if (syncing && state == State.READY && now - began > slowNanos)
            return new LogStatus(
                    State.SLOW,
                    began,
                    slow(now - began),
                    incarnation,
                    barred,
                    syncs,
                    slow,
                    Math.max(longest, now - began),
                    lastIndex,
                    bytes);
        return new LogStatus(
                state, since, fault, incarnation, barred, syncs, slow, longest, lastIndex, bytes);
    }
}
