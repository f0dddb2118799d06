// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Tracks the open queries and ensures that each gets exactly one final answer. */
final class QueryLifecycle {
    /** Retry-after time of a rejected query, about the run time of a few lookups. */
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

    /** Returns the query, or null if it is closed and has no running attempt. */
    QueryState find(long id) {
        return queries.get(id);
    }

    /** Returns a copy of the current queries in the order accepted. */
    List<QueryState> snapshot() {
        return List.copyOf(queries.values());
    }

    /**
     * Sends the final answer and closes the query.
     *
     * @param rejectIfRetrySafe whether to reject the query, so that the client retries it, if that
     *     is safe
     */
    void finish(QueryState query, boolean rejectIfRetrySafe) {
        if (rejectIfRetrySafe && retryPolicy.isClientRetrySafe(query)) {
            actions.reject(query.id(), RETRY_AFTER_MICROS);
        } else {
            actions.fail(query.id());
        }
        close(query);
    }

    /** Cancels the running attempt, if any; its result still follows. */
    void cancelAttempt(QueryState query) {
        boolean cancellable = query.hasAttempt() && !query.isCancelled() && !query.isStreaming();
        if (cancellable && limits.cancel()) {
            query.cancel();
            actions.cancelAttempt(query.id(), query.lastAttempt());
        }
    }

    /** Closes the query. Its state is kept until a running attempt has ended. */
    void close(QueryState query) {
        boolean wasOpen = !query.isClosed();
        query.setClosed();
        queue.remove(query);
        cancelAttempt(query);
        if (!query.hasAttempt()) {
            queries.remove(query.id());
        }
        if (wasOpen && query.keyQueue() != null) {
            query.keyQueue().queryClosed(query);
        }
    }
}
