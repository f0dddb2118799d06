// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.state;

import java.util.ArrayList;
import java.util.List;

/**
 * The progress of a long-running query that its client polls. A poll waits until the query has a
 * newer version than the caller has seen.
 *
 * @param <W> the waiting caller
 * @param <V> the outcome of the query
 */
public final class QueryPoll<W, V> {
    private record Waiter<W>(W caller, long seenVersion) {}

    private final List<Waiter<W>> waiters = new ArrayList<>();
    private final int maxWaiters;
    private double fractionDone;
    private long version;
    private V outcome;

    /** Creates the state of a running query with a limit on concurrent waiters. */
    public QueryPoll(int maxWaiters) {
        this.maxWaiters = maxWaiters;
    }

    /**
     * Registers a waiter; false if a newer version exists already or the waiter limit is reached.
     */
    public boolean await(W caller, long seenVersion) {
        if (outcome != null || version > seenVersion || waiters.size() >= maxWaiters) {
            return false;
        }
        waiters.add(new Waiter<>(caller, seenVersion));
        return true;
    }

    /**
     * Records the completed fraction, from 0 to 1, and returns the waiters to notify. Values that
     * are out of range or do not increase are ignored.
     */
    public List<W> progressed(double fraction) {
        if (outcome != null || !(fraction > fractionDone) || fraction > 1) {
            return List.of();
        }
        fractionDone = fraction;
        version++;
        return wake();
    }

    /** Records the outcome of the query and returns the waiters to notify. */
    public List<W> ended(V finalOutcome) {
        if (outcome != null) {
            return List.of();
        }
        outcome = finalOutcome;
        version++;
        return wake();
    }

    private List<W> wake() {
        List<W> out = waiters.stream().map(Waiter::caller).toList();
        waiters.clear();
        return out;
    }

    /** Removes a waiter. */
    public void callerGone(W caller) {
        waiters.removeIf(each -> each.caller.equals(caller));
    }

    /** The completed fraction, from 0 to 1. */
    public double fractionDone() {
        return outcome != null ? 1 : fractionDone;
    }

    /** The version, which increases with each change. */
    public long version() {
        return version;
    }

    /** The outcome, or null while the query runs. */
    public V outcome() {
        return outcome;
    }

    /** The number of waiters. */
    public int waiters() {
        return waiters.size();
    }
}
