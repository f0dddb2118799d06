// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Queues requests whose key another process of this front end owns, in the order accepted. The
 * router keeps those in order that pass; a key is released once no request of it is left and its
 * quiet period is over. One thread.
 */
final class KeyedRequestQueue<R> {
    /** Time between two attempts to acquire a key that another process owns. */
    static final long RETRY_INTERVAL_MICROS = 5_000;

    /** The requests of one key. */
    private static final class KeyState<R> {
        private final ArrayDeque<R> waiting = new ArrayDeque<>();
        private int running; // requests that have passed and not ended
        private long quietUntil;
        private boolean isRetryScheduled;
        private boolean isQuiet;
    }

    private final Clock clock;
    private final Deadlines deadlines;
    private final long quietPeriodMicros;
    private final Consumer<R> next;
    private final Map<Long, KeyState<R>> keys = new HashMap<>();
    private final Deadlines.Target retry = this::retry;
    private final Deadlines.Target quietPeriodEnded = this::quietPeriodEnded;
    private KeyOwnership ownership = KeyOwnership.ALONE;
    private int otherProcesses;
    private long processLostAt = Long.MIN_VALUE / 2;

    /**
     * An empty queue.
     *
     * @param next gets each request that may run here
     */
    KeyedRequestQueue(Clock clock, Deadlines deadlines, long quietPeriodMicros, Consumer<R> next) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.quietPeriodMicros = quietPeriodMicros;
        this.next = next;
    }

    /** Sets who says which process owns a key; before the first request. */
    void attach(KeyOwnership keyOwnership) {
        ownership = keyOwnership;
    }

    /** Lets the request pass, now or when this process owns its key. */
    void add(long key, R request) {
        KeyState<R> state = keys.computeIfAbsent(key, k -> new KeyState<>());
        state.waiting.add(request);
        if (state.waiting.size() == 1) {
            advance(clock.now(), key, state);
        }
    }

    private void advance(long now, long key, KeyState<R> state) {
        while (!state.waiting.isEmpty() && mayRun(now, key, state)) {
            state.running++;
            next.accept(state.waiting.poll());
        }
        if (!state.waiting.isEmpty() && !state.isRetryScheduled) {
            state.isRetryScheduled = true;
            deadlines.add(now + RETRY_INTERVAL_MICROS, retry, key);
        }
    }

    private boolean mayRun(long now, long key, KeyState<R> state) {
        countOtherProcesses(now);
        boolean isOwned = state.running > 0 || state.isQuiet;
        return (isOwned || now - processLostAt >= quietPeriodMicros) && ownership.tryAcquire(key);
    }

    /**
     * Counts the other processes. One that ends releases its keys at once, also those in their
     * quiet period: no key is acquired until that would be over.
     */
    void countOtherProcesses(long now) {
        int alive = ownership.otherProcesses();
        if (alive < otherProcesses) {
            processLostAt = now;
        }
        otherProcesses = alive;
    }

    private void retry(long now, long key) {
        KeyState<R> state = keys.get(key);
        if (state != null) {
            state.isRetryScheduled = false;
            advance(now, key, state);
            forgetIfUnused(key, state);
        }
    }

    /** The request is answered and no attempt of it is in flight, whether it has passed or not. */
    void requestEnded(long key, R request) {
        KeyState<R> state = keys.get(key);
        if (state == null || state.waiting.remove(request)) {
            return;
        }
        state.running--;
        if (state.running == 0) {
            state.quietUntil = clock.now() + quietPeriodMicros;
            beginQuietPeriod(key, state);
        }
    }

    private void beginQuietPeriod(long key, KeyState<R> state) {
        if (!state.isQuiet) {
            state.isQuiet = true;
            deadlines.add(state.quietUntil, quietPeriodEnded, key);
        }
    }

    /** A request that ran meanwhile has prolonged the quiet period. */
    private void quietPeriodEnded(long now, long key) {
        KeyState<R> state = keys.get(key);
        state.isQuiet = false;
        if (state.running == 0 && now < state.quietUntil) {
            beginQuietPeriod(key, state);
        } else if (state.running == 0) {
            ownership.release(key);
            advance(now, key, state);
            forgetIfUnused(key, state);
        }
    }

    private void forgetIfUnused(long key, KeyState<R> state) {
        boolean isScheduled = state.isQuiet || state.isRetryScheduled;
        if (state.running == 0 && state.waiting.isEmpty() && !isScheduled) {
            keys.remove(key);
        }
    }
}
