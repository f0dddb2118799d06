// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.ArrayDeque;

/**
 * Holds the queries of one ordered key in the order accepted, and the attempts and quiet period
 * that block the next one.
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

    /** Removes a closed query and keeps the key blocked while its last attempt is still running. */
    void queryClosed(QueryState query) {
        queries.remove(query);
        unsettledAttempts += query.hasAttempt() ? 1 : 0;
    }

    /** Records the end of an attempt whose query was closed earlier. */
    void closedQueryAttemptEnded() {
        unsettledAttempts--;
    }

    /**
     * Blocks the next query until the given time, because an attempt may still be running on its
     * engine.
     */
    void startQuietPeriod(long until) {
        quietUntil = Math.max(quietUntil, until);
    }

    boolean isSettled(long now) {
        return unsettledAttempts == 0 && now >= quietUntil;
    }

    boolean isIdle(long now) {
        return queries.isEmpty() && isSettled(now);
    }
}
