// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The sessions that one process may have in use at the current incarnation of one engine. Owned by
 * a {@link GrantLedger}.
 *
 * <p>A lowered grant counts at its old size until the process has acknowledged the new version.
 * Therefore the sum of grants is kept for each version that the process may still use.
 */
final class EngineAllocation {
    /** Versions that are kept; when there are more, the two oldest are merged. */
    private static final int MAX_VERSIONS = 16;

    /** The sum of all tenants' grants in one version of the grants. */
    record GrantedSum(long version, long sessions) {}

    private int orphaned;
    private int inUse;
    private final SortedMap<String, TenantAllocation> tenants = new TreeMap<>();
    private final List<GrantedSum> usableSums = new ArrayList<>();

    EngineAllocation() {}

    /** Restores an allocation from a snapshot; tenants and sums are added afterwards. */
    EngineAllocation(int orphaned, int inUse) {
        this.orphaned = orphaned;
        this.inUse = inUse;
    }

    /** Sessions that earlier incarnations of the process may have left running. */
    int orphaned() {
        return orphaned;
    }

    /** Sessions in the last report or, after the grants have expired, an upper bound on them. */
    int inUse() {
        return inUse;
    }

    /** By tenant name; unmodifiable. */
    SortedMap<String, TenantAllocation> tenants() {
        return Collections.unmodifiableSortedMap(tenants);
    }

    /** The tenant's entry, added if there was none. */
    TenantAllocation tenant(String name) {
        return tenants.computeIfAbsent(name, key -> new TenantAllocation());
    }

    /** Sessions granted to the tenant. */
    int granted(String tenant) {
        TenantAllocation allocation = tenants.get(tenant);
        return allocation == null ? 0 : allocation.granted();
    }

    /** Sessions granted to all tenants. */
    int granted() {
        return tenants.values().stream().mapToInt(TenantAllocation::granted).sum();
    }

    /** The largest sum of any version that the process may still use. */
    int maxUsableSum() {
        long max = 0;
        for (GrantedSum sum : usableSums) {
            max = Math.max(max, sum.sessions());
        }
        return (int) max;
    }

    /** Sums by version, oldest first; unmodifiable. */
    List<GrantedSum> usableSums() {
        return Collections.unmodifiableList(usableSums);
    }

    void restoreUsableSum(GrantedSum sum) {
        usableSums.add(sum);
    }

    /** Records the sum of grants in a new version. */
    void recordSum(long version, int sessions) {
        usableSums.add(new GrantedSum(version, sessions));
        if (usableSums.size() > MAX_VERSIONS) {
            // The merged entry has the larger sum, so it never underestimates the usage.
            GrantedSum oldest = usableSums.remove(0);
            GrantedSum secondOldest = usableSums.get(0);
            usableSums.set(
                    0,
                    new GrantedSum(
                            secondOldest.version(),
                            Math.max(secondOldest.sessions(), oldest.sessions())));
        }
    }

    /** The process uses this version, so the sums of older versions no longer count. */
    void acknowledge(long version) {
        while (usableSums.size() > 1 && usableSums.get(1).version() <= version) {
            usableSums.remove(0);
        }
    }

    /** Upper bound on the sessions in use by all incarnations of the process. */
    int committed(int floor) {
        return Math.max(floor, orphaned + Math.max(maxUsableSum(), inUse));
    }

    /** The most sessions that the current incarnation of the process can have in use. */
    int maxReportable(int floor) {
        return Math.max(Math.max(floor - orphaned, maxUsableSum()), inUse);
    }

    /** Clears the figures of the last report before those of the next are recorded. */
    void clearReport(long acknowledgedVersion) {
        inUse = 0;
        acknowledge(acknowledgedVersion);
        tenants.values().forEach(tenant -> tenant.setDemand(0));
    }

    /** Records the figures of a report; the bound on orphaned sessions never rises. */
    void recordUsage(int sessions, int maxOrphaned) {
        inUse = sessions;
        boundOrphaned(maxOrphaned);
    }

    void boundOrphaned(int sessions) {
        orphaned = Math.min(orphaned, sessions);
    }

    /** The current incarnation has ended and may have left this many sessions running. */
    void orphan(int sessions) {
        orphaned = sessions;
        release();
    }

    /** Clears sessions, grants and demand of the current incarnation. */
    void release() {
        inUse = 0;
        revokeGrants();
        tenants.clear();
    }

    /** Revokes expired grants; the sessions that they allowed may still run, up to the bound. */
    void revokeWithUsageAtMost(int bound) {
        inUse = Math.min(Math.max(inUse, maxUsableSum()), bound);
        revokeGrants();
    }

    private void revokeGrants() {
        usableSums.clear();
        tenants.values().forEach(tenant -> tenant.setGranted(0));
    }
}
