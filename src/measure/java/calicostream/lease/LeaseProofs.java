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
 * The bounded models that check the leases, the models in which the lack of each safeguard shows,
 * and the randomized runs.
 */
public final class LeaseProofs {
    /** Leaders that change while a lease expires and is renewed. */
    private static final LeaseModelBounds LEADERS =
            LeaseModelBounds.of("leaders", 2)
                    .leaderChanges(2)
                    .renewals(1)
                    .clocks("fss", "sff", "eee");

    /** Renewals that race with the leader's expiry. */
    private static final LeaseModelBounds RENEWALS =
            LeaseModelBounds.of("renewals", 2).renewals(2).clocks("fss");

    /** A member that is paused between its check and its action. */
    private static final LeaseModelBounds RESOURCE =
            LeaseModelBounds.of("resource", 2).resourceActions(2).renewals(1).clocks("fss");

    /** Commands that are duplicated and repeated, and actions in the log. */
    private static final LeaseModelBounds LOG =
            LeaseModelBounds.of("log", 2).duplicates(1).logActions(1).clocks("fss");

    /** Likewise, as small as suffices to show the lack of a check. */
    private static final LeaseModelBounds FEW_ACTS =
            LeaseModelBounds.of("few acts", 2).resourceActions(1).clocks("eee");

    private static final LeaseModelBounds FEW_LOG_ACTS =
            LeaseModelBounds.of("few acts by the log", 2).logActions(1).clocks("eee");

    /** Planned stops, transfers, sessions that end. */
    private static final LeaseModelBounds STOPS =
            LeaseModelBounds.of("stops", 2).stops(1).sessionEnds(1).clocks("fss");

    /** Three members in the queue. */
    private static final LeaseModelBounds QUEUE = LeaseModelBounds.of("queue", 3).clocks("fsss");

    /**
     * A member's clock stands still and the leader's runs fast: only the fencing tokens are left as
     * protection.
     */
    private static final LeaseModelBounds CLOCKS =
            LeaseModelBounds.of("clocks out of bound", 2)
                    .resourceActions(2)
                    .logActions(1)
                    .clocks("f0s");

    private static final VoterModel.Bounds VOTERS = new VoterModel.Bounds(3, 2, 2, 2);
    private static final VoterModel.Bounds FEW_VOTERS = new VoterModel.Bounds(2, 2, 1, 2);

    /**
     * Sums over randomized runs.
     *
     * @param violations one line for each run that violated an invariant
     * @param faults number of injected faults
     * @param actions number of accepted actions
     * @param tokens number of grants
     * @param handoverP99 in times to live, where holders are killed as the only fault
     * @param handoverInFaultsP99 in times to live, under all faults
     */
    public record RunSummary(
            List<String> violations,
            long faults,
            long actions,
            long tokens,
            double handoverP99,
            double handoverInFaultsP99) {}

    private LeaseProofs() {}

    /** Runs with all faults, and a tenth as many in which kills of holders are the only fault. */
    public static RunSummary randomRuns(long firstSeed, int runs) {
        List<String> broken = new ArrayList<>();
        List<Double> inFaults = new ArrayList<>();
        List<Double> alone = new ArrayList<>();
        long faults = 0;
        long acts = 0;
        long tokens = 0;
        for (long seed = firstSeed; seed < firstSeed + runs; seed++) {
            RandomLeaseRun.Result result = RandomLeaseRun.randomFaults(seed, null);
            if (!result.violation().isEmpty()) {
                broken.add("seed " + seed + " " + result.violation());
            }
            faults += result.faults();
            acts += result.actions();
            tokens += result.tokens();
            inFaults.addAll(result.handoverTimes());
            if (seed % 10 == 0) {
                alone.addAll(RandomLeaseRun.killsOnly(seed).handoverTimes());
            }
        }
        return new RunSummary(broken, faults, acts, tokens, p99(alone), p99(inFaults));
    }

    private static double p99(List<Double> of) {
        return of.isEmpty()
                ? Double.NaN
                : of.stream().sorted().skip(of.size() * 99L / 100).findFirst().orElseThrow();
    }

    /** All models with all safeguards; created one at a time, as each takes much memory. */
    public static List<Supplier<Model>> completeModels() {
        return List.of(
                () -> new LeaseModel(LEADERS, null),
                () -> new LeaseModel(RENEWALS, null),
                () -> new LeaseModel(RESOURCE, null),
                () -> new LeaseModel(LOG, null),
                () -> new LeaseModel(STOPS, null),
                () -> new LeaseModel(QUEUE, null),
                () -> new LeaseModel(CLOCKS, null),
                () -> new VoterModel(FEW_VOTERS, null),
                () -> new VoterModel(VOTERS, null));
    }

    /** For each safeguard of the leases, a model without it, which must find a violation. */
    public static Map<Mutant, Model> modelsWithoutSafeguard() {
        Map<Mutant, Model> all = new EnumMap<>(Mutant.class);
        for (Mutant each : Mutant.values()) {
            switch (each) {
                case NEW_LEADER_DOES_NOT_WAIT -> all.put(each, new LeaseModel(LEADERS, each));
                case TOKEN_NOT_CHECKED -> all.put(each, new LeaseModel(FEW_ACTS, each));
                case LOG_TOKEN_NOT_CHECKED -> all.put(each, new LeaseModel(FEW_LOG_ACTS, each));
                case EXPIRY_FROM_ANSWER_TIME, DRIFT_NOT_COUNTED ->
                        all.put(each, new LeaseModel(RESOURCE, each));
                case SESSION_RETRIED_WITHOUT_NUMBER, TOKEN_LOST_IN_SNAPSHOT ->
                        all.put(each, new LeaseModel(LOG, each));
                case QUEUE_GRANT_NOT_CONFIRMED, LEASE_FREED_WITH_SESSION ->
                        all.put(each, new LeaseModel(STOPS, each));
                case EXPIRY_WITHOUT_RENEWALS -> all.put(each, new LeaseModel(RENEWALS, each));
                case VOTE_AFTER_AMNESIA ->
                        all.put(each, new VoterModel(new VoterModel.Bounds(2, 2, 1, 1), each));
                case GRANT_FREED_BEFORE_EXPIRY, CLOCK_STEP_COUNTED -> {
                    // Checked by the models of budgets and by cluster simulations.
                }
            }
        }
        return all;
    }
}
