// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

/**
 * Distributes requests that are not queued for a specific engine among the engines, as demand.
 * Stateless.
 */
public final class QueuedDemand {
    private QueuedDemand() {}

    /**
     * Distributes queued requests in proportion to the engines' caps, in whole numbers whose sum is
     * the number of queued requests.
     *
     * @param caps by engine; an engine with cap 0 gets no requests, and if all caps are 0, no
     *     requests are distributed
     * @return requests by engine
     */
    public static int[] distribute(int queued, int[] caps) {
        long capSum = 0;
        for (int cap : caps) {
            capSum += cap;
        }
        int[] distributed = new int[caps.length];
        if (capSum == 0) {
            return distributed;
        }
        // Differences of rounded prefix sums add up exactly, so no remainder is left to distribute.
        long capSumBefore = 0;
        for (int engine = 0; engine < caps.length; engine++) {
            long capSumThrough = capSumBefore + caps[engine];
            distributed[engine] =
                    (int) (queued * capSumThrough / capSum - queued * capSumBefore / capSum);
            capSumBefore = capSumThrough;
        }
        return distributed;
    }
}
