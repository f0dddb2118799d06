// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.List;

/**
 * Distinguishes queries within the quota of their tenant from those over quota, with one token
 * bucket per tenant.
 */
final class TenantQuota {
    /** Capacity of a token bucket beyond the quota of one second. */
    private static final double BURST_QUERIES = 4;

    private static final double MICROS_PER_SECOND = 1e6;

    private final List<TenantLimit> tenants;
    private final CapacityEstimator capacity;
    private final double[] tokensByTenant;
    private long refilledAt;

    TenantQuota(List<TenantLimit> tenants, CapacityEstimator capacity) {
        this.tenants = tenants;
        this.capacity = capacity;
        tokensByTenant = new double[tenants.size()];
    }

    /**
     * Takes a token for a query.
     *
     * @return whether the tenant is within this gateway's share of its quota, which follows the
     *     gateway's estimated share of the traffic
     */
    boolean tryAcquire(long now, int tenant) {
        refill(now);
        if (tenant >= tokensByTenant.length) {
            return true;
        }
        boolean limited = tenants.get(tenant).queriesPerSecond() > 0;
        if (limited && tokensByTenant[tenant] < 1) {
            return false;
        }
        tokensByTenant[tenant]--;
        return true;
    }

    private void refill(long now) {
        double seconds = (now - refilledAt) / MICROS_PER_SECOND;
        double share = capacity.ownTrafficShare();
        refilledAt = now;
        for (int i = 0; i < tokensByTenant.length; i++) {
            double quota = tenants.get(i).queriesPerSecond() * share;
            double refilled = tokensByTenant[i] + quota * seconds;
            tokensByTenant[i] = Math.min(quota + BURST_QUERIES, refilled);
        }
    }
}
