// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

/**
 * The kinds and rates of the faults that a simulation injects.
 *
 * @param isQuorumLost whether the log loses its quorum at times
 * @param lossProbability probability that a message to or from the log is lost
 * @param duplicateProbability probability that a message to or from the log is duplicated
 * @param stallProbability probability that a message is delayed by up to four seconds
 * @param kinds one bit per kind of fault, by its number in {@link FaultInjector}
 * @param intervalMillis time between two faults
 */
record FaultPlan(
        boolean isEnabled,
        boolean isQuorumLost,
        double lossProbability,
        double duplicateProbability,
        double stallProbability,
        int kinds,
        int intervalMillis) {
    static final int ALL_KINDS = (1 << FaultInjector.FAULT_KINDS) - 1;

    static final FaultPlan NONE = new FaultPlan(false, false, 0, 0, 0, 0, 0);
    static final FaultPlan ALL = new FaultPlan(true, true, 0.05, 0.05, 0.01, ALL_KINDS, 150);

    /** All but the loss of the quorum, without which the time to reclaim a grant is unbounded. */
    static final FaultPlan WITH_QUORUM =
            new FaultPlan(true, false, 0.05, 0.05, 0.01, ALL_KINDS, 150);
}
