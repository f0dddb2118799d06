// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.List;

/**
 * Weighted max-min fair allocation of sessions to tenants, with guarantees and ceilings per pool
 * and for the whole fleet. First it meets every guarantee that can be met. Then the tenant with the
 * fewest sessions relative to its weight gets the next one, as long as some placement of all
 * sessions has capacity for it.
 *
 * <p>The feasible allocations form a polymatroid, so a tenant that cannot have one more session now
 * never can later, and the greedy order is exact up to single sessions. Deterministic: equal
 * problems and previous allocations give equal results.
 */
public final class MaxMinFairAllocator {
    private static final int ANY_POOL = -1;
    private static final int NO_ENGINE = -1;

    /**
     * One tenant's demand and entitlement, in sessions.
     *
     * @param weight share relative to the other tenants
     * @param demand by engine
     * @param poolGuarantees by pool
     * @param poolCeilings by pool
     * @param guarantee over all pools
     * @param ceiling over all pools
     */
    public record TenantClaim(
            int weight,
            int[] demand,
            int[] poolGuarantees,
            int[] poolCeilings,
            int guarantee,
            int ceiling) {}

    /**
     * The input of the allocation, in sessions.
     *
     * @param caps by engine
     * @param poolByEngine index of each engine's pool
     * @param poolCaps by pool
     * @param tenants the tenants that share the engines
     */
    public record Problem(
            int[] caps, int[] poolByEngine, int[] poolCaps, List<TenantClaim> tenants) {
        /** Copies the list, not the arrays. */
        public Problem {
            tenants = List.copyOf(tenants);
        }

        int tenantCount() {
            return tenants.size();
        }

        int engineCount() {
            return caps.length;
        }

        int poolCount() {
            return poolCaps.length;
        }

        TenantClaim tenant(int tenant) {
            return tenants.get(tenant);
        }
    }

    private final Problem problem;
    private final BoundedFlowNetwork network;
    private final int sink;

    /** By tenant and pool: the edge whose flow is the tenant's sessions in the pool. */
    private final int[][] tenantPoolEdges;

    /** By tenant and engine: the edge whose flow is the tenant's sessions at the engine. */
    private final int[][] tenantEngineEdges;

    /** By engine: the edge whose flow is the sessions at the engine. */
    private final int[] engineEdges;

    /** By pool: the edge whose flow is the sessions in the pool. */
    private final int[] poolEdges;

    /** By tenant: the sessions placed so far. */
    private final int[] totals;

    private MaxMinFairAllocator(Problem problem) {
        this.problem = problem;
        int tenants = problem.tenantCount();
        int pools = problem.poolCount();
        int engines = problem.engineCount();
        sink = tenants + tenants * pools + engines + pools;
        network = new BoundedFlowNetwork(sink + 1);
        totals = new int[tenants];
        tenantPoolEdges = new int[tenants][pools];
        tenantEngineEdges = new int[tenants][engines];
        engineEdges = new int[engines];
        poolEdges = new int[pools];
        for (int tenant = 0; tenant < tenants; tenant++) {
            addTenantEdges(tenant);
        }
        for (int engine = 0; engine < engines; engine++) {
            engineEdges[engine] =
                    network.addEdge(
                            engineNode(engine),
                            poolNode(problem.poolByEngine()[engine]),
                            problem.caps()[engine]);
        }
        for (int pool = 0; pool < pools; pool++) {
            poolEdges[pool] = network.addEdge(poolNode(pool), sink, problem.poolCaps()[pool]);
        }
    }

    private void addTenantEdges(int tenant) {
        TenantClaim claim = problem.tenant(tenant);
        for (int pool = 0; pool < problem.poolCount(); pool++) {
            tenantPoolEdges[tenant][pool] =
                    network.addEdge(
                            tenant, tenantPoolNode(tenant, pool), claim.poolCeilings()[pool]);
        }
        for (int engine = 0; engine < problem.engineCount(); engine++) {
            tenantEngineEdges[tenant][engine] =
                    network.addEdge(
                            tenantPoolNode(tenant, problem.poolByEngine()[engine]),
                            engineNode(engine),
                            claim.demand()[engine]);
        }
    }

    private int tenantPoolNode(int tenant, int pool) {
        return problem.tenantCount() + tenant * problem.poolCount() + pool;
    }

