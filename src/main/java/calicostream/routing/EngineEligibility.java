// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.ArrayList;
import java.util.List;

/** Determines which engines a query may go to now. */
final class EngineEligibility {
    /** Engines outside the affinity set that are considered: more would read the tables, too. */
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

    /** Engines with capacity for a query, apart by how far they are to be trusted. */
    private static final class Candidates {
        private final List<EngineState> healthy = new ArrayList<>();
        private final List<EngineState> failing = new ArrayList<>();
        private final List<EngineState> ejected = new ArrayList<>();
        private boolean hasSound;

        List<EngineState> best() {
            if (!hasSound) {
                return ejected;
            }
            return healthy.isEmpty() ? failing : healthy;
        }
    }

    /**
     * Returns the engines of the affinity set and the next others in the group's ranking that may
     * take the query; ejected ones only if no other one is allowed, and a single one that is due
     * for a probe.
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
            boolean sound = !engine.ejection().isEjected() && !query.failedLastOn(engine);
            candidates.hasSound |= sound;
            others += sound && !preferred ? 1 : 0;
            if (capacity.hasCapacity(now, query, engine)) {
                listFor(query, engine, sound, candidates).add(engine);
            }
        }
        return candidates.best();
    }

    private static List<EngineState> listFor(
            QueryState query, EngineState engine, boolean sound, Candidates candidates) {
        if (!sound) {
            return candidates.ejected;
        }
        // An immediate error costs little, but not for a query that may not run again or was tried.
        boolean mayFail = query.attempts() == 0 && query.isIdempotent();
        return engine.ejection().failureScore() == 0 || mayFail
                ? candidates.healthy
                : candidates.failing;
    }

    /** Returns whether the query is to probe an ejected or reinstated engine. */
    private boolean isProbeDue(long now, QueryState query, EngineState engine) {
        if (query.failedLastOn(engine)) {
            return false;
        }
        return engine.ejection().isProbeDue(now) && engine.isIdle()
                || engine.ejection().isProbeOwed() && capacity.hasCapacity(now, query, engine);
    }

    /**
     * Returns what the rules allow: state, placement, repeats, slow start and tenant capacity. The
     * tenant's capacity is asked last, and only of engines that the rest allows.
     */
    private boolean isAllowed(long now, QueryState query, EngineState engine) {
        long stickyEngine = query.request().stickyEngine();
        return (stickyEngine == 0 || stickyEngine == engine.id())
                && engine.isReady()
                && isPlacedRight(query.queryClass(), engine.endpoint())
                && retryPolicy.mayRunOn(now, query, engine.endpoint())
                && slowStart.allows(now, query, engine)
                && actions.hasTenantCapacity(query.id(), engine.id());
    }

    private static boolean isPlacedRight(QueryClass queryClass, EngineEndpoint endpoint) {
        return (queryClass.zones().isEmpty() || queryClass.zones().contains(endpoint.zone()))
                && (queryClass.kinds().isEmpty() || queryClass.kinds().contains(endpoint.kind()));
    }
}
