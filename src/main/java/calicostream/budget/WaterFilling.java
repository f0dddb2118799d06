// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.IntPredicate;

/** Weighted water-filling in whole units. Stateless. */
final class WaterFilling {
    private WaterFilling() {}

    /**
     * Gives one unit at a time to the claimant with the least for its weight; a claimant that can't
     * have one more is not considered again.
     *
     * @param weights by claimant; one without weight gets nothing
     * @param limits by claimant
     * @param given by claimant: what each has; updated
     * @param takesOne gives the claimant one unit more; false if it can't have one
     */
    static void fill(int[] weights, int[] limits, int[] given, IntPredicate takesOne) {
        PriorityQueue<Integer> order = new PriorityQueue<>(leastForItsWeightFirst(weights, given));
        for (int claimant = 0; claimant < weights.length; claimant++) {
            if (weights[claimant] > 0 && given[claimant] < limits[claimant]) {
                order.add(claimant);
            }
        }
        while (!order.isEmpty()) {
            int least = order.poll();
            if (takesOne.test(least)) {
                given[least]++;
                if (given[least] < limits[least]) {
                    order.add(least);
                }
            }
        }
    }

    /** By (given + 1/2) / weight, which rounds to the nearest of the real shares. */
    private static Comparator<Integer> leastForItsWeightFirst(int[] weights, int[] given) {
        return (one, other) -> {
            int order =
                    Long.compare(
                            (2L * given[one] + 1) * weights[other],
                            (2L * given[other] + 1) * weights[one]);
            return order != 0 ? order : Integer.compare(one, other);
        };
    }
}
