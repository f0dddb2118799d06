// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.state;

import java.util.ArrayList;
import java.util.List;

/**
 * A long query that its client asks for again and again: how far it is, and who waits to hear more.
 * A call waits until there is news that it has not heard. {@code W} is who waits, {@code V} what
 * the query ended with.
 */
public final class Progress<W, V> {
    private record Waits<W>(W who, long heard) {}

    private final List<Waits<W>> waiting = new ArrayList<>();
    private final int most;
    private double share;
    private long news;
    private V end;

    public Progress(int most) {
        this.most = most;
    }

    /** Waits for news beyond what was heard; false: there is some now, or too many wait. */
    public boolean await(W who, long heard) {
        if (end != null || news > heard || waiting.size() >= most) {
            return false;
        }
        waiting.add(new Waits<>(who, heard));
        return true;
    }

    /**
     * The engine tells a share done, from 0 to 1; who waits is to be told. What goes back, or is no
     * share, is no news.
     */
    public List<W> advanced(double to) {
        if (end != null || !(to > share) || to > 1) {
            return List.of();
        }
        share = to;
        news++;
        return wake();
    }

    /** The query ended, whichever way. */
    public List<W> ended(V with) {
        if (end != null) {
            return List.of();
        }
        end = with;
        news++;
        return wake();
    }

    private List<W> wake() {
        List<W> out = waiting.stream().map(Waits::who).toList();
        waiting.clear();
        return out;
    }

    public void left(W who) {
        waiting.removeIf(each -> each.who.equals(who));
    }

    public double share() {
        return end != null ? 1 : share;
    }

    public long news() {
        return news;
    }

    public V end() {
        return end;
    }

    public int waiting() {
        return waiting.size();
    }
}
