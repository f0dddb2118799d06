// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.TreeMap;
import java.util.function.Predicate;

/** Holds the table groups in use and the work requested for each. */
final class TableGroups {
    /** Time after which an unused group is removed; longer than any deadline. */
    static final long GROUP_IDLE_MICROS = 60_000_000;

    private final TreeMap<Integer, TableGroup> groups = new TreeMap<>();
    private final DecayingSum requestedWork = new DecayingSum();

    TableGroup findOrCreate(long now, int number) {
        TableGroup group = groups.computeIfAbsent(number, TableGroup::new);
        group.recordUse(now);
        return group;
    }

    /** Records the expected work of an accepted query for its group. */
    void recordRequest(long now, QueryState query) {
        double workMicros =
                Math.min(query.expectedWorkMicros(), query.statistics().typicalWorkMicros());
        query.tableGroup().requestedWork().add(now, workMicros);
        requestedWork.add(now, workMicros);
    }

    /** Returns the group's share of the recently requested work. */
    double workShare(long now, TableGroup group) {
        return group.requestedWork().get(now) / Math.max(1, requestedWork.get(now));
    }

    void removeAffinityIf(Predicate<Long> isUnavailable) {
        groups.values().forEach(group -> group.removeAffinityIf(isUnavailable));
    }

    /** Removes unused groups; clients may use any number of groups. */
    void removeIdle(long now) {
        groups.values().removeIf(group -> group.isIdle(now, GROUP_IDLE_MICROS));
    }

    int size() {
        return groups.size();
    }
}
