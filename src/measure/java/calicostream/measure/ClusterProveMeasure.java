// SPDX-License-Identifier: Apache-2.0
package calicostream.measure;

import calicostream.budget.BudgetSimulations;
import calicostream.cluster.sim.ClusterProofs;
import calicostream.lease.LeaseProofs;
import calicostream.prove.Explorer;
import calicostream.prove.Model;
import calicostream.prove.Mutant;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.IntStream;

/**
 * The proofs of the whole cluster: six tenths of the runs are clusters under faults, two are
 * leases, two are budgets, all in virtual time from one seed on; then the models of leases and
 * voters with everything in place, and each safeguard taken out in turn. The last line holds the
 * figures. Arguments: the first seed, how many runs in all. Threads: those of the common pool; the
 * figures don't depend on them.
 */
public final class ClusterProveMeasure {
    private static final long MOST = 3_000_000;

    /** Runs given to a thread at a time. */
    private static final int PIECE = 20;

    /** Runs without a safeguard until it counts as not found. */
    private static final int TRIES = 400;

    /**
     * What random runs of budgets find; directed histories ({@code SafeguardsTest}) find every one.
     */
    private static final List<String> BUDGET = List.of("GRANT_HELD_TO_EXPIRY");

    private static long states;
    private static int violations;
    private static int mutants;
    private static int found;

    private ClusterProveMeasure() {}

    public static void main(String[] args) {
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "off");
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        int n = args.length > 1 ? Integer.parseInt(args[1]) : 10_000;
        int leases = n / 5;
        int budgets = n / 5;
        int clusters = n - leases - budgets;
        long from = System.nanoTime();

        ClusterProofs.Runs inCluster = ClusterProofs.run(seed, clusters);
        System.out.println(
                "clusters: "
                        + inCluster.runs()
                        + " runs, "
                        + inCluster.steps()
                        + " steps, "
                        + inCluster.acknowledged()
                        + " commands, "
                        + inCluster.changes()
                        + " changes of voters, hash "
                        + inCluster.hash()
                        + ", "
                        + inCluster.faults()
                        + seconds(from));
        broken(inCluster.broken());
        if (!inCluster.broken().isEmpty()) {
            long failing = Long.parseLong(inCluster.broken().get(0).split(" ")[1]);
            System.out.println("seed " + failing + " needs " + ClusterProofs.minimized(failing));
        }
        List<LeaseProofs.RunSummary> inLeases =
                pieces(leases)
                        .mapToObj(
                                at ->
                                        LeaseProofs.randomRuns(
                                                seed + at, Math.min(PIECE, leases - at)))
                        .toList();
        inLeases.forEach(each -> broken(each.violations()));
        long leaseFaults = inLeases.stream().mapToLong(LeaseProofs.RunSummary::faults).sum();
        System.out.println(
                "leases: " + leases + " runs, " + leaseFaults + " faults" + seconds(from));
        List<BudgetSimulations.FaultyRuns> inBudgets =
                pieces(budgets)
                        .mapToObj(
                                at ->
                                        BudgetSimulations.runWithFaults(
                                                seed + at,
                                                at / PIECE % 2 == 0,
                                                Math.min(PIECE, budgets - at),
                                                Long.MAX_VALUE))
                        .toList();
        inBudgets.stream()
                .filter(each -> each.violations() > 0)
                .forEach(
                        each ->
                                broken(
                                        List.of(
                                                each.violations()
                                                        + " budgets broken, first "
                                                        + each.firstViolation())));
        long budgetFaults =
                inBudgets.stream().mapToLong(BudgetSimulations.FaultyRuns::faults).sum();
        System.out.println(
                "budgets: " + budgets + " runs, " + budgetFaults + " faults" + seconds(from));

        for (Supplier<Model> each : LeaseProofs.completeModels()) {
            Explorer.Result result = explore("", each.get());
            broken(result.violation() == null ? List.of() : List.of(result.toString()));
        }
        for (Map.Entry<Mutant, Model> each :
                new TreeMap<>(LeaseProofs.modelsWithoutSafeguard()).entrySet()) {
            mutant(
                    "model without " + each.getKey(),
                    explore(each.getKey() + ", ", each.getValue()).violation() != null);
        }
        for (String each : ClusterProofs.safeguards()) {
            mutant("clusters without " + each, ClusterProofs.found(each, seed, TRIES) >= 0);
        }
        for (String each : BUDGET) {
            mutant(
                    "budgets without " + each,
                    BudgetSimulations.firstSeedViolating(each, seed, TRIES) >= 0);
        }
        System.out.println("all" + seconds(from));
        System.out.println(
                "prove sim_runs="
                        + (clusters + leases + budgets)
                        + " faults_injected="
                        + (inCluster.injected() + leaseFaults + budgetFaults)
                        + " states_checked="
                        + states
                        + " mutants="
                        + mutants
                        + " mutants_found="
                        + found
                        + " violations="
                        + violations
                        + " seed="
                        + seed);
    }

    private static IntStream pieces(int runs) {
        return IntStream.range(0, (runs + PIECE - 1) / PIECE)
                .map(piece -> piece * PIECE)
                .parallel();
    }

    private static Explorer.Result explore(String before, Model model) {
        Explorer.Result result = Explorer.explore(model, MOST);
        System.out.println(before + result);
        states += result.states();
        return result;
    }

    private static void broken(List<String> what) {
        violations += what.size();
        what.stream().limit(5).forEach(each -> System.out.println("BROKEN " + each));
    }

    private static void mutant(String what, boolean isFound) {
        mutants++;
        found += isFound ? 1 : 0;
        System.out.println(what + (isFound ? ": found" : ": NOT found"));
    }

    private static String seconds(long from) {
        return ", " + (System.nanoTime() - from) / 1_000_000_000 + " s since the start";
    }
}
