// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.Arrays;
import java.util.function.IntToDoubleFunction;

/**
 * Computes the exact max-min fair allocation in real numbers, independently of {@link
 * MaxMinFairAllocator}. The most that a set of tenants can get together is a minimum cut, computed
 * for every set. The water level is raised by bisection until some set is saturated; its tenants
 * are then fixed. Exponential in the number of tenants; usable for up to about eight.
 */
final class MaxMinOracle {
    /**
     * Tolerances of the three phases, increasing so that a phase's excess is negligible in the
     * next.
     */
    private static final double[] TOLERANCES = {1e-9, 1e-7, 1e-5};

    private final MaxMinFairAllocator.Problem problem;
    private final int tenants;

    private MaxMinOracle(MaxMinFairAllocator.Problem problem) {
        this.problem = problem;
        this.tenants = problem.tenantCount();
    }

    /** The exact total of each tenant. */
    static double[] totals(MaxMinFairAllocator.Problem problem) {
        return new MaxMinOracle(problem).totals();
    }

    private double[] totals() {
        double[][] guaranteedInPool = new double[tenants][problem.poolCount()];
        double[] lower = new double[tenants];
        for (int k = 0; k < problem.poolCount(); k++) {
            int pool = k;
            double[] poolAllocation =
                    fill(
                            i -> problem.tenant(i).poolGuarantees()[pool],
                            new double[tenants],
                            i ->
                                    Math.min(
                                            problem.tenant(i).poolGuarantees()[pool],
                                            problem.tenant(i).poolCeilings()[pool]),
                            ranks(set -> poolCapacity(pool, set)),
                            TOLERANCES[0]);
            for (int t = 0; t < tenants; t++) {
                guaranteedInPool[t][k] = poolAllocation[t];
                lower[t] += poolAllocation[t];
            }
        }
        double[] ranks = ranks(set -> rank(set, guaranteedInPool));
        double[] guaranteed =
                fill(
                        t -> problem.tenant(t).guarantee(),
                        lower,
                        t -> Math.min(problem.tenant(t).guarantee(), problem.tenant(t).ceiling()),
                        ranks,
                        TOLERANCES[1]);
        return fill(
                t -> problem.tenant(t).weight(),
                guaranteed,
                t -> problem.tenant(t).ceiling(),
                ranks,
                TOLERANCES[2]);
    }

    private double[] ranks(IntToDoubleFunction rank) {
        double[] ranks = new double[1 << tenants];
        for (int set = 0; set < ranks.length; set++) {
            ranks[set] = rank.applyAsDouble(set);
        }
        return ranks;
    }

    /** The most that a set of tenants can get in a pool, without regard to ceilings. */
    private double poolCapacity(int pool, int set) {
        double engineCapacity = 0;
        for (int e = 0; e < problem.engineCount(); e++) {
            if (problem.poolByEngine()[e] == pool) {
                double demand = 0;
                for (int t = 0; t < tenants; t++) {
                    demand += (set >> t & 1) == 1 ? problem.tenant(t).demand()[e] : 0;
                }
                engineCapacity += Math.min(problem.caps()[e], demand);
            }
        }
        return Math.min(engineCapacity, problem.poolCaps()[pool]);
    }

    /**
     * The most that a set of tenants can get together while every tenant keeps its guaranteed
     * sessions in each pool: the minimum cut over all sets of tenants on the source side.
     */
    private double rank(int set, double[][] guaranteedInPool) {
        double rank = 0;
        for (int k = 0; k < problem.poolCount(); k++) {
            double minCut = Double.MAX_VALUE;
            for (int sourceSide = 0; sourceSide < 1 << tenants; sourceSide++) {
                double cut = poolCapacity(k, sourceSide);
                for (int t = 0; t < tenants; t++) {
                    boolean isInSet = (set >> t & 1) == 1;
                    boolean isOnSourceSide = (sourceSide >> t & 1) == 1;
                    cut +=
                            isInSet && !isOnSourceSide
                                    ? problem.tenant(t).poolCeilings()[k]
                                    : !isInSet && isOnSourceSide ? -guaranteedInPool[t][k] : 0;
                }
                minCut = Math.min(minCut, cut);
            }
            rank += minCut;
        }
        return rank;
    }

    private double[] fill(
            IntToDoubleFunction weight,
            double[] lower,
            IntToDoubleFunction upper,
            double[] ranks,
            double tolerance) {
        double[] allocated = lower.clone();
        boolean[] isUnsaturated = new boolean[tenants];
        for (int t = 0; t < tenants; t++) {
            isUnsaturated[t] = weight.applyAsDouble(t) > 0 && upper.applyAsDouble(t) > allocated[t];
        }
        double level = 0;
        while (containsTrue(isUnsaturated)) {
            double low = level;
            double high = 1e7;
            for (int i = 0; i < 100; i++) {
                double middle = (low + high) / 2;
                if (isFeasible(
                        allocationAtLevel(middle, weight, allocated, upper, isUnsaturated),
                        ranks,
                        tolerance)) {
                    low = middle;
                } else {
                    high = middle;
                }
            }
            level = low;
            allocated = allocationAtLevel(level, weight, allocated, upper, isUnsaturated);
            boolean[] stillUnsaturated = isUnsaturated.clone();
            for (int t = 0; t < tenants; t++) {
                double[] increased = allocated.clone();
                increased[t] += 100 * tolerance;
                if (isUnsaturated[t]
                        && (allocated[t] >= upper.applyAsDouble(t) - tolerance
                                || !isFeasible(increased, ranks, tolerance))) {
                    stillUnsaturated[t] = false;
                }
            }
            if (Arrays.equals(stillUnsaturated, isUnsaturated)) {
                throw new IllegalStateException("no tenant is saturated at level " + level);
            }
            isUnsaturated = stillUnsaturated;
        }
        return allocated;
    }

    private double[] allocationAtLevel(
            double level,
            IntToDoubleFunction weight,
            double[] allocated,
            IntToDoubleFunction upper,
            boolean[] isUnsaturated) {
        double[] raised = allocated.clone();
        for (int t = 0; t < tenants; t++) {
            if (isUnsaturated[t]) {
                raised[t] =
                        Math.max(
                                allocated[t],
                                Math.min(upper.applyAsDouble(t), level * weight.applyAsDouble(t)));
            }
        }
        return raised;
    }

    private boolean isFeasible(double[] totals, double[] ranks, double tolerance) {
        for (int set = 1; set < ranks.length; set++) {
            double sum = 0;
            for (int t = 0; t < tenants; t++) {
                sum += (set >> t & 1) == 1 ? totals[t] : 0;
            }
            if (sum > ranks[set] + tolerance) {
                return false;
            }
        }
        return true;
    }

    private static boolean containsTrue(boolean[] flags) {
        for (boolean flag : flags) {
            if (flag) {
                return true;
            }
        }
        return false;
    }
}
