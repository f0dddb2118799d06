// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.Arrays;
import java.util.function.IntToDoubleFunction;

/**
 * The fair division as real numbers, by another way than {@link MaxMinFairAllocator}: what any set
 * of tenants can have together is the least cut round it, over all sets; the level is raised by
 * bisection until a set is full, whose tenants then stay. Slow: for up to some eight tenants.
 */
final class MaxMinOracle {
    /** What is given too much in one phase must be nothing to the next. */
    private static final double[] EXACT = {1e-9, 1e-7, 1e-5};

    private final MaxMinFairAllocator.Problem problem;
    private final int tenants;

    private MaxMinOracle(MaxMinFairAllocator.Problem problem) {
        this.problem = problem;
        this.tenants = problem.tenantCount();
    }

    /** What each tenant has in all. */
    static double[] totals(MaxMinFairAllocator.Problem problem) {
        return new MaxMinOracle(problem).totals();
    }

    private double[] totals() {
        double[][] kept = new double[tenants][problem.poolCount()];
        double[] lower = new double[tenants];
        for (int k = 0; k < problem.poolCount(); k++) {
            int pool = k;
            double[] promised =
                    fill(
                            i -> problem.tenant(i).poolGuarantees()[pool],
                            new double[tenants],
                            i ->
                                    Math.min(
                                            problem.tenant(i).poolGuarantees()[pool],
                                            problem.tenant(i).poolCeilings()[pool]),
                            ranks(set -> within(pool, set)),
                            EXACT[0]);
            for (int t = 0; t < tenants; t++) {
                kept[t][k] = promised[t];
                lower[t] += promised[t];
            }
        }
        double[] ranks = ranks(set -> rank(set, kept));
        double[] guaranteed =
                fill(
                        t -> problem.tenant(t).guarantee(),
                        lower,
                        t -> Math.min(problem.tenant(t).guarantee(), problem.tenant(t).ceiling()),
                        ranks,
                        EXACT[1]);
        return fill(
                t -> problem.tenant(t).weight(),
                guaranteed,
                t -> problem.tenant(t).ceiling(),
                ranks,
                EXACT[2]);
    }

    private double[] ranks(IntToDoubleFunction rank) {
        double[] ranks = new double[1 << tenants];
        for (int set = 0; set < ranks.length; set++) {
            ranks[set] = rank.applyAsDouble(set);
        }
        return ranks;
    }

    /** What the engines of a pool have for these tenants. */
    private double within(int pool, int set) {
        double engines = 0;
        for (int e = 0; e < problem.engineCount(); e++) {
            if (problem.poolOf()[e] == pool) {
                double wanted = 0;
                for (int t = 0; t < tenants; t++) {
                    wanted += (set >> t & 1) == 1 ? problem.tenant(t).demand()[e] : 0;
                }
                engines += Math.min(problem.caps()[e], wanted);
            }
        }
        return Math.min(engines, problem.poolCaps()[pool]);
    }

    /**
     * The most that these tenants can have together while each tenant keeps what it was guaranteed
     * in each pool.
     */
    private double rank(int set, double[][] kept) {
        double rank = 0;
        for (int k = 0; k < problem.poolCount(); k++) {
            double least = Double.MAX_VALUE;
            for (int reached = 0; reached < 1 << tenants; reached++) {
                double cut = within(k, reached);
                for (int t = 0; t < tenants; t++) {
                    boolean in = (set >> t & 1) == 1;
                    boolean reaches = (reached >> t & 1) == 1;
                    cut +=
                            in && !reaches
                                    ? problem.tenant(t).poolCeilings()[k]
                                    : !in && reaches ? -kept[t][k] : 0;
                }
                least = Math.min(least, cut);
            }
            rank += least;
        }
        return rank;
    }

    private double[] fill(
            IntToDoubleFunction weight,
            double[] lower,
            IntToDoubleFunction upper,
            double[] ranks,
            double exact) {
        double[] given = lower.clone();
        boolean[] still = new boolean[tenants];
        for (int t = 0; t < tenants; t++) {
            still[t] = weight.applyAsDouble(t) > 0 && upper.applyAsDouble(t) > given[t];
        }
        double level = 0;
        while (any(still)) {
            double low = level;
            double high = 1e7;
            for (int i = 0; i < 100; i++) {
                double middle = (low + high) / 2;
                if (fits(at(middle, weight, given, upper, still), ranks, exact)) {
                    low = middle;
                } else {
                    high = middle;
                }
            }
            level = low;
            given = at(level, weight, given, upper, still);
            boolean[] next = still.clone();
            for (int t = 0; t < tenants; t++) {
                double[] more = given.clone();
                more[t] += 100 * exact;
                if (still[t]
                        && (given[t] >= upper.applyAsDouble(t) - exact
                                || !fits(more, ranks, exact))) {
                    next[t] = false;
                }
            }
            if (Arrays.equals(next, still)) {
                throw new IllegalStateException("nobody is full at level " + level);
            }
            still = next;
        }
        return given;
    }

    private double[] at(
            double level,
            IntToDoubleFunction weight,
            double[] given,
            IntToDoubleFunction upper,
            boolean[] still) {
        double[] then = given.clone();
        for (int t = 0; t < tenants; t++) {
            if (still[t]) {
                then[t] =
                        Math.max(
                                given[t],
                                Math.min(upper.applyAsDouble(t), level * weight.applyAsDouble(t)));
            }
        }
        return then;
    }

    private boolean fits(double[] totals, double[] ranks, double exact) {
        for (int set = 1; set < ranks.length; set++) {
            double sum = 0;
            for (int t = 0; t < tenants; t++) {
                sum += (set >> t & 1) == 1 ? totals[t] : 0;
            }
            if (sum > ranks[set] + exact) {
                return false;
            }
        }
        return true;
    }

    private static boolean any(boolean[] flags) {
        for (boolean flag : flags) {
            if (flag) {
                return true;
            }
        }
        return false;
    }
}
