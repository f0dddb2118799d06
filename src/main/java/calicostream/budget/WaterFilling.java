// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.IntPredicate;

/** Weighted water-filling in whole units. Stateless. */
final class WaterFilling {
    private WaterFilling() {}

    /**
     * Allocates one unit at a time to the claimant with the smallest allocation relative to its
     * weight. A claimant that cannot get one more unit is not considered again.
     *
     * @param weights by claimant; a claimant with weight 0 gets nothing
     * @param limits by claimant
     * @param allocated units by claimant; updated
     * @param allocateUnit allocates one more unit to the claimant; returns false if that is not
     *     possible
     */
    static void fill(int[] weights, int[] limits, int[] allocated, IntPredicate allocateUnit) {
        PriorityQueue<Integer> order =
                new PriorityQueue<>(byAllocationPerWeight(weights, allocated));
        for (int claimant = 0; claimant < weights.length; claimant++) {
            if (weights[claimant] > 0 && allocated[claimant] < limits[claimant]) {
                order.add(claimant);
            }
        }
        while (!order.isEmpty()) {
            int next = order.poll();
            if (allocateUnit.test(next)) {
                allocated[next]++;
                if (allocated[next] < limits[next]) {
                    order.add(next);
                }
            }
        }
    }

    /** Orders by (allocated + 1/2) / weight, which rounds to the nearest of the exact shares. */
    private static Comparator<Integer> byAllocationPerWeight(int[] weights, int[] allocated) {
        return (first, second) -> {
            int order =
                    Long.compare(
                            (2L * allocated[first] + 1) * weights[second],
                            (2L * allocated[second] + 1) * weights[first]);
            return order != 0 ? order : Integer.compare(first, second);
        };
    }
}
