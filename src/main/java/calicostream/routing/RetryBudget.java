// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.ArrayDeque;

/** Keeps retries within a ratio of the queries accepted in a sliding window. */
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

    /** Returns whether one more retry stays within the budget. */
    boolean allowsRetry(long now) {
        removeOld(now);
        return rules.retryBudgetWindowUs() <= 0 || retryTimes.size() + 1 <= limit();
    }

    private double limit() {
        return rules.retryBudgetFree() / processes.count()
                + rules.retryBudgetRatio() * queryTimes.size();
    }

    /** Forgets what has left the window. */
    void removeOld(long now) {
        removeBefore(queryTimes, now - rules.retryBudgetWindowUs() + 1);
        removeBefore(retryTimes, now - rules.retryBudgetWindowUs());
    }

    private static void removeBefore(ArrayDeque<Long> times, long start) {
        while (!times.isEmpty() && times.peek() < start) {
            times.poll();
        }
    }
}
