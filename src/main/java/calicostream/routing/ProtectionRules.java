// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Figures of the rules; {@code rationWindowUs} 0: further attempts are not rationed. */
public record ProtectionRules(
        double slowStartShare,
        double slowStartMultiple,
        long slowStartWindowUs,
        long warmUpUs,
        long keyQuietPeriodUs,
        double retryBudgetFree,
        double retryBudgetRatio,
        long retryBudgetWindowUs) {}
