// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class MaxMinFairAllocatorTest {
    private static final long SEED = 20261202;
    private static final int CASES = 4_000;

    /**
     * Up to 6 tenants, 10 engines and 3 tiers, guarantees under ceilings, caps that bind or do not.
     */
    static MaxMinFairAllocator.Problem problem(SplittableRandom random) {
        int tenants = random.nextInt(1, 7);
        int engines = random.nextInt(1, 11);
        int tiers = random.nextInt(1, 4);
        int[] caps = random.ints(engines, 0, 41).toArray();
        int[] tierOf = random.ints(engines, 0, tiers).toArray();
        int[] tierCaps = new int[tiers];
        for (int k = 0; k < tiers; k++) {
            int tier = k;
            int sum =
                    java.util.stream.IntStream.range(0, engines)
                            .filter(e -> tierOf[e] == tier)
                            .map(e -> caps[e])
                            .sum();
            tierCaps[k] = random.nextInt(3) == 0 ? sum / 2 : sum + 10;
        }
        int[] weights = random.ints(tenants, 1, 11).toArray();
        int[][] wanted = new int[tenants][];
        int[][] guarantees = new int[tenants][tiers];
        int[][] ceilings = new int[tenants][tiers];
        int[] overall = new int[tenants];
        int[] ceiling = new int[tenants];
        for (int t = 0; t < tenants; t++) {
            int most = random.nextInt(1, 60);
            wanted[t] = random.ints(engines, 0, most).toArray();
            for (int k = 0; k < tiers; k++) {
                guarantees[t][k] = random.nextInt(3) == 0 ? random.nextInt(30) : 0;
                ceilings[t][k] = guarantees[t][k] + random.nextInt(random.nextBoolean() ? 30 : 500);
            }
            int sum = Arrays.stream(guarantees[t]).sum();
            overall[t] = random.nextInt(3) == 0 ? random.nextInt(60) : 0;
            ceiling[t] =
                    Math.max(sum, overall[t]) + random.nextInt(random.nextBoolean() ? 60 : 500);
        }
        return new MaxMinFairAllocator.Problem(
                caps, tierOf, tierCaps, weights, wanted, guarantees, ceilings, overall, ceiling);
    }

    static int[] totals(int[][] placed) {
        return Arrays.stream(placed).mapToInt(row -> Arrays.stream(row).sum()).toArray();
    }

    private static void assertLawful(
            MaxMinFairAllocator.Problem problem, int[][] placed, String what) {
        int[] tier = new int[problem.pools()];
        int[][] own = new int[problem.tenants()][problem.pools()];
        for (int e = 0; e < problem.engines(); e++) {
            int sum = 0;
            for (int t = 0; t < problem.tenants(); t++) {
                assertTrue(
                        placed[t][e] >= 0 && placed[t][e] <= problem.demand()[t][e],
                        what + ": more than wanted");
                sum += placed[t][e];
                own[t][problem.poolOf()[e]] += placed[t][e];
            }
            tier[problem.poolOf()[e]] += sum;
            assertTrue(sum <= problem.caps()[e], what + ": over the cap of engine " + e);
        }
        for (int k = 0; k < tier.length; k++) {
            assertTrue(tier[k] <= problem.poolCaps()[k], what + ": over tier " + k);
            for (int t = 0; t < problem.tenants(); t++) {
                assertTrue(
                        own[t][k] <= problem.poolCeilings()[t][k],
                        what + ": over a tenant's ceiling in tier " + k);
            }
        }
        for (int t = 0; t < problem.tenants(); t++) {
            assertTrue(
                    Arrays.stream(own[t]).sum() <= problem.ceilings()[t],
                    what + ": over a tenant's ceiling");
        }
    }

    @Test
    void isAsNearToTheAllSeeingDivisionAsWholeSessionsAllow() {
        double largest = 0;
        double relative = 0;
        for (int i = 0; i < CASES; i++) {
            MaxMinFairAllocator.Problem problem = problem(new SplittableRandom(SEED + i));
            int[][] placed = MaxMinFairAllocator.allocate(problem, null);
            assertLawful(problem, placed, "seed " + (SEED + i));
            int[] has = totals(placed);
            double[] fair = MaxMinOracle.totals(problem);
            for (int t = 0; t < has.length; t++) {
                double apart = Math.abs(has[t] - fair[t]);
                assertTrue(
                        apart < 1.5,
                        "seed "
                                + (SEED + i)
                                + ": tenant "
                                + t
                                + " has "
                                + has[t]
                                + ", fair are "
                                + fair[t]);
                largest = Math.max(largest, apart);
                relative = Math.max(relative, apart / Math.max(fair[t], 20));
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
        MaxMinFairAllocator.Problem problem =
                new MaxMinFairAllocator.Problem(
                        new int[] {20, 20},
                        new int[] {0, 0},
                        new int[] {40},
                        new int[] {1, 1_000},
                        new int[][] {{20, 20}, {20, 20}},
                        new int[][] {{0}, {0}},
                        new int[][] {{40}, {40}},
                        new int[] {12, 0},
                        new int[] {40, 40});
        assertArrayEquals(new int[] {12, 28}, totals(MaxMinFairAllocator.allocate(problem, null)));
    }

    @Test
    void whoWantsOrWeighsMoreHasNoLess() {
        for (int i = 0; i < CASES / 4; i++) {
            SplittableRandom random = new SplittableRandom(SEED + i);
            MaxMinFairAllocator.Problem problem = problem(random);
            int[] before = totals(MaxMinFairAllocator.allocate(problem, null));
            int t = random.nextInt(problem.tenants());
            int e = random.nextInt(problem.engines());
            problem.demand()[t][e] += random.nextInt(1, 10);
            int[] more = totals(MaxMinFairAllocator.allocate(problem, null));
            assertTrue(
                    more[t] >= before[t],
                    "seed " + (SEED + i) + ": wants more, has " + more[t] + " after " + before[t]);
            problem.weights()[t] *= 3;
            int[] heavier = totals(MaxMinFairAllocator.allocate(problem, null));
            assertTrue(
                    heavier[t] >= more[t],
                    "seed "
                            + (SEED + i)
                            + ": weighs more, has "
                            + heavier[t]
                            + " after "
                            + more[t]);
        }
    }

    @Test
    void aSmallChangeMovesLittle() {
        int worst = 0;
        int worstAfresh = 0;
        for (int i = 0; i < CASES / 4; i++) {
            SplittableRandom random = new SplittableRandom(SEED + i);
            MaxMinFairAllocator.Problem problem = problem(random);
            int[][] before = MaxMinFairAllocator.allocate(problem, null);
            assertArrayEquals(
                    before,
                    MaxMinFairAllocator.allocate(problem, before),
                    "seed " + (SEED + i) + ": nothing changed");
            problem.demand()[random.nextInt(problem.tenants())][
                    random.nextInt(problem.engines())]++;
            int[][] after = MaxMinFairAllocator.allocate(problem, before);
            int[][] afresh = MaxMinFairAllocator.allocate(problem, null);
            assertLawful(problem, after, "seed " + (SEED + i));
            assertArrayEquals(
                    totals(afresh),
                    totals(after),
                    "seed " + (SEED + i) + ": the same shares, wherever they are placed");
            worst = Math.max(worst, moved(before, after));
            worstAfresh = Math.max(worstAfresh, moved(before, afresh));
        }
        System.out.println(
                "seed "
                        + SEED
                        + ": one more wanted moves at most "
                        + worst
                        + " sessions, divided afresh "
                        + worstAfresh);
        assertTrue(worst <= 12, "moves " + worst);
    }

    private static int moved(int[][] before, int[][] after) {
        int moved = 0;
        for (int t = 0; t < before.length; t++) {
            for (int e = 0; e < before[t].length; e++) {
                moved += Math.abs(before[t][e] - after[t][e]);
            }
        }
        return moved;
    }
}
