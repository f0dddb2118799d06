// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Rules that protect engines and ordered keys from the combined traffic of all gateways.
 *
 * @param slowStartShare share of its full capacity that an engine has while it warms up
 * @param slowStartMultiple work that may be sent to an engine in a window, relative to that
 *     capacity
 * @param slowStartWindowUs length of the slow-start window in microseconds
 * @param warmUpUs time from the start of an engine until it is warm, in microseconds
 * @param keyQuietPeriodUs quiet period in microseconds: time for which an ordered key is blocked
 *     after the end of an attempt that may still be running on its engine
 * @param retryBudgetMinimum retries allowed in a window regardless of the traffic
 * @param retryBudgetRatio additional retries, relative to the queries accepted in the window
 * @param retryBudgetWindowUs length of the retry budget's window in microseconds, 0 for no budget
 */
public record ProtectionRules(
        double slowStartShare,
        double slowStartMultiple,
        long slowStartWindowUs,
        long warmUpUs,
        long keyQuietPeriodUs,
        double retryBudgetMinimum,
        double retryBudgetRatio,
        long retryBudgetWindowUs) {}
