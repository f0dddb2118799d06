// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.TreeSet;

/** Queues queries that no engine can run now, in descending order of their dispatch value. */
final class QueryQueue {
    /**
     * Number of queued queries that may fail to find an engine before the remaining ones are left
     * until the next event.
     */
    private static final int MAX_FAILED_DISPATCHES = 6;

    private final WorkEstimator work;
    private final TreeSet<QueryState> queue =
            new TreeSet<>(
                    Comparator.comparingDouble((QueryState query) -> -query.dispatchValue())
                            .thenComparingLong(QueryState::id));

    QueryQueue(WorkEstimator work) {
        this.work = work;
    }

    void add(QueryState query) {
        queue.add(query);
    }

    void remove(QueryState query) {
        queue.remove(query);
    }

    /** Dispatches queued queries to the engines that have capacity now. */
    void dispatch(long now, QueryDispatcher dispatcher) {
        int failures = 0;
        for (QueryState query : new ArrayList<>(queue)) {
            if (failures >= MAX_FAILED_DISPATCHES) {
                return;
            }
            if (dispatcher.mayStart(now, query) && !dispatcher.tryDispatch(now, query)) {
                failures++;
            }
        }
    }

    /**
     * Lowers the dispatch value of queries that can no longer meet their latency objective, and
     * rejects queries whose answer would come too late to have any value.
     */
    void expire(long now, QueryLifecycle lifecycle) {
        for (QueryState query : new ArrayList<>(queue)) {
            if (!query.isLate() && willMissObjective(now, query)) {
                queue.remove(query);
                query.setLate();
                queue.add(query);
            }
            if (isExpired(now, query)) {
                lifecycle.finish(query, true);
            }
        }
    }

    private boolean willMissObjective(long now, QueryState query) {
        double run = Math.max(work.expectedRunMicros(query), query.statistics().averageRunMicros());
        return now + run > query.due();
    }

    private static boolean isExpired(long now, QueryState query) {
        QueryClass queryClass = query.queryClass();
        long end = queryClass.lateWeightFactor() > 0 ? query.deadline() : query.due();
        return now + RouterTimers.TICK_MICROS >= end
                || now + query.expectedWorkMicros() / queryClass.threads() > query.deadline();
    }
}
