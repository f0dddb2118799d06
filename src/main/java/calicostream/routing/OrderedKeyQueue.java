// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.ArrayDeque;

/**
 * Holds the queries of one key in the order accepted, and what must settle before the next starts.
 */
final class OrderedKeyQueue {
    private final ArrayDeque<QueryState> queries = new ArrayDeque<>();
    private int unsettledAttempts;
    private long quietUntil;

    void add(QueryState query) {
        queries.add(query);
    }

    boolean isFirst(QueryState query) {
        return queries.peek() == query;
    }

    /** Takes out a query that is answered, whose last attempt may still run. */
    void answered(QueryState query) {
        queries.remove(query);
        unsettledAttempts += query.hasAttempt() ? 1 : 0;
    }

    /** Takes in the end of an attempt whose query was answered before. */
    void answeredAttemptEnded() {
        unsettledAttempts--;
    }

    /** Keeps the next query back, as an attempt may still run on its engine. */
    void stayQuiet(long until) {
        quietUntil = Math.max(quietUntil, until);
    }

    boolean isSettled(long now) {
        return unsettledAttempts == 0 && now >= quietUntil;
    }

    boolean isIdle(long now) {
        return queries.isEmpty() && isSettled(now);
    }
}
