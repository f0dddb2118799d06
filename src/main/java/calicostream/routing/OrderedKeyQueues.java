// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.HashMap;
import java.util.Map;

/** Keeps queries of one key in order where their class asks for it, one at a time. */
final class OrderedKeyQueues {
    private final ProtectionRules rules;
    private final Map<Long, OrderedKeyQueue> queues = new HashMap<>();
    private long startupQuietUntil;

    OrderedKeyQueues(ProtectionRules rules) {
        this.rules = rules;
    }

    /** Waits out what an earlier process of this gateway may have left running. */
    void start(long now) {
        startupQuietUntil = now + rules.keyQuietPeriodUs();
    }

    /** Returns the queue for a query, or null if it need not keep an order. */
    OrderedKeyQueue find(Query query, QueryClass queryClass) {
        if (!queryClass.orderedByKey() || query.key() == 0) {
            return null;
        }
        return queues.computeIfAbsent(query.key(), key -> new OrderedKeyQueue());
    }

    /** Returns whether all earlier queries of the query's key have settled. */
    boolean mayStart(long now, QueryState query) {
        OrderedKeyQueue queue = query.keyQueue();
        return queue == null
                || queue.isFirst(query) && queue.isSettled(now) && now >= startupQuietUntil;
    }

    /** Takes in the end of a query's attempt. */
    void attemptEnded(long now, QueryState query, AttemptOutcome outcome) {
        OrderedKeyQueue queue = query.keyQueue();
        if (queue == null) {
            return;
        }
        if (mayStillRun(outcome)) {
            queue.stayQuiet(now + rules.keyQuietPeriodUs());
        }
        if (query.isDone()) {
            queue.answeredAttemptEnded();
        }
    }

    private static boolean mayStillRun(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.TIMEOUT
                || outcome == AttemptOutcome.RESET
                || outcome == AttemptOutcome.CONNECTION_BROKEN
                || outcome == AttemptOutcome.CANCELLED;
    }

    /** Forgets keys of which nothing is in flight: clients may name any number of them. */
    void removeIdle(long now) {
        queues.values().removeIf(queue -> queue.isIdle(now));
    }
}
