// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.prove.Model;
import calicostream.prove.Mutant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The bounded models that check the leases, the models that detect the removal of each safeguard,
 * and the randomized runs.
 */
public final class LeaseProofs {
    /** Leader changes while a lease expires and is renewed. */
    private static final LeaseModelBounds LEADERS =
            LeaseModelBounds.withoutFaults("leaders", 2)
                    .leaderChanges(2)
                    .renewals(1)
                    .clocks("fss", "sff", "eee");

    /** Renewals that race with the leader's expiry. */
    private static final LeaseModelBounds RENEWALS =
            LeaseModelBounds.withoutFaults("renewals", 2).renewals(2).clocks("fss");

    /** A member that is paused between its check and its action. */
    private static final LeaseModelBounds RESOURCE =
            LeaseModelBounds.withoutFaults("resource", 2)
                    .resourceActions(2)
                    .renewals(1)
                    .clocks("fss");

    /** Duplicated and repeated commands, and actions in the log. */
    private static final LeaseModelBounds LOG =
            LeaseModelBounds.withoutFaults("log", 2).duplicates(1).logActions(1).clocks("fss");

    /** Small bounds that suffice to detect an unchecked token at the resource. */
    private static final LeaseModelBounds FEW_RESOURCE_ACTIONS =
            LeaseModelBounds.withoutFaults("few resource actions", 2)
                    .resourceActions(1)
                    .clocks("eee");

    /** Small bounds that suffice to detect an unchecked token in the log. */
    private static final LeaseModelBounds FEW_LOG_ACTIONS =
            LeaseModelBounds.withoutFaults("few log actions", 2).logActions(1).clocks("eee");

    /** Planned stops, transfers, and sessions that end. */
    private static final LeaseModelBounds STOPS =
            LeaseModelBounds.withoutFaults("stops", 2).stops(1).sessionEnds(1).clocks("fss");

    /** Three members that queue for the lease. */
    private static final LeaseModelBounds QUEUE =
            LeaseModelBounds.withoutFaults("queue", 3).clocks("fsss");

    /**
     * One member's clock is stopped and the leader's clock runs fast, so that only the fencing
     * tokens protect the resource and the log.
     */
    private static final LeaseModelBounds CLOCKS_OUT_OF_BOUND =
            LeaseModelBounds.withoutFaults("clocks out of bound", 2)
                    .resourceActions(2)
                    .logActions(1)
                    .clocks("f0s");

    private static final VoterModel.Bounds VOTERS = new VoterModel.Bounds(3, 2, 2, 2);
    private static final VoterModel.Bounds FEW_VOTERS = new VoterModel.Bounds(2, 2, 1, 2);

    /**
     * The combined results of randomized runs.
     *
     * @param violations one line for each run that violated an invariant
     * @param faults number of injected faults
     * @param actions number of accepted actions
     * @param tokens number of grants
     * @param handoverP99 99th percentile of the handover time, in times to live, in runs whose only
     *     fault is killing holders
     * @param handoverInFaultsP99 99th percentile of the handover time, in times to live, in runs
     *     with all faults
     */
    public record RunSummary(
            List<String> violations,
            long faults,
            long actions,
            long tokens,
            double handoverP99,
            double handoverInFaultsP99) {}

    private LeaseProofs() {}

    /**
     * Runs one simulation with all faults per seed, and for every tenth seed one whose only fault
     * is killing holders.
     */
    public static RunSummary randomRuns(long firstSeed, int runs) {
        List<String> violations = new ArrayList<>();
        List<Double> handoversUnderFaults = new ArrayList<>();
        List<Double> handoversAfterKills = new ArrayList<>();
        long faults = 0;
        long actions = 0;
        long tokens = 0;
        for (long seed = firstSeed; seed < firstSeed + runs; seed++) {
            RandomLeaseRun.Result result = RandomLeaseRun.randomFaults(seed, null);
            if (!result.violation().isEmpty()) {
                violations.add("seed " + seed + " " + result.violation());
            }
            faults += result.faults();
            actions += result.actions();
            tokens += result.tokens();
            handoversUnderFaults.addAll(result.handoverTimes());
            if (seed % 10 == 0) {
                handoversAfterKills.addAll(RandomLeaseRun.killsOnly(seed).handoverTimes());
            }
        }
        return new RunSummary(
                violations,
                faults,
                actions,
                tokens,
                p99(handoversAfterKills),
                p99(handoversUnderFaults));
    }

    private static double p99(List<Double> values) {
        return values.isEmpty()
                ? Double.NaN
                : values.stream()
                        .sorted()
                        .skip(values.size() * 99L / 100)
                        .findFirst()
                        .orElseThrow();
    }

    /**
     * All models with all safeguards. Suppliers, because each model takes much memory and is
     * created only when it is explored.
     */
    public static List<Supplier<Model>> completeModels() {
        return List.of(
                () -> new LeaseModel(LEADERS, null),
                () -> new LeaseModel(RENEWALS, null),
                () -> new LeaseModel(RESOURCE, null),
                () -> new LeaseModel(LOG, null),
                () -> new LeaseModel(STOPS, null),
                () -> new LeaseModel(QUEUE, null),
                () -> new LeaseModel(CLOCKS_OUT_OF_BOUND, null),
                () -> new VoterModel(FEW_VOTERS, null),
                () -> new VoterModel(VOTERS, null));
    }

    /**
     * For each safeguard of the leases, a model without it, in which the exploration must find a
     * violation.
     */
    public static Map<Mutant, Model> modelsWithoutSafeguard() {
        Map<Mutant, Model> models = new EnumMap<>(Mutant.class);
        for (Mutant safeguard : Mutant.values()) {
            switch (safeguard) {
                case NEW_LEADER_DOES_NOT_WAIT ->
                        models.put(safeguard, new LeaseModel(LEADERS, safeguard));
                case TOKEN_NOT_CHECKED ->
                        models.put(safeguard, new LeaseModel(FEW_RESOURCE_ACTIONS, safeguard));
                case LOG_TOKEN_NOT_CHECKED ->
                        models.put(safeguard, new LeaseModel(FEW_LOG_ACTIONS, safeguard));
                case EXPIRY_FROM_ANSWER_TIME, DRIFT_NOT_COUNTED ->
                        models.put(safeguard, new LeaseModel(RESOURCE, safeguard));
                case SESSION_RETRIED_WITHOUT_NUMBER, TOKEN_LOST_IN_SNAPSHOT ->
                        models.put(safeguard, new LeaseModel(LOG, safeguard));
                case QUEUE_GRANT_NOT_CONFIRMED, LEASE_FREED_WITH_SESSION ->
                        models.put(safeguard, new LeaseModel(STOPS, safeguard));
                case EXPIRY_WITHOUT_RENEWALS ->
                        models.put(safeguard, new LeaseModel(RENEWALS, safeguard));
                case VOTE_AFTER_AMNESIA ->
                        models.put(
                                safeguard,
                                new VoterModel(new VoterModel.Bounds(2, 2, 1, 1), safeguard));
                case GRANT_FREED_BEFORE_EXPIRY, CLOCK_STEP_COUNTED -> {
                    // Detected by the budget models and by cluster simulations.
                }
            }
        }
        return models;
    }
}
