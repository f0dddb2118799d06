// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.state;

import java.util.ArrayList;
import java.util.List;

/**
 * A long query that its client asks for again and again: how far it is, and who waits to hear more.
 * A call waits until there is news that it has not heard. {@code W} is who waits, {@code V} what
 * the query ended with.
 */
public final class QueryPoll<W, V> {
    private record Waiter<W>(W caller, long seenVersion) {}

    private final List<Waiter<W>> waiters = new ArrayList<>();
    private final int maxWaiters;
    private double fractionDone;
    private long version;
    private V outcome;

    public QueryPoll(int most) {
        this.maxWaiters = most;
    }

    /** Waits for news beyond what was heard; false: there is some now, or too many wait. */
    public boolean await(W who, long heard) {
        if (outcome != null || version > heard || waiters.size() >= maxWaiters) {
            return false;
        }
        waiters.add(new Waiter<>(who, heard));
        return true;
    }

    /**
     * The engine tells a share done, from 0 to 1; who waits is to be told. What goes back, or is no
     * share, is no news.
     */
    public List<W> progressed(double to) {
        if (outcome != null || !(to > fractionDone) || to > 1) {
            return List.of();
        }
        fractionDone = to;
        version++;
        return wake();
    }

    /** The query ended, whichever way. */
    public List<W> ended(V with) {
        if (outcome != null) {
            return List.of();
        }
        outcome = with;
        version++;
        return wake();
    }

    private List<W> wake() {
        List<W> out = waiters.stream().map(Waiter::caller).toList();
        waiters.clear();
        return out;
    }

    public void callerGone(W who) {
        waiters.removeIf(each -> each.caller.equals(who));
    }

    public double fractionDone() {
        return outcome != null ? 1 : fractionDone;
    }

    public long version() {
        return version;
    }

    public V outcome() {
        return outcome;
    }

    public int waiters() {
        return waiters.size();
    }
}
