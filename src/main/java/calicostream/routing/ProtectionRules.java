// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Rules that protect engines and keys from what gateways do together.
 *
 * @param slowStartShare part of its full capacity that an engine has while it warms up
 * @param slowStartMultiple work that an engine may be sent in a window, relative to that capacity
 * @param slowStartWindowUs length of the window in microseconds
 * @param warmUpUs time from an engine's start until it is warm, in microseconds
 * @param keyQuietPeriodUs time in which no query of a key starts after an attempt of the same key
 *     that may still run, in microseconds
 * @param retryBudgetFree retries that are allowed in a window whatever the traffic
 * @param retryBudgetRatio further retries, relative to the accepted queries of the window
 * @param retryBudgetWindowUs length of that window in microseconds, 0 for no budget
 */
public record ProtectionRules(
        double slowStartShare,
        double slowStartMultiple,
        long slowStartWindowUs,
        long warmUpUs,
        long keyQuietPeriodUs,
        double retryBudgetFree,
        double retryBudgetRatio,
        long retryBudgetWindowUs) {}