    private int engineNode(int engine) {
        return problem.tenantCount() * (1 + problem.poolCount()) + engine;
    }

    private int poolNode(int pool) {
        return engineNode(problem.engineCount()) + pool;
    }

    /**
     * Allocates sessions to tenants at engines.
     *
     * @param previous the last allocation, to which the result stays close; null if there is none
     * @return sessions by tenant and engine
     */
    public static int[][] allocate(Problem problem, int[][] previous) {
        MaxMinFairAllocator fairAllocator = new MaxMinFairAllocator(problem);
        int[][] guaranteed = fairAllocator.meetGuarantees();
        fairAllocator.fillByWeight(ceilings(problem));
        if (previous == null) {
            return fairAllocator.placements();
        }
        MaxMinFairAllocator stableAllocator = new MaxMinFairAllocator(problem);
        stableAllocator.placeNearPrevious(previous, guaranteed, fairAllocator.totals);
        return stableAllocator.placements();
    }

    private static int[] ceilings(Problem problem) {
        return problem.tenants().stream().mapToInt(TenantClaim::ceiling).toArray();
    }

    private int[][] placements() {
        int[][] placements = new int[problem.tenantCount()][problem.engineCount()];
        for (int tenant = 0; tenant < placements.length; tenant++) {
            for (int engine = 0; engine < placements[tenant].length; engine++) {
                placements[tenant][engine] = network.flow(tenantEngineEdges[tenant][engine]);
            }
        }
        return placements;
    }

    /**
     * Places the guaranteed sessions: first those per pool, which must stay in their pool, then
     * those over all pools. If not all guarantees can be met, they are met in proportion.
     *
     * @return sessions placed for the pool guarantees, by tenant and pool
     */
    private int[][] meetGuarantees() {
        meetPoolGuarantees();
        int[][] guaranteed = new int[problem.tenantCount()][problem.poolCount()];
        int[] weights = new int[problem.tenantCount()];
        int[] limits = new int[problem.tenantCount()];
        for (int tenant = 0; tenant < guaranteed.length; tenant++) {
            for (int pool = 0; pool < problem.poolCount(); pool++) {
                guaranteed[tenant][pool] = network.flow(tenantPoolEdges[tenant][pool]);
            }
            TenantClaim claim = problem.tenant(tenant);
            weights[tenant] = claim.guarantee();
            limits[tenant] = Math.min(claim.guarantee(), claim.ceiling());
        }
        fill(weights, limits);
        return guaranteed;
    }

    private void meetPoolGuarantees() {
        int pools = problem.poolCount();
        int[] guarantees = new int[problem.tenantCount() * pools];
        for (int i = 0; i < guarantees.length; i++) {
            guarantees[i] = problem.tenant(i / pools).poolGuarantees()[i % pools];
        }
        WaterFilling.fill(
                guarantees,
                guarantees,
                new int[guarantees.length],
                i -> placeGuaranteed(i / pools, i % pools));
    }

    private boolean placeGuaranteed(int tenant, int pool) {
        if (totals[tenant] >= problem.tenant(tenant).ceiling() || !placeInPool(tenant, pool)) {
            return false;
        }
        totals[tenant]++;
        int edge = tenantPoolEdges[tenant][pool];
        network.setLowerBound(edge, network.flow(edge));
        return true;
    }

    private void fillByWeight(int[] limits) {
        int[] weights = problem.tenants().stream().mapToInt(TenantClaim::weight).toArray();
        fill(weights, limits);
    }

    private void fill(int[] weights, int[] limits) {
        WaterFilling.fill(
                weights,
                limits,
                totals,
                tenant -> placeDirectly(tenant, ANY_POOL) || network.augment(tenant, sink));
    }

    /** Places one more session of the tenant in a pool; false if there is no capacity. */
    private boolean placeInPool(int tenant, int pool) {
        int edge = tenantPoolEdges[tenant][pool];
        if (network.residual(edge) <= 0) {
            return false;
        }
        if (placeDirectly(tenant, pool)) {
            return true;
        }
        if (!network.augment(tenantPoolNode(tenant, pool), sink)) {
            return false;
        }
        network.push(edge, 1);
        return true;
    }

