// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Admits accepted queries: creates their state, determines their dispatch value and records them in
 * the statistics.
 */
final class QueryAdmission {
    private final RouterSettings settings;
    private final WorkEstimator work;
    private final OrderedKeyQueues keyQueues;
    private final TableGroups groups;
    private final TenantQuota quota;
    private final ResourceAssigner resources;

    QueryAdmission(
            RouterSettings settings,
            WorkEstimator work,
            OrderedKeyQueues keyQueues,
            TableGroups groups,
            TenantQuota quota,
            ResourceAssigner resources) {
        this.settings = settings;
        this.work = work;
        this.keyQueues = keyQueues;
        this.groups = groups;
        this.quota = quota;
        this.resources = resources;
    }

    boolean isKnownClass(Query request) {
        return request.queryClass() < settings.classes().size();
    }

    /** Admits a query of a known class. */
    QueryState admit(long now, Query request) {
        QueryState query = createState(now, request);
        double weight = query.queryClass().priorityWeight();
        double value = weight * (query.isOverQuota() ? settings.overQuotaWeight() : 1);
        query.setDispatchValue(value / Math.max(query.expectedWorkMicros(), 1));
        resources.recordRequest(query);
        work.recordRequest(now, query);
        groups.recordRequest(now, query);
        if (query.keyQueue() != null) {
            query.keyQueue().add(query);
        }
        return query;
    }

    private QueryState createState(long now, Query request) {
        QueryClass queryClass = classOf(request);
        ClassStatistics statistics = work.statistics(request.queryClass());
        if (request.estimatedWorkUs() > 0) {
            statistics.recordWork(statistics.expectedWorkMicros(request));
        }
        return new QueryState(
                now,
                request,
                queryClass,
                statistics,
                groups.findOrCreate(now, request.tableGroup()),
                keyQueues.find(request, queryClass),
                !quota.tryAcquire(now, request.tenant()));
    }

    /**
     * Returns the class of a query. A query with a sticky engine depends on state of that engine
     * and cannot be retried on another one, so it is treated as non-idempotent.
     */
    private QueryClass classOf(Query request) {
        QueryClass queryClass = settings.classes().get(request.queryClass());
        return request.stickyEngine() == 0 ? queryClass : queryClass.asNonIdempotent();
    }
}
