// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

/**
 * One tenant's grant and demand at one engine in one process, in sessions. Owned by a {@link
 * GrantLedger}.
 */
final class TenantAllocation {
    private int granted;
    private int demand;

    int granted() {
        return granted;
    }

    int demand() {
        return demand;
    }

    void setGranted(int sessions) {
        granted = sessions;
    }

    void setDemand(int sessions) {
        demand = sessions;
    }
}
