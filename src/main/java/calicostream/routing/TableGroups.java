// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.TreeMap;
import java.util.function.Predicate;

/** Holds the table groups in use and the work requested of each. */
final class TableGroups {
    /** Time until an unused group is forgotten: longer than any deadline. */
    static final long GROUP_IDLE_MICROS = 60_000_000;

    private final TreeMap<Integer, TableGroup> groups = new TreeMap<>();
    private final DecayingSum requestedWork = new DecayingSum();

    TableGroup use(long now, int number) {
        TableGroup group = groups.computeIfAbsent(number, TableGroup::new);
        group.use(now);
        return group;
    }

    /** Takes in an accepted query of a group. */
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

    /** Forgets unused groups: clients may name any number of them. */
    void removeIdle(long now) {
        groups.values().removeIf(group -> group.isIdle(now, GROUP_IDLE_MICROS));
    }

    int size() {
        return groups.size();
    }
}
