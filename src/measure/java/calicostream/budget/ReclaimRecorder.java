// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.List;
import java.util.TreeMap;

/** Measures in virtual time how long it takes to reclaim a lowered grant. */
final class ReclaimRecorder {
    private final TreeMap<String, Long> loweredAt = new TreeMap<>();

    /**
     * Observes the ledger after a command and adds the times that have ended.
     *
     * @param reclaims receives the times until the process could no longer use the old grant
     * @param releases receives the times until the old grant's sessions had ended as well
     */
    void observe(GrantLedger ledger, long now, List<Long> reclaims, List<Long> releases) {
        for (ProcessEntry process : ledger.processes().values()) {
            process.allocations()
                    .forEach(
                            (engine, allocation) -> {
                                String key = process.name() + "@" + engine;
                                int granted = allocation.granted();
                                boolean isUsable = allocation.maxUsableSum() > granted;
                                record(key, isUsable, now, reclaims);
                                String releaseKey = key + " release";
                                int floor = ledger.floor(process.name(), engine);
                                int entitled = Math.max(granted, floor - allocation.orphaned());
                                boolean isInUse =
                                        loweredAt.containsKey(releaseKey)
                                                && allocation.inUse() > entitled;
                                record(releaseKey, isUsable || isInUse, now, releases);
                            });
        }
    }

    private void record(String key, boolean isPending, long now, List<Long> times) {
        if (isPending) {
            loweredAt.putIfAbsent(key, now);
        } else if (loweredAt.containsKey(key)) {
            times.add(now - loweredAt.remove(key));
        }
    }
}
