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
     * A random problem of up to 6 tenants, 10 engines and 3 pools. Guarantees never exceed
     * ceilings; caps may or may not limit the allocation.
     */
    static Problem problem(SplittableRandom random) {
        int tenants = random.nextInt(1, 7);
        int engines = random.nextInt(1, 11);
        int pools = random.nextInt(1, 4);
        int[] caps = random.ints(engines, 0, 41).toArray();
        int[] poolByEngine = random.ints(engines, 0, pools).toArray();
        int[] poolCaps = new int[pools];
        for (int i = 0; i < pools; i++) {
            int pool = i;
            int sum =
                    IntStream.range(0, engines)
                            .filter(engine -> poolByEngine[engine] == pool)
                            .map(engine -> caps[engine])
                            .sum();
            poolCaps[pool] = random.nextInt(3) == 0 ? sum / 2 : sum + 10;
        }
        int[] weights = random.ints(tenants, 1, 11).toArray();
        List<TenantClaim> claims = new ArrayList<>();
        for (int weight : weights) {
            claims.add(claim(random, weight, engines, pools));
        }
        return new Problem(caps, poolByEngine, poolCaps, claims);
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
        return new Problem(problem.caps(), problem.poolByEngine(), problem.poolCaps(), claims);
    }

    static int[] totals(int[][] placements) {
        return Arrays.stream(placements).mapToInt(row -> Arrays.stream(row).sum()).toArray();
    }

    private static void assertWithinBounds(Problem problem, int[][] placements, String run) {
        int[] sessionsInPool = new int[problem.poolCount()];
        int[][] sessionsByTenant = new int[problem.tenantCount()][problem.poolCount()];
        for (int engine = 0; engine < problem.engineCount(); engine++) {
            int pool = problem.poolByEngine()[engine];
            int sum = 0;
            for (int tenant = 0; tenant < problem.tenantCount(); tenant++) {
                int sessions = placements[tenant][engine];
                assertTrue(
                        sessions >= 0 && sessions <= problem.tenant(tenant).demand()[engine],
                        run + ": over the demand");
                sum += sessions;
                sessionsByTenant[tenant][pool] += sessions;
            }
            sessionsInPool[pool] += sum;
            assertTrue(sum <= problem.caps()[engine], run + ": over the cap of engine " + engine);
        }
        for (int pool = 0; pool < sessionsInPool.length; pool++) {
            assertTrue(
                    sessionsInPool[pool] <= problem.poolCaps()[pool], run + ": over pool " + pool);
            for (int tenant = 0; tenant < problem.tenantCount(); tenant++) {
                assertTrue(
                        sessionsByTenant[tenant][pool]
                                <= problem.tenant(tenant).poolCeilings()[pool],
                        run + ": over a tenant's ceiling in pool " + pool);
            }
        }
        for (int tenant = 0; tenant < problem.tenantCount(); tenant++) {
            assertTrue(
                    Arrays.stream(sessionsByTenant[tenant]).sum()
                            <= problem.tenant(tenant).ceiling(),
                    run + ": over a tenant's ceiling");
        }
    }

    @Test
    void allocationIsWithinRoundingOfExactSolution() {
        double maxDeviation = 0;
        double maxRelativeDeviation = 0;
        for (int i = 0; i < CASES; i++) {
            String run = "seed " + (SEED + i);
            Problem problem = problem(new SplittableRandom(SEED + i));
            int[][] placements = MaxMinFairAllocator.allocate(problem, null);
            assertWithinBounds(problem, placements, run);
            int[] totals = totals(placements);
            double[] exactTotals = MaxMinOracle.totals(problem);
            for (int tenant = 0; tenant < totals.length; tenant++) {
                double deviation = Math.abs(totals[tenant] - exactTotals[tenant]);
                assertTrue(
                        deviation < 1.5,
                        run
                                + ": tenant "
                                + tenant
                                + " has "
                                + totals[tenant]
                                + ", exact share is "
                                + exactTotals[tenant]);
                maxDeviation = Math.max(maxDeviation, deviation);
                maxRelativeDeviation =
                        Math.max(
                                maxRelativeDeviation,
                                deviation / Math.max(exactTotals[tenant], 20));
            }
        }
        System.out.println(
                "seed "
                        + SEED
                        + ": largest deviation "
                        + maxDeviation
                        + " sessions, "
                        + maxRelativeDeviation
                        + " relative to a share of at least 20 sessions");
    }

    @Test
    void guaranteesAreMetBeforeWeightsApply() {
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
    void moreDemandOrWeightNeverReducesAllocation() {
        for (int i = 0; i < CASES / 4; i++) {
            String run = "seed " + (SEED + i);
            SplittableRandom random = new SplittableRandom(SEED + i);
            Problem problem = problem(random);
            int[] before = totals(MaxMinFairAllocator.allocate(problem, null));
            int tenant = random.nextInt(problem.tenantCount());
            int engine = random.nextInt(problem.engineCount());
            problem.tenant(tenant).demand()[engine] += random.nextInt(1, 10);
            int[] withMoreDemand = totals(MaxMinFairAllocator.allocate(problem, null));
            assertTrue(
                    withMoreDemand[tenant] >= before[tenant],
                    run
                            + ": more demand gives "
                            + withMoreDemand[tenant]
                            + " instead of "
                            + before[tenant]);
            Problem weighted = withWeight(problem, tenant, problem.tenant(tenant).weight() * 3);
            int[] withMoreWeight = totals(MaxMinFairAllocator.allocate(weighted, null));
            assertTrue(
                    withMoreWeight[tenant] >= withMoreDemand[tenant],
                    run
                            + ": more weight gives "
                            + withMoreWeight[tenant]
                            + " instead of "
                            + withMoreDemand[tenant]);
        }
    }

    @Test
    void smallDemandChangeMovesFewSessions() {
        int maxMoved = 0;
        int maxMovedFromScratch = 0;
        for (int i = 0; i < CASES / 4; i++) {
            String run = "seed " + (SEED + i);
            SplittableRandom random = new SplittableRandom(SEED + i);
            Problem problem = problem(random);
            int[][] before = MaxMinFairAllocator.allocate(problem, null);
            assertArrayEquals(
                    before,
                    MaxMinFairAllocator.allocate(problem, before),
                    run + ": same problem, same allocation");
            int tenant = random.nextInt(problem.tenantCount());
            problem.tenant(tenant).demand()[random.nextInt(problem.engineCount())]++;
            int[][] after = MaxMinFairAllocator.allocate(problem, before);
            int[][] fromScratch = MaxMinFairAllocator.allocate(problem, null);
            assertWithinBounds(problem, after, run);
            assertArrayEquals(
                    totals(fromScratch),
                    totals(after),
                    run + ": totals do not depend on the previous allocation");
            maxMoved = Math.max(maxMoved, movedSessions(before, after));
            maxMovedFromScratch = Math.max(maxMovedFromScratch, movedSessions(before, fromScratch));
        }
        System.out.println(
                "seed "
                        + SEED
                        + ": one more session of demand moves at most "
                        + maxMoved
                        + " sessions, allocated from scratch "
                        + maxMovedFromScratch);
        assertTrue(maxMoved <= 12, "moved sessions: " + maxMoved);
    }

    private static int movedSessions(int[][] before, int[][] after) {
        int moved = 0;
        for (int tenant = 0; tenant < before.length; tenant++) {
            for (int engine = 0; engine < before[tenant].length; engine++) {
                moved += Math.abs(before[tenant][engine] - after[tenant][engine]);
            }
        }
        return moved;
    }
}
