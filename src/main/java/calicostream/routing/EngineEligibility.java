// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.ArrayList;
import java.util.List;

/** Determines the engines that may run a query now. */
final class EngineEligibility {
    /**
     * Maximum number of engines considered outside the affinity set. Each additional engine may
     * have to read the tables as well.
     */
    private static final int MAX_OTHER_ENGINES = 12;

    private final RouterActions actions;
    private final RendezvousRanking ranking;
    private final CapacityEstimator capacity;
    private final SlowStartLimiter slowStart;
    private final RetryPolicy retryPolicy;

    EngineEligibility(
            RouterActions actions,
            RendezvousRanking ranking,
            CapacityEstimator capacity,
            SlowStartLimiter slowStart,
            RetryPolicy retryPolicy) {
        this.actions = actions;
        this.ranking = ranking;
        this.capacity = capacity;
        this.slowStart = slowStart;
        this.retryPolicy = retryPolicy;
    }

    /** Engines with capacity for a query, grouped by their health. */
    private static final class Candidates {
        private final List<EngineState> healthy = new ArrayList<>();
        private final List<EngineState> failing = new ArrayList<>();
        private final List<EngineState> ejected = new ArrayList<>();
        private boolean hasAvailable;

        List<EngineState> best() {
            if (!hasAvailable) {
                return ejected;
            }
            return healthy.isEmpty() ? failing : healthy;
        }
    }

    /**
     * Returns the engines that may run the query, from the affinity set and from the next engines
     * in the group's ranking. Ejected engines are returned only if no other engine is allowed. If
     * an engine is due for a probe, it is the only one returned.
     */
    List<EngineState> eligible(long now, QueryState query) {
        Candidates candidates = new Candidates();
        int others = 0;
        for (EngineState engine : ranking.rank(query.tableGroup())) {
            boolean preferred =
                    query.tableGroup().hasAffinity(engine.id())
                            || slowStart.isWarmingUp(engine, now);
            if (!preferred && others >= MAX_OTHER_ENGINES || !isAllowed(now, query, engine)) {
                continue;
            }
            if (query.isIdempotent() && isProbeDue(now, query, engine)) {
                return List.of(engine);
            }
            boolean available = !engine.ejection().isEjected() && !query.failedLastOn(engine);
            candidates.hasAvailable |= available;
            others += available && !preferred ? 1 : 0;
            if (capacity.hasCapacity(now, query, engine)) {
                candidatesFor(query, engine, available, candidates).add(engine);
            }
        }
        return candidates.best();
    }

    private static List<EngineState> candidatesFor(
            QueryState query, EngineState engine, boolean available, Candidates candidates) {
        if (!available) {
            return candidates.ejected;
        }
        // A failing engine may get first attempts of idempotent queries: an immediate error costs
        // them little. Retries and other queries prefer healthy engines.
        boolean mayFail = query.attempts() == 0 && query.isIdempotent();
        return engine.ejection().failureScore() == 0 || mayFail
                ? candidates.healthy
                : candidates.failing;
    }

    /** Returns whether the query should be sent to an ejected or reinstated engine as a probe. */
    private boolean isProbeDue(long now, QueryState query, EngineState engine) {
        if (query.failedLastOn(engine)) {
            return false;
        }
        return engine.ejection().isProbeDue(now) && engine.isIdle()
                || engine.ejection().isProbeRequested() && capacity.hasCapacity(now, query, engine);
    }

    /**
     * Returns whether the rules allow the query on the engine: lifecycle, placement, idempotency,
     * slow start and tenant capacity. Tenant capacity is checked last, because the gateway is
     * called for it and engines that fail another rule need no check.
     */
    private boolean isAllowed(long now, QueryState query, EngineState engine) {
        long stickyEngine = query.request().stickyEngine();
        return (stickyEngine == 0 || stickyEngine == engine.id())
                && engine.isReady()
                && matchesPlacement(query.queryClass(), engine.endpoint())
                && retryPolicy.mayRunOn(now, query, engine.endpoint())
                && slowStart.allows(now, query, engine)
                && actions.hasTenantCapacity(query.id(), engine.id());
    }

    private static boolean matchesPlacement(QueryClass queryClass, EngineEndpoint endpoint) {
        return (queryClass.zones().isEmpty() || queryClass.zones().contains(endpoint.zone()))
                && (queryClass.kinds().isEmpty() || queryClass.kinds().contains(endpoint.kind()));
    }
}
