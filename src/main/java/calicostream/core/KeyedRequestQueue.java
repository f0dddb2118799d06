// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Requests of keys that another process of this front end has in hand, in the order taken. What is
 * let through here is kept in order by the decision module; a key goes back once nothing of it is
 * left and it has rested.
 */
final class KeyedRequestQueue<R> {
    static final long LOOK = 5_000; // us between looks at a key that another process has

    private static final class Line<R> {
        final ArrayDeque<R> waiting = new ArrayDeque<>();
        int here;
        long restUntil;
        boolean watched, resting;
    }

    private final Clock clock;
    private final Deadlines deadlines;
    private final long restUs;
    private final Consumer<R> through;
    private final Map<Long, Line<R>> lines = new HashMap<>();
    private final Deadlines.Target look = this::look;
    private final Deadlines.Target rested = this::rested;
    private KeyOwnership turns = KeyOwnership.ALONE;
    private int others;
    private long lostAt = Long.MIN_VALUE / 2;

    KeyedRequestQueue(Clock clock, Deadlines deadlines, long restUs, Consumer<R> through) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.restUs = restUs;
        this.through = through;
    }

    void attach(KeyOwnership to) {
        turns = to;
    }

    /** Lets the request through, now or when its turn has come. */
    void add(long key, R request) {
        Line<R> line = lines.computeIfAbsent(key, k -> new Line<>());
        line.waiting.add(request);
        if (line.waiting.size() == 1) {
            advance(clock.now(), key, line);
        }
    }

    private void advance(long now, long key, Line<R> line) {
        while (!line.waiting.isEmpty() && mayTake(now, key, line)) {
            line.here++;
            through.accept(line.waiting.poll());
        }
        if (!line.waiting.isEmpty() && !line.watched) {
            line.watched = true;
            deadlines.add(now + LOOK, look, key);
        }
    }

    private boolean mayTake(long now, long key, Line<R> line) {
        countOthers(now);
        boolean heldHere = line.here > 0 || line.resting;
        return (heldHere || now - lostAt >= restUs) && turns.tryAcquire(key);
    }

    /**
     * A process that ends gives its keys back at once, also one that ought to rest: none is taken
     * over until it has.
     */
    void countOthers(long now) {
        int living = turns.otherProcesses();
        lostAt = living < others ? now : lostAt;
        others = living;
    }

    private void look(long now, long key) {
        Line<R> line = lines.get(key);
        if (line != null) {
            line.watched = false;
            advance(now, key, line);
            forget(key, line);
        }
    }

    /** It is answered and nothing of it is out: it leaves the line, or what runs. */
    void left(long key, R request) {
        Line<R> line = lines.get(key);
        if (line != null && !line.waiting.remove(request) && --line.here == 0) {
            line.restUntil = clock.now() + restUs;
            rest(key, line);
        }
    }

    private void rest(long key, Line<R> line) {
        if (!line.resting) {
            line.resting = true;
            deadlines.add(line.restUntil, rested, key);
        }
    }

    /** One that came meanwhile starts the rest anew when it leaves. */
    private void rested(long now, long key) {
        Line<R> line = lines.get(key);
        line.resting = false;
        if (line.here == 0 && now < line.restUntil) {
            rest(key, line);
        } else if (line.here == 0) {
            turns.release(key);
            advance(now, key, line);
            forget(key, line);
        }
    }

    private void forget(long key, Line<R> line) {
        if (line.here == 0 && line.waiting.isEmpty() && !line.resting && !line.watched) {
            lines.remove(key);
        }
    }

    /** Keys that something is kept for. */
    int kept() {
        return lines.size();
    }
}
