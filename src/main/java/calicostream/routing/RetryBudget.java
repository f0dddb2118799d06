// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.ArrayDeque;

/** Limits retries to a ratio of the queries accepted in a sliding window, plus a fixed number. */
final class RetryBudget {
    private final ProtectionRules rules;
    private final GatewayProcesses processes;
    private final ArrayDeque<Long> queryTimes = new ArrayDeque<>();
    private final ArrayDeque<Long> retryTimes = new ArrayDeque<>();

    RetryBudget(ProtectionRules rules, GatewayProcesses processes) {
        this.rules = rules;
        this.processes = processes;
    }

    void recordQuery(long now) {
        queryTimes.add(now);
    }

    void recordRetry(long now) {
        retryTimes.add(now);
    }

    /** Returns whether another retry is within the budget. */
    boolean allowsRetry(long now) {
        removeExpired(now);
        return rules.retryBudgetWindowUs() <= 0 || retryTimes.size() + 1 <= limit();
    }

    private double limit() {
        return rules.retryBudgetMinimum() / processes.count()
                + rules.retryBudgetRatio() * queryTimes.size();
    }

    /** Removes entries that are older than the window. */
    void removeExpired(long now) {
        removeBefore(queryTimes, now - rules.retryBudgetWindowUs() + 1);
        removeBefore(retryTimes, now - rules.retryBudgetWindowUs());
    }

    private static void removeBefore(ArrayDeque<Long> times, long start) {
        while (!times.isEmpty() && times.peek() < start) {
            times.poll();
        }
    }
}
