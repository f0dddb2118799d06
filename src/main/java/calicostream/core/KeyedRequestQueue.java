// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Queues requests whose ordered key is owned by another process of this front end, in the order of
 * acceptance. The router keeps dispatched requests of a key in order. A key is released when no
 * request of it runs and its quiet period has ended. Not thread-safe.
 */
final class KeyedRequestQueue<R> {
    /** The interval at which this process tries to acquire a key that another process owns. */
    static final long RETRY_INTERVAL_MICROS = 5_000;

    /** The queue and the state of one ordered key. */
    private static final class KeyState<R> {
        private final ArrayDeque<R> waiting = new ArrayDeque<>();
        private int runningCount; // dispatched requests that have not ended
        private long quietPeriodEnd;
        private boolean isRetryScheduled;
        private boolean isInQuietPeriod;
    }

    private final Clock clock;
    private final Deadlines deadlines;
    private final long quietPeriodMicros;
    private final Consumer<R> dispatcher;
    private final Map<Long, KeyState<R>> keys = new HashMap<>();
    private final Deadlines.Callback retryCallback = this::onRetry;
    private final Deadlines.Callback quietPeriodCallback = this::onQuietPeriodEnd;
    private KeyOwnership ownership = KeyOwnership.ALONE;
    private int otherProcesses;

    /** When another process last ended. Half the minimum, as subtracting the minimum overflows. */
    private long processEndedAt = Long.MIN_VALUE / 2;

    /**
     * Creates an empty queue.
     *
     * @param dispatcher gets each request that may run here
     */
    KeyedRequestQueue(
            Clock clock, Deadlines deadlines, long quietPeriodMicros, Consumer<R> dispatcher) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.quietPeriodMicros = quietPeriodMicros;
        this.dispatcher = dispatcher;
    }

    /** Sets the source of key ownership; called before the first request. */
    void attach(KeyOwnership keyOwnership) {
        ownership = keyOwnership;
    }

    /** Dispatches the request, now or as soon as this process owns its key. */
    void add(long key, R request) {
        KeyState<R> state = keys.computeIfAbsent(key, k -> new KeyState<>());
        state.waiting.add(request);
        if (state.waiting.size() == 1) {
            dispatchWaiting(clock.now(), key, state);
        }
    }

    private void dispatchWaiting(long now, long key, KeyState<R> state) {
        while (!state.waiting.isEmpty() && canDispatch(now, key, state)) {
            state.runningCount++;
            dispatcher.accept(state.waiting.poll());
        }
        if (!state.waiting.isEmpty() && !state.isRetryScheduled) {
            state.isRetryScheduled = true;
            deadlines.add(now + RETRY_INTERVAL_MICROS, retryCallback, key);
        }
    }

    private boolean canDispatch(long now, long key, KeyState<R> state) {
        updateOtherProcesses(now);
        boolean isOwnedHere = state.runningCount > 0 || state.isInQuietPeriod;
        return (isOwnedHere || now - processEndedAt >= quietPeriodMicros)
                && ownership.tryAcquire(key);
    }

    /**
     * Updates the number of other processes. A process that ends releases its keys immediately,
     * even during their quiet period; therefore no new key is acquired until one quiet period has
     * passed.
     */
    void updateOtherProcesses(long now) {
        int liveProcesses = ownership.otherProcesses();
        if (liveProcesses < otherProcesses) {
            processEndedAt = now;
        }
        otherProcesses = liveProcesses;
    }

    private void onRetry(long now, long key) {
        KeyState<R> state = keys.get(key);
        if (state != null) {
            state.isRetryScheduled = false;
            dispatchWaiting(now, key, state);
            removeIfUnused(key, state);
        }
    }

    /**
     * Handles the end of a request, which may have been dispatched or not. It is answered, and no
     * attempt of it is in flight.
     */
    void requestEnded(long key, R request) {
        KeyState<R> state = keys.get(key);
        if (state == null || state.waiting.remove(request)) {
            return;
        }
        state.runningCount--;
        if (state.runningCount == 0) {
            state.quietPeriodEnd = clock.now() + quietPeriodMicros;
            startQuietPeriod(key, state);
        }
    }

    private void startQuietPeriod(long key, KeyState<R> state) {
        if (!state.isInQuietPeriod) {
            state.isInQuietPeriod = true;
            deadlines.add(state.quietPeriodEnd, quietPeriodCallback, key);
        }
    }

    /** Releases the key unless a request that ran meanwhile has extended the quiet period. */
    private void onQuietPeriodEnd(long now, long key) {
        KeyState<R> state = keys.get(key);
        state.isInQuietPeriod = false;
        if (state.runningCount == 0 && now < state.quietPeriodEnd) {
            startQuietPeriod(key, state);
        } else if (state.runningCount == 0) {
            ownership.release(key);
            dispatchWaiting(now, key, state);
            removeIfUnused(key, state);
        }
    }

    private void removeIfUnused(long key, KeyState<R> state) {
        boolean hasPendingDeadline = state.isInQuietPeriod || state.isRetryScheduled;
        if (state.runningCount == 0 && state.waiting.isEmpty() && !hasPendingDeadline) {
            keys.remove(key);
        }
    }
}
