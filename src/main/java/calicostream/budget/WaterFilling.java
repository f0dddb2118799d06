// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.IntPredicate;

/** Weighted water-filling in whole units. Stateless. */
final class WaterFilling {
    private WaterFilling() {}

    /**
     * Again and again the claimant with the least for its weight takes one unit more; who can't
     * take one is out for good.
     *
     * @param weights by claimant; who has none takes nothing
     * @param limits by claimant
     * @param given by claimant: what each has; updated
     * @param takesOne whether the claimant could take one unit more, which it then has
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
