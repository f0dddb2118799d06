// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Holds the queries in hand and brings each to its one final answer. */
final class QueryLifecycle {
    /** Time that the client of a rejected query is asked to wait: that of a few lookups. */
    private static final long RETRY_AFTER_MICROS = 300_000;

    private final AttemptLimits limits;
    private final RouterActions actions;
    private final RetryPolicy retryPolicy;
    private final QueryQueue queue;
    private final Map<Long, QueryState> queries = new LinkedHashMap<>();

    QueryLifecycle(
            AttemptLimits limits,
            RouterActions actions,
            RetryPolicy retryPolicy,
            QueryQueue queue) {
        this.limits = limits;
        this.actions = actions;
        this.retryPolicy = retryPolicy;
        this.queue = queue;
    }

    void add(QueryState query) {
        queries.put(query.id(), query);
    }

    /** Returns the query, or null if it is not in hand any more. */
    QueryState find(long id) {
        return queries.get(id);
    }

    /** Returns the queries in hand in the order accepted, as they are now. */
    List<QueryState> snapshot() {
        return List.copyOf(queries.values());
    }

    /**
     * Gives the final answer.
     *
     * @param rejectIfHarmless whether to answer that the client may try again, if that does no harm
     */
    void finish(QueryState query, boolean rejectIfHarmless) {
        if (rejectIfHarmless && retryPolicy.isRepeatHarmless(query)) {
            actions.reject(query.id(), RETRY_AFTER_MICROS);
        } else {
            actions.fail(query.id());
        }
        close(query);
    }

    /** Cancels the attempt, if one runs; its end still comes. */
    void cancelAttempt(QueryState query) {
        boolean cancellable = query.hasAttempt() && !query.isCancelled() && !query.isStreaming();
        if (cancellable && limits.cancel()) {
            query.cancel();
            actions.cancelAttempt(query.id(), query.lastAttempt());
        }
    }

    /** Takes in that the query has its answer; an attempt that still runs is waited for. */
    void close(QueryState query) {
        boolean wasOpen = !query.isDone();
        query.setDone();
        queue.remove(query);
        cancelAttempt(query);
        if (!query.hasAttempt()) {
            queries.remove(query.id());
        }
        if (wasOpen && query.keyQueue() != null) {
            query.keyQueue().answered(query);
        }
    }
}
