// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Selects the engine of a query among the eligible ones by P-DACA: engines of the table group's
 * affinity set first, others where those are busy.
 */
final class AffinitySelector {
    /**
     * Rank under which an engine of the affinity set is chosen: tables in memory are worth a wait.
     */
    static final int MAX_AFFINITY_RANK = 6;

    /** Rank under which another engine is chosen, which has to read the tables first. */
    private static final int MAX_OTHER_RANK = 3;

    /** Time until an unused engine leaves an affinity set. */
    private static final long AFFINITY_IDLE_MICROS = 20_000_000;

    /** Threads per core that tell loads apart where most of the load is that of others. */
    private static final double LOAD_STEP = 0.25;

    private static final double MIN_LOAD_STEP = 1e-6;

    /** Threads per core up to which the routing cost leads, where connections cost. */
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
     * Selects an engine and extends the group's affinity set if that is overloaded.
     *
     * @param eligible engines that may take the query; not empty
     */
    EngineState select(long now, QueryState query, List<EngineState> eligible) {
        TableGroup group = query.tableGroup();
        group.removeUnusedAffinity(now, AFFINITY_IDLE_MICROS);
        if (group.affinitySet().isEmpty() || isOverloaded(now, group)) {
            addLeastLoaded(now, group, eligible);
        }
        Predicate<EngineState> hasAffinity = engine -> group.hasAffinity(engine.id());
        Comparator<EngineState> leastLoaded = leastLoaded(now);
        Comparator<EngineState> order =
                Comparator.comparingInt((EngineState engine) -> rank(query, engine))
                        .thenComparing(leastLoaded);
        EngineState inside = first(eligible, hasAffinity, order);
        if (inside != null && rank(query, inside) < MAX_AFFINITY_RANK) {
            return inside;
        }
        EngineState outside = first(eligible, hasAffinity.negate(), order);
        if (outside != null && rank(query, outside) < MAX_OTHER_RANK) {
            return outside;
        }
        return first(eligible, inside != null ? hasAffinity : engine -> true, leastLoaded);
    }

    /** Returns the query's rank on an engine: how many queries there are due before it. */
    private static int rank(QueryState query, EngineState engine) {
        return engine.runningDueBefore(query.due());
    }

    private static EngineState first(
            List<EngineState> engines,
            Predicate<EngineState> condition,
            Comparator<EngineState> order) {
        return engines.stream().filter(condition).min(order).orElse(null);
    }

    /**
     * Orders engines by load in steps, and where that is low by routing cost first; the group's
     * ranking decides between equal ones.
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
                first(eligible, engine -> !group.hasAffinity(engine.id()), leastLoaded(now));
        if (added != null) {
            group.addToAffinitySet(now, added.id());
        }
    }

    /**
     * Returns whether the group's share of our work exceeds its affinity set's share of the cores,
     * corrected by the load of the set.
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
        double strain = Math.max(1, meanLoad / Math.max(LOAD_STEP, capacity.meanLoadPerCore()));
        return share * strain > cores / Math.max(1, engines.readyCores());
    }
}
