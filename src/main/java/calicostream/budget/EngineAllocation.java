// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What one process may have in use at one engine's present incarnation, in sessions. Owned by a
 * {@link GrantLedger}.
 *
 * <p>A lowered grant counts at its old size until the process has acknowledged the new version, so
 * the sums of all versions that the process may still use are kept.
 */
final class EngineAllocation {
    /** Versions that are kept apart; beyond that the oldest two are counted as one. */
    private static final int MAX_VERSIONS = 16;

    /** The sum of all tenants' grants in one version. */
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

    /** Sessions at the last report, or the bound on them since the process fell silent. */
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

    /** The largest sum that any version allows which the process may still use. */
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

    /** Records the sum that was granted with a version. */
    void recordSum(long version, int sessions) {
        usableSums.add(new GrantedSum(version, sessions));
        if (usableSums.size() > MAX_VERSIONS) {
            // The larger of the two oldest stands for both: counts more, never less.
            GrantedSum oldest = usableSums.remove(0);
            GrantedSum next = usableSums.get(0);
            usableSums.set(
                    0,
                    new GrantedSum(next.version(), Math.max(next.sessions(), oldest.sessions())));
        }
    }

    /** The process uses that version: what it used before is over. */
    void acknowledge(long version) {
        while (usableSums.size() > 1 && usableSums.get(1).version() <= version) {
            usableSums.remove(0);
        }
    }

    /** What may be in use by this incarnation of the process and those before. */
    int committed(int floor) {
        return Math.max(floor, orphaned + Math.max(maxUsableSum(), inUse));
    }

    /** The most sessions that the present incarnation can truthfully report. */
    int maxReportable(int floor) {
        return Math.max(Math.max(floor - orphaned, maxUsableSum()), inUse);
    }

    /** Forgets the last report's figures, before those of the next are recorded. */
    void clearReport(long acknowledgedVersion) {
        inUse = 0;
        acknowledge(acknowledgedVersion);
        tenants.values().forEach(tenant -> tenant.setDemand(0));
    }

    /** Records a report's sessions; the number of orphaned ones only falls. */
    void recordUsage(int sessions, int orphanedAtMost) {
        inUse = sessions;
        boundOrphaned(orphanedAtMost);
    }

    void boundOrphaned(int sessions) {
        orphaned = Math.min(orphaned, sessions);
    }

    /** The process has ended; it may have left that many sessions running. */
    void orphan(int sessions) {
        orphaned = sessions;
        release();
    }

    /** The process has no sessions, grants or demand any more. */
    void release() {
        inUse = 0;
        revokeGrants();
        tenants.clear();
    }

    /** The grants have expired; whatever they allowed may still be in use, up to the bound. */
    void revokeWithUsageAtMost(int bound) {
        inUse = Math.min(Math.max(inUse, maxUsableSum()), bound);
        revokeGrants();
    }

    private void revokeGrants() {
        usableSums.clear();
        tenants.values().forEach(tenant -> tenant.setGranted(0));
    }
}
