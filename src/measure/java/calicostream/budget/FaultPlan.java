// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

/**
 * Which faults a simulation injects, and how often.
 *
 * @param isQuorumLost whether the log loses its quorum at times
 * @param lossProbability of a message to or from the log
 * @param duplicateProbability of a message to or from the log
 * @param stallProbability that a message is delayed for seconds
 * @param kinds a bit for each kind of fault, see {@link FaultInjector}
 * @param intervalMillis between two faults
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

    /** All but the log's: a bound on time holds only while there is a quorum. */
    static final FaultPlan WITH_QUORUM =
            new FaultPlan(true, false, 0.05, 0.05, 0.01, ALL_KINDS, 150);
}
