// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.PriorityQueue;
import java.util.function.IntPredicate;

/**
 * Weighted max-min fairness with guarantees and ceilings, over engines, tiers and the fleet
 * together: first every guarantee that can be met, then the tenant with the least sessions for its
 * weight gets the next one, as long as any way of placing all sessions leaves it room. What can be
 * granted to sets of tenants is a polymatroid, so a tenant that can't have one more now never can
 * later, and the greedy order is exact up to single sessions. A pure function: the same problem and
 * previous division give the same division.
 */
public final class MaxMinFairAllocator {
    /**
     * @param caps by engine
     * @param tierOf by engine: its tier
     * @param tierCaps by tier
     * @param weights by tenant
     * @param wanted by tenant and engine
     */
    public record Problem(
            int[] caps,
            int[] poolOf,
            int[] poolCaps,
            int[] weights,
            int[][] demand,
            int[][] poolGuarantees,
            int[][] poolCeilings,
            int[] guarantees,
            int[] ceilings) {
        int tenants() {
            return weights.length;
        }

        int engines() {
            return caps.length;
        }

        int pools() {
            return poolCaps.length;
        }
    }

    private final Problem problem;
    private final BoundedFlowNetwork flow;
    private final int sink;
    private final int[][] toTier;
    private final int[][] toEngine;
    private final int[] fromEngine;
    private final int[] fromTier;
    private final int[] totals;

    private MaxMinFairAllocator(Problem problem) {
        this.problem = problem;
        int tenants = problem.tenants();
        int tiers = problem.pools();
        int engines = problem.engines();
        sink = tenants + tenants * tiers + engines + tiers;
        flow = new BoundedFlowNetwork(sink + 1);
        totals = new int[tenants];
        toTier = new int[tenants][tiers];
        toEngine = new int[tenants][engines];
        fromEngine = new int[engines];
        fromTier = new int[tiers];
        for (int t = 0; t < tenants; t++) {
            for (int k = 0; k < tiers; k++) {
                toTier[t][k] = flow.addEdge(t, tierNode(t, k), problem.poolCeilings[t][k]);
            }
            for (int e = 0; e < engines; e++) {
                toEngine[t][e] =
                        flow.addEdge(
                                tierNode(t, problem.poolOf[e]),
                                engineNode(e),
                                problem.demand[t][e]);
            }
        }
        for (int e = 0; e < engines; e++) {
            fromEngine[e] =
                    flow.addEdge(
                            engineNode(e),
                            engineNode(engines) + problem.poolOf[e],
                            problem.caps[e]);
        }
        for (int k = 0; k < tiers; k++) {
            fromTier[k] = flow.addEdge(engineNode(engines) + k, sink, problem.poolCaps[k]);
        }
    }

    private int tierNode(int tenant, int tier) {
        return problem.tenants() + tenant * problem.pools() + tier;
    }

    private int engineNode(int engine) {
        return problem.tenants() * (1 + problem.pools()) + engine;
    }

    /**
     * @param previous the last division, from which as little as possible is moved; null if there
     *     was none
     * @return sessions by tenant and engine
     */
    public static int[][] allocate(Problem problem, int[][] previous) {
        MaxMinFairAllocator fair = new MaxMinFairAllocator(problem);
        int[][] kept = fair.guarantee();
        fair.fill(problem.weights, problem.ceilings);
        if (previous == null) {
            return fair.placed();
        }
        MaxMinFairAllocator near = new MaxMinFairAllocator(problem);
        near.follow(previous, kept, fair.totals);
        return near.placed();
    }

    private int[][] placed() {
        int[][] placed = new int[problem.tenants()][problem.engines()];
        for (int t = 0; t < placed.length; t++) {
            for (int e = 0; e < placed[t].length; e++) {
                placed[t][e] = flow.flow(toEngine[t][e]);
            }
        }
        return placed;
    }

    /**
     * In each tier first, which is kept there and told, then over all; where not all can be met, in
     * proportion to what is guaranteed.
     */
    private int[][] guarantee() {
        int tiers = problem.pools();
        int[] promised = new int[problem.tenants() * tiers];
        for (int i = 0; i < promised.length; i++) {
            promised[i] = problem.poolGuarantees[i / tiers][i % tiers];
        }
        raise(
                promised,
                promised,
                new int[promised.length],
                i -> {
                    int tenant = i / tiers;
                    int edge = toTier[tenant][i % tiers];
                    if (totals[tenant] >= problem.ceilings[tenant] || !one(tenant, i % tiers)) {
                        return false;
                    }
                    totals[tenant]++;
                    flow.setLowerBound(edge, flow.flow(edge));
                    return true;
                });
        int[][] kept = new int[problem.tenants()][tiers];
        int[] most = new int[problem.tenants()];
        for (int t = 0; t < most.length; t++) {
            for (int k = 0; k < tiers; k++) {
                kept[t][k] = flow.flow(toTier[t][k]);
            }
            most[t] = Math.min(problem.guarantees[t], problem.ceilings[t]);
        }
        fill(problem.guarantees, most);
        return kept;
    }

