// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.Arrays;

/**
 * What the tenants of this process want at each engine, estimated from what they use and what
 * waits. It rises at once and falls only after the need has been lower by more than a band for a
 * whole hold, so that small changes move no grant. Owned by one thread; nanoseconds, sessions.
 */
public final class DemandEstimator {
    private final int tenants;
    private final long holdNanos;
    private int[] estimate = new int[0];
    private int[] peak = new int[0];
    private int[] former = new int[0];
    private long[] since = new long[0];

    /**
     * @param holdNanos for how long a lower need must last
     */
    public DemandEstimator(int tenants, long holdNanos) {
        this.tenants = tenants;
        this.holdNanos = holdNanos;
    }

    /**
     * What is used and what waits of a tenant at an engine now; told at least as often as reports
     * are sent.
     */
    public void observe(int tenant, int engine, int used, int waiting, long now) {
        int slot = engine * tenants + tenant;
        if (slot >= estimate.length) {
            int size = (engine + 1) * tenants;
            estimate = Arrays.copyOf(estimate, size);
            peak = Arrays.copyOf(peak, size);
            former = Arrays.copyOf(former, size);
            since = Arrays.copyOf(since, size);
        }
        int need = used + waiting;
        if (now - since[slot] >= holdNanos) {
            former[slot] = now - since[slot] >= 2 * holdNanos ? need : peak[slot];
            peak[slot] = need;
            since[slot] = now;
        }
        peak[slot] = Math.max(peak[slot], need);
        int lately = Math.max(peak[slot], former[slot]);
        int wanted =
                lately == 0
                        ? 0
                        : lately
                                + Math.max(1, lately / 8); // a little more than was needed, or none
        // could ever be lent ahead
        if (wanted > estimate[slot]
                || wanted < estimate[slot] - Math.max(1, estimate[slot] / 4)
                || wanted == 0) {
            estimate[slot] = wanted;
        }
    }

    public int estimate(int tenant, int engine) {
        int slot = engine * tenants + tenant;
        return slot < estimate.length ? estimate[slot] : 0;
    }
}
