// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

/**
 * Attributes requests that are queued for no particular engine to engines, as demand. Stateless.
 */
public final class QueuedDemand {
    private QueuedDemand() {}

    /**
     * Distributes queued requests in proportion to the engines' caps, as whole numbers that sum up
     * to just what is queued.
     *
     * @param caps by engine; one without a cap gets none, and if no engine has one, none does
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
        // Differences of rounded running sums leave no remainder to distribute.
        long before = 0;
        for (int engine = 0; engine < caps.length; engine++) {
            long until = before + caps[engine];
            distributed[engine] = (int) (queued * until / capSum - queued * before / capSum);
            before = until;
        }
        return distributed;
    }
}
