// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.List;

/** Dispatches queries to the best eligible engine, or queues them if there is none. */
final class QueryDispatcher {
    private final OrderedKeyQueues keyQueues;
    private final RetryBudget retryBudget;
    private final EngineEligibility eligibility;
    private final LoadProber prober;
    private final AffinitySelector selector;
    private final QueryQueue queue;
    private final AttemptStarter starter;

    QueryDispatcher(
            OrderedKeyQueues keyQueues,
            RetryBudget retryBudget,
            EngineEligibility eligibility,
            LoadProber prober,
            AffinitySelector selector,
            QueryQueue queue,
            AttemptStarter starter) {
        this.keyQueues = keyQueues;
        this.retryBudget = retryBudget;
        this.eligibility = eligibility;
        this.prober = prober;
        this.selector = selector;
        this.queue = queue;
        this.starter = starter;
    }

    /**
     * Returns whether the rules for ordered keys and the retry budget allow the query's next
     * attempt.
     */
    boolean mayStart(long now, QueryState query) {
        return query.attempts() == 0
                ? keyQueues.mayStart(now, query)
                : retryBudget.allowsRetry(now);
    }

    /** Starts an attempt and removes the query from the queue if an engine can run it now. */
    boolean tryDispatch(long now, QueryState query) {
        if (query.hasAttempt() || query.isClosed() || !mayStart(now, query)) {
            return false;
        }
        List<EngineState> eligible = eligibility.eligible(now, query);
        if (eligible.isEmpty() || prober.mustAwaitProbes(now, query, eligible)) {
            return false;
        }
        EngineState engine = selector.select(now, query, eligible);
        queue.remove(query);
        starter.start(now, query, engine);
        return true;
    }

    void dispatchOrQueue(long now, QueryState query) {
        if (!tryDispatch(now, query)) {
            queue.add(query);
        }
    }

    void dispatchQueued(long now) {
        queue.dispatch(now, this);
    }
}
