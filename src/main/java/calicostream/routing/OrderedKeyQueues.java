// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Serializes queries with the same ordered key in the order accepted, for classes that require it.
 */
final class OrderedKeyQueues {
    private final ProtectionRules rules;
    private final Map<Long, OrderedKeyQueue> queues = new HashMap<>();
    private long startupQuietUntil;

    OrderedKeyQueues(ProtectionRules rules) {
        this.rules = rules;
    }

    /**
     * Starts a quiet period, because an earlier process of this gateway may have left attempts
     * running.
     */
    void start(long now) {
        startupQuietUntil = now + rules.keyQuietPeriodUs();
    }

    /** Returns the queue for a query, or null if the query has no ordered key. */
    OrderedKeyQueue find(Query query, QueryClass queryClass) {
        if (!queryClass.orderedByKey() || query.key() == 0) {
            return null;
        }
        return queues.computeIfAbsent(query.key(), key -> new OrderedKeyQueue());
    }

    /** Returns whether no earlier query of the same ordered key is open or may still be running. */
    boolean mayStart(long now, QueryState query) {
        OrderedKeyQueue queue = query.keyQueue();
        return queue == null
                || queue.isFirst(query) && queue.isSettled(now) && now >= startupQuietUntil;
    }

    /** Records the end of a query's attempt. */
    void attemptEnded(long now, QueryState query, AttemptOutcome outcome) {
        OrderedKeyQueue queue = query.keyQueue();
        if (queue == null) {
            return;
        }
        if (mayStillRun(outcome)) {
            queue.startQuietPeriod(now + rules.keyQuietPeriodUs());
        }
        if (query.isClosed()) {
            queue.closedQueryAttemptEnded();
        }
    }

    private static boolean mayStillRun(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.TIMEOUT
                || outcome == AttemptOutcome.RESET
                || outcome == AttemptOutcome.CONNECTION_BROKEN
                || outcome == AttemptOutcome.CANCELLED;
    }

    /** Removes idle keys; clients may use any number of keys. */
    void removeIdle(long now) {
        queues.values().removeIf(queue -> queue.isIdle(now));
    }
}
