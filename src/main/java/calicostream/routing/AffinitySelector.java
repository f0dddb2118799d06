// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Selects the engine of a query among the eligible ones with the P-DACA algorithm: prefers engines
 * of the table group's affinity set, and uses other engines when those are busy.
 */
final class AffinitySelector {
    /**
     * Rank below which an engine of the affinity set is chosen. It is higher than {@link
     * #MAX_OTHER_RANK} because tables in memory justify some waiting.
     */
    static final int MAX_AFFINITY_RANK = 6;

    /**
     * Rank below which an engine outside the affinity set is chosen; it must read the tables first.
     */
    private static final int MAX_OTHER_RANK = 3;

    /** Time after which an unused engine is removed from an affinity set. */
    private static final long AFFINITY_IDLE_MICROS = 20_000_000;

    /**
     * Difference in threads per core from which two loads count as different when most of the load
     * comes from other gateways.
     */
    private static final double LOAD_STEP = 0.25;

    private static final double MIN_LOAD_STEP = 1e-6;

    /**
     * Threads per core up to which the routing cost outweighs the load when connections have a
     * cost.
     */
    private static final double LOW_LOAD = 1.0;

    private final RouterSettings settings;
    private final EngineTable engines;
    private final CapacityEstimator capacity;
    private final TableGroups groups;

    AffinitySelector(
            RouterSettings settings,
            EngineTable engines,
            CapacityEstimator capacity,
            TableGroups groups) {
        this.settings = settings;
        this.engines = engines;
        this.capacity = capacity;
        this.groups = groups;
    }

    /**
     * Selects an engine, and extends the group's affinity set if the set is empty or overloaded.
     *
     * @param eligible engines that may run the query; not empty
     */
    EngineState select(long now, QueryState query, List<EngineState> eligible) {
        TableGroup group = query.tableGroup();
        group.expireAffinity(now, AFFINITY_IDLE_MICROS);
        if (group.affinitySet().isEmpty() || isOverloaded(now, group)) {
            addLeastLoaded(now, group, eligible);
        }
        Predicate<EngineState> hasAffinity = engine -> group.hasAffinity(engine.id());
        Comparator<EngineState> leastLoaded = leastLoaded(now);
        Comparator<EngineState> order =
                Comparator.comparingInt((EngineState engine) -> rank(query, engine))
                        .thenComparing(leastLoaded);
        EngineState affinityEngine = best(eligible, hasAffinity, order);
        if (affinityEngine != null && rank(query, affinityEngine) < MAX_AFFINITY_RANK) {
            return affinityEngine;
        }
        EngineState otherEngine = best(eligible, hasAffinity.negate(), order);
        if (otherEngine != null && rank(query, otherEngine) < MAX_OTHER_RANK) {
            return otherEngine;
        }
        return best(eligible, affinityEngine != null ? hasAffinity : engine -> true, leastLoaded);
    }

    /**
     * Returns the query's rank on an engine: the number of running queries there that are due
     * earlier.
     */
    private static int rank(QueryState query, EngineState engine) {
        return engine.runningDueBefore(query.due());
    }

    private static EngineState best(
            List<EngineState> engines,
            Predicate<EngineState> condition,
            Comparator<EngineState> order) {
        return engines.stream().filter(condition).min(order).orElse(null);
    }

    /**
     * Orders engines by load in discrete steps, and by routing cost among engines with a low load.
     * Ties are resolved by the group's engine ranking.
     */
    private Comparator<EngineState> leastLoaded(long now) {
        double othersShare =
                capacity.meanOtherThreadsPerCore() / Math.max(1e-9, capacity.meanLoadPerCore());
        double step = Math.max(MIN_LOAD_STEP, LOAD_STEP * othersShare * othersShare);
        double lowLoad = settings.costs().handshake() > 0 ? LOW_LOAD : 0;
        return Comparator.comparingLong(
                        (EngineState engine) ->
                                (long)
                                        (Math.max(lowLoad, capacity.loadPerCore(engine, now))
                                                / step))
                .thenComparingDouble(EngineState::routingCost)
                .thenComparingLong(engine -> (long) (capacity.loadPerCore(engine, now) / step));
    }

    private void addLeastLoaded(long now, TableGroup group, List<EngineState> eligible) {
        EngineState added =
                best(eligible, engine -> !group.hasAffinity(engine.id()), leastLoaded(now));
        if (added != null) {
            group.addToAffinitySet(now, added.id());
        }
    }

    /**
     * Returns whether the group's share of this gateway's work, scaled by the load of its affinity
     * set relative to the fleet, exceeds the set's share of the cores.
     */
    private boolean isOverloaded(long now, TableGroup group) {
        double load = 0;
        double cores = 0;
        for (long id : group.affinitySet()) {
            EngineState engine = engines.find(id);
            load += capacity.loadPerCore(engine, now);
            cores += engine.cores();
        }
        double share = groups.workShare(now, group);
        double meanLoad = load / group.affinitySet().size();
        double loadRatio = Math.max(1, meanLoad / Math.max(LOAD_STEP, capacity.meanLoadPerCore()));
        return share * loadRatio > cores / Math.max(1, engines.readyCores());
    }
}
