// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

/** What waits for no engine in particular, as demand at each of them. Stateless. */
public final class QueuedDemand {
    private QueuedDemand() {}

    /**
     * In parts by the engines' caps, whole, and together just what waits; engines without a cap
     * have none.
     */
    public static int[] distribute(int waiting, int[] caps) {
        long sum = 0;
        for (int cap : caps) {
            sum += cap;
        }
        int[] out = new int[caps.length];
        long before = 0;
        for (int e = 0;
                e < caps.length && sum > 0;
                e++) { // Differences of rounded running sums: no remainder to place.
            long until = before + caps[e];
            out[e] = (int) (waiting * until / sum - waiting * before / sum);
            before = until;
        }
        return out;
    }
}