    /**
     * Places one session without moving any other, at the engine where the smallest fraction of the
     * tenant's demand is placed; false if no engine has capacity.
     *
     * @param pool the pool in which to place the session, or {@link #ANY_POOL}
     */
    private boolean placeDirectly(int tenant, int pool) {
        int best = NO_ENGINE;
        for (int engine = 0; engine < problem.engineCount(); engine++) {
            boolean isInPool = pool == ANY_POOL || pool == problem.poolByEngine()[engine];
            if (isInPool
                    && hasCapacity(tenant, engine)
                    && (best == NO_ENGINE || hasSmallerPlacedFraction(tenant, engine, best))) {
                best = engine;
            }
        }
        if (best == NO_ENGINE) {
            return false;
        }
        place(tenant, best, 1);
        return true;
    }

    private boolean hasCapacity(int tenant, int engine) {
        int pool = problem.poolByEngine()[engine];
        return network.residual(tenantEngineEdges[tenant][engine]) > 0
                && network.residual(engineEdges[engine]) > 0
                && network.residual(poolEdges[pool]) > 0
                && network.residual(tenantPoolEdges[tenant][pool]) > 0;
    }

    /**
     * Whether a smaller fraction of the tenant's demand is placed at the engine than at the other.
     */
    private boolean hasSmallerPlacedFraction(int tenant, int engine, int other) {
        int[] demand = problem.tenant(tenant).demand();
        long placed = network.flow(tenantEngineEdges[tenant][engine]);
        long placedAtOther = network.flow(tenantEngineEdges[tenant][other]);
        return placed * demand[other] < placedAtOther * demand[engine];
    }

    private void place(int tenant, int engine, int sessions) {
        int pool = problem.poolByEngine()[engine];
        network.push(tenantPoolEdges[tenant][pool], sessions);
        network.push(tenantEngineEdges[tenant][engine], sessions);
        network.push(engineEdges[engine], sessions);
        network.push(poolEdges[pool], sessions);
    }

    /**
     * Places the fair totals with as few moves from the previous allocation as possible.
     *
     * @param guaranteed sessions placed for the pool guarantees, by tenant and pool
     * @param fairTotals sessions to place, by tenant
     */
    private void placeNearPrevious(int[][] previous, int[][] guaranteed, int[] fairTotals) {
        for (int tenant = 0; tenant < problem.tenantCount(); tenant++) {
            for (int engine = 0; engine < problem.engineCount(); engine++) {
                keepPrevious(tenant, engine, previous[tenant][engine], fairTotals[tenant]);
            }
            for (int pool = 0; pool < problem.poolCount(); pool++) {
                int edge = tenantPoolEdges[tenant][pool];
                network.setLowerBound(edge, Math.min(guaranteed[tenant][pool], network.flow(edge)));
            }
        }
        for (int tenant = 0; tenant < problem.tenantCount(); tenant++) {
            for (int pool = 0; pool < problem.poolCount(); pool++) {
                restoreGuarantee(tenant, pool, guaranteed[tenant][pool], fairTotals[tenant]);
            }
        }
        fillByWeight(fairTotals);
    }

    /** Places as many of the tenant's previous sessions at the engine as capacity allows. */
    private void keepPrevious(int tenant, int engine, int previous, int fairTotal) {
        int pool = problem.poolByEngine()[engine];
        int sessions = Math.min(previous, fairTotal - totals[tenant]);
        sessions = Math.min(sessions, network.residual(tenantEngineEdges[tenant][engine]));
        sessions = Math.min(sessions, network.residual(engineEdges[engine]));
        sessions = Math.min(sessions, network.residual(poolEdges[pool]));
        sessions = Math.min(sessions, network.residual(tenantPoolEdges[tenant][pool]));
        if (sessions > 0) {
            place(tenant, engine, sessions);
            totals[tenant] += sessions;
        }
    }

    /** Raises the tenant's sessions in the pool towards the guaranteed number. */
    private void restoreGuarantee(int tenant, int pool, int guaranteed, int fairTotal) {
        int edge = tenantPoolEdges[tenant][pool];
        while (network.flow(edge) < guaranteed) {
            if (totals[tenant] < fairTotal && placeInPool(tenant, pool)) {
                totals[tenant]++;
            } else if (network.augment(tenantPoolNode(tenant, pool), tenant)) {
                // A session of the same tenant was moved here from another pool.
                network.push(edge, 1);
            } else {
                break;
            }
            network.setLowerBound(edge, network.flow(edge));
        }
    }
}
