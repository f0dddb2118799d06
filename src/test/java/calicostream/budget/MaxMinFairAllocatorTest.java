// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.budget.MaxMinFairAllocator.Problem;
import calicostream.budget.MaxMinFairAllocator.TenantClaim;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class MaxMinFairAllocatorTest {
    private static final long SEED = 20261202;
    private static final int CASES = 4_000;

    /**
     * Up to 6 tenants, 10 engines and 3 pools, guarantees under ceilings, caps that bind or do not.
     */
    static Problem problem(SplittableRandom random) {
        int tenants = random.nextInt(1, 7);
        int engines = random.nextInt(1, 11);
        int pools = random.nextInt(1, 4);
        int[] caps = random.ints(engines, 0, 41).toArray();
        int[] poolOf = random.ints(engines, 0, pools).toArray();
        int[] poolCaps = new int[pools];
        for (int i = 0; i < pools; i++) {
            int pool = i;
            int sum =
                    IntStream.range(0, engines)
                            .filter(engine -> poolOf[engine] == pool)
                            .map(engine -> caps[engine])
                            .sum();
            poolCaps[pool] = random.nextInt(3) == 0 ? sum / 2 : sum + 10;
        }
        int[] weights = random.ints(tenants, 1, 11).toArray();
        List<TenantClaim> claims = new ArrayList<>();
        for (int weight : weights) {
            claims.add(claim(random, weight, engines, pools));
        }
        return new Problem(caps, poolOf, poolCaps, claims);
    }

    private static TenantClaim claim(SplittableRandom random, int weight, int engines, int pools) {
        int maxDemand = random.nextInt(1, 60);
        int[] demand = random.ints(engines, 0, maxDemand).toArray();
        int[] poolGuarantees = new int[pools];
        int[] poolCeilings = new int[pools];
        for (int pool = 0; pool < pools; pool++) {
            poolGuarantees[pool] = random.nextInt(3) == 0 ? random.nextInt(30) : 0;
            poolCeilings[pool] =
                    poolGuarantees[pool] + random.nextInt(random.nextBoolean() ? 30 : 500);
        }
        int sum = Arrays.stream(poolGuarantees).sum();
        int guarantee = random.nextInt(3) == 0 ? random.nextInt(60) : 0;
        int ceiling = Math.max(sum, guarantee) + random.nextInt(random.nextBoolean() ? 60 : 500);
        return new TenantClaim(weight, demand, poolGuarantees, poolCeilings, guarantee, ceiling);
    }

    private static Problem withWeight(Problem problem, int tenant, int weight) {
        List<TenantClaim> claims = new ArrayList<>(problem.tenants());
        TenantClaim claim = claims.get(tenant);
        claims.set(
                tenant,
                new TenantClaim(
                        weight,
                        claim.demand(),
                        claim.poolGuarantees(),
                        claim.poolCeilings(),
                        claim.guarantee(),
                        claim.ceiling()));
        return new Problem(problem.caps(), problem.poolOf(), problem.poolCaps(), claims);
    }

    static int[] totals(int[][] placed) {
        return Arrays.stream(placed).mapToInt(row -> Arrays.stream(row).sum()).toArray();
    }

    private static void assertWithinBounds(Problem problem, int[][] placed, String run) {
        int[] inPool = new int[problem.poolCount()];
        int[][] byTenant = new int[problem.tenantCount()][problem.poolCount()];
        for (int engine = 0; engine < problem.engineCount(); engine++) {
            int pool = problem.poolOf()[engine];
            int sum = 0;
            for (int tenant = 0; tenant < problem.tenantCount(); tenant++) {
                int sessions = placed[tenant][engine];
                assertTrue(
                        sessions >= 0 && sessions <= problem.tenant(tenant).demand()[engine],
                        run + ": over the demand");
                sum += sessions;
                byTenant[tenant][pool] += sessions;
            }
            inPool[pool] += sum;
            assertTrue(sum <= problem.caps()[engine], run + ": over the cap of engine " + engine);
        }
        for (int pool = 0; pool < inPool.length; pool++) {
            assertTrue(inPool[pool] <= problem.poolCaps()[pool], run + ": over pool " + pool);
            for (int tenant = 0; tenant < problem.tenantCount(); tenant++) {
                assertTrue(
                        byTenant[tenant][pool] <= problem.tenant(tenant).poolCeilings()[pool],
                        run + ": over a tenant's ceiling in pool " + pool);
            }
        }
        for (int tenant = 0; tenant < problem.tenantCount(); tenant++) {
            assertTrue(
                    Arrays.stream(byTenant[tenant]).sum() <= problem.tenant(tenant).ceiling(),
                    run + ": over a tenant's ceiling");
        }
    }

    @Test
    void isAsNearToTheExactAllocationAsWholeSessionsAllow() {
        double largest = 0;
        double relative = 0;
        for (int i = 0; i < CASES; i++) {
            String run = "seed " + (SEED + i);
            Problem problem = problem(new SplittableRandom(SEED + i));
            int[][] placed = MaxMinFairAllocator.allocate(problem, null);
            assertWithinBounds(problem, placed, run);
            int[] totals = totals(placed);
            double[] fair = MaxMinOracle.totals(problem);
            for (int tenant = 0; tenant < totals.length; tenant++) {
                double distance = Math.abs(totals[tenant] - fair[tenant]);
                assertTrue(
                        distance < 1.5,
                        run
                                + ": tenant "
                                + tenant
                                + " has "
                                + totals[tenant]
                                + ", fair are "
                                + fair[tenant]);
                largest = Math.max(largest, distance);
                relative = Math.max(relative, distance / Math.max(fair[tenant], 20));
            }
        }
        System.out.println(
                "seed "
                        + SEED
                        + ": largest distance "
                        + largest
                        + " sessions, "
                        + relative
                        + " of a share of 20 or more");
    }

    @Test
    void guaranteesThatCanBeMetAreMetBeforeWeightsCount() {
        Problem problem =
                new Problem(
                        new int[] {20, 20},
                        new int[] {0, 0},
                        new int[] {40},
                        List.of(
                                new TenantClaim(
                                        1,
                                        new int[] {20, 20},
                                        new int[] {0},
                                        new int[] {40},
                                        12,
                                        40),
                                new TenantClaim(
                                        1_000,
                                        new int[] {20, 20},
                                        new int[] {0},
                                        new int[] {40},
                                        0,
                                        40)));
        assertArrayEquals(new int[] {12, 28}, totals(MaxMinFairAllocator.allocate(problem, null)));
    }

    @Test
    void moreDemandOrWeightGivesNoLess() {
        for (int i = 0; i < CASES / 4; i++) {
            String run = "seed " + (SEED + i);
            SplittableRandom random = new SplittableRandom(SEED + i);
            Problem problem = problem(random);
            int[] before = totals(MaxMinFairAllocator.allocate(problem, null));
            int tenant = random.nextInt(problem.tenantCount());
            int engine = random.nextInt(problem.engineCount());
            problem.tenant(tenant).demand()[engine] += random.nextInt(1, 10);
            int[] more = totals(MaxMinFairAllocator.allocate(problem, null));
            assertTrue(
                    more[tenant] >= before[tenant],
                    run + ": demands more, has " + more[tenant] + " after " + before[tenant]);
            Problem weighted = withWeight(problem, tenant, problem.tenant(tenant).weight() * 3);
            int[] heavier = totals(MaxMinFairAllocator.allocate(weighted, null));
            assertTrue(
                    heavier[tenant] >= more[tenant],
                    run + ": weighs more, has " + heavier[tenant] + " after " + more[tenant]);
        }
    }

    @Test
    void aSmallChangeMovesFewSessions() {
        int worst = 0;
        int worstAfresh = 0;
        for (int i = 0; i < CASES / 4; i++) {
            String run = "seed " + (SEED + i);
            SplittableRandom random = new SplittableRandom(SEED + i);
            Problem problem = problem(random);
            int[][] before = MaxMinFairAllocator.allocate(problem, null);
            assertArrayEquals(
                    before,
                    MaxMinFairAllocator.allocate(problem, before),
                    run + ": nothing changed");
            int tenant = random.nextInt(problem.tenantCount());
            problem.tenant(tenant).demand()[random.nextInt(problem.engineCount())]++;
            int[][] after = MaxMinFairAllocator.allocate(problem, before);
            int[][] afresh = MaxMinFairAllocator.allocate(problem, null);
            assertWithinBounds(problem, after, run);
            assertArrayEquals(
                    totals(afresh),
                    totals(after),
                    run + ": the same totals, wherever they are placed");
            worst = Math.max(worst, moved(before, after));
            worstAfresh = Math.max(worstAfresh, moved(before, afresh));
        }
        System.out.println(
                "seed "
                        + SEED
                        + ": one more session of demand moves at most "
                        + worst
                        + " sessions, allocated afresh "
                        + worstAfresh);
        assertTrue(worst <= 12, "moves " + worst);
    }

    private static int moved(int[][] before, int[][] after) {
        int moved = 0;
        for (int tenant = 0; tenant < before.length; tenant++) {
            for (int engine = 0; engine < before[tenant].length; engine++) {
                moved += Math.abs(before[tenant][engine] - after[tenant][engine]);
            }
        }
        return moved;
    }
}
