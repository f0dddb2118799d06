// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.ArrayDeque;

/**
 * Holds the queries of one ordered key in the order accepted, and the attempts and quiet period
 * that block the next one.
 */
final class OrderedKeyQueue {
    private final ArrayDeque<QueryState> queries = new ArrayDeque<>();
    private int attemptsOfClosedQueries;
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
        attemptsOfClosedQueries += query.hasAttempt() ? 1 : 0;
    }

    /** Records the end of an attempt whose query was closed earlier. */
    void closedQueryAttemptEnded() {
        attemptsOfClosedQueries--;
    }

    /**
     * Blocks the next query until the given time, because an attempt may still be running on its
     * engine.
     */
    void startQuietPeriod(long until) {
        quietUntil = Math.max(quietUntil, until);
    }

    /** Returns whether no earlier attempt of the key is, or may still be, running. */
    boolean isSettled(long now) {
        return attemptsOfClosedQueries == 0 && now >= quietUntil;
    }

    boolean isIdle(long now) {
        return queries.isEmpty() && isSettled(now);
    }
}
