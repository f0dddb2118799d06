// SPDX-License-Identifier: Apache-2.0
package calicostream.deployments;

import java.util.Map;
import java.util.TreeMap;

/** Broken rules by name, with the first case of each in words. */
final class RuleViolations {
    private final Map<String, Integer> counts = new TreeMap<>();
    private final Map<String, String> first = new TreeMap<>();

    void add(String rule, String what) {
        counts.merge(rule, 1, Integer::sum);
        first.putIfAbsent(rule, what);
    }

    int count() {
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }

    int count(String rule) {
        return counts.getOrDefault(rule, 0);
    }

    @Override
    public String toString() {
        StringBuilder out = new StringBuilder();
        counts.forEach(
                (rule, times) ->
                        out.append(rule)
                                .append(" x")
                                .append(times)
                                .append(" (")
                                .append(first.get(rule))
                                .append(") "));
        return out.toString().trim();
    }
}