    private void fill(int[] weights, int[] most) {
        raise(weights, most, totals, t -> direct(t, -1) || flow.augment(t, sink));
    }

    /** One more for the tenant within a tier. */
    private boolean one(int tenant, int tier) {
        if (flow.residual(toTier[tenant][tier]) <= 0) {
            return false;
        }
        if (direct(tenant, tier)) {
            return true;
        }
        if (!flow.augment(tierNode(tenant, tier), sink)) {
            return false;
        }
        flow.push(toTier[tenant][tier], 1);
        return true;
    }

    /**
     * One session, if that moves nobody, at the engine where the tenant has least of what it wants,
     * in the tier or in any.
     */
    private boolean direct(int tenant, int tier) {
        int best = -1;
        for (int e = 0; e < problem.engines(); e++) {
            int k = problem.poolOf[e];
            int edge = toEngine[tenant][e];
            if ((tier < 0 || tier == k)
                    && flow.residual(edge) > 0
                    && flow.residual(fromEngine[e]) > 0
                    && flow.residual(fromTier[k]) > 0
                    && flow.residual(toTier[tenant][k]) > 0
                    && (best < 0
                            || (long) flow.flow(edge) * problem.demand[tenant][best]
                                    < (long) flow.flow(toEngine[tenant][best])
                                            * problem.demand[tenant][e])) {
                best = e;
            }
        }
        if (best >= 0) {
            place(tenant, best, 1);
        }
        return best >= 0;
    }

    private void place(int tenant, int engine, int sessions) {
        flow.push(toTier[tenant][problem.poolOf[engine]], sessions);
        flow.push(toEngine[tenant][engine], sessions);
        flow.push(fromEngine[engine], sessions);
        flow.push(fromTier[problem.poolOf[engine]], sessions);
    }

    /**
     * Again and again the one with least for its weight takes one more; who can't is out for good.
     */
    private static void raise(int[] weights, int[] most, int[] given, IntPredicate takesOne) {
        PriorityQueue<Integer> order =
                new PriorityQueue<>(
                        (a, b) -> {
                            int by =
                                    Long.compare(
                                            (2L * given[a] + 1) * weights[b],
                                            (2L * given[b] + 1) * weights[a]);
                            return by != 0 ? by : Integer.compare(a, b);
                        });
        for (int i = 0; i < weights.length; i++) {
            if (weights[i] > 0 && given[i] < most[i]) {
                order.add(i);
            }
        }
        while (!order.isEmpty()) {
            int least = order.poll();
            if (takesOne.test(least)) {
                given[least]++;
                if (given[least] < most[least]) {
                    order.add(least);
                }
            }
        }
    }

    /** The same totals and guarantees, placed as near to the previous division as they allow. */
    private void follow(int[][] previous, int[][] kept, int[] wanted) {
        for (int t = 0; t < problem.tenants(); t++) {
            for (int e = 0; e < problem.engines(); e++) {
                int tier = problem.poolOf[e];
                int sessions =
                        Math.min(
                                Math.min(
                                        Math.min(previous[t][e], flow.residual(toEngine[t][e])),
                                        Math.min(
                                                flow.residual(fromEngine[e]),
                                                flow.residual(fromTier[tier]))),
                                Math.min(flow.residual(toTier[t][tier]), wanted[t] - totals[t]));
                if (sessions > 0) {
                    place(t, e, sessions);
                    totals[t] += sessions;
                }
            }
            for (int k = 0; k < problem.pools(); k++) {
                flow.setLowerBound(toTier[t][k], Math.min(kept[t][k], flow.flow(toTier[t][k])));
            }
        }
        for (int t = 0; t < problem.tenants(); t++) {
            for (int k = 0; k < problem.pools(); k++) {
                int edge = toTier[t][k];
                while (flow.flow(edge) < kept[t][k]) {
                    if (totals[t] < wanted[t] && one(t, k)) {
                        totals[t]++;
                    } else if (flow.augment(
                            tierNode(t, k), t)) { // from another tier of the same tenant
                        flow.push(edge, 1);
                    } else {
                        break;
                    }
                    flow.setLowerBound(edge, flow.flow(edge));
                }
            }
        }
        fill(problem.weights, wanted);
    }
}
