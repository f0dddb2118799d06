// SPDX-License-Identifier: Apache-2.0
package calicostream.measure;

import calicostream.lease.LeaseProofs;
import calicostream.prove.Explorer;
import calicostream.prove.Model;
import calicostream.prove.Mutant;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * Explores the models with everything in place, and without each safeguard in turn, and runs leases
 * in virtual time from one seed after the other. The last line holds the figures. Arguments: the
 * first seed, how many runs.
 */
public final class ProveMeasure {
    private static final long MOST = 3_000_000;

    private ProveMeasure() {}

    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        int runs = args.length > 1 ? Integer.parseInt(args[1]) : 2000;
        System.out.println(
                "seeds "
                        + seed
                        + " to "
                        + (seed + runs - 1)
                        + ", at most "
                        + MOST
                        + " states of a model");
        LeaseProofs.RunSummary inTime = LeaseProofs.randomRuns(seed, runs);
        System.out.println(inTime);
        long states = 0;
        int violations = inTime.violations().size();
        for (Supplier<Model> each : LeaseProofs.completeModels()) {
            Explorer.Result result = timed("", each.get(), MOST);
            states += result.states();
            violations += result.violation() == null ? 0 : 1;
        }
        int found = 0;
        Map<Mutant, Model> without = new TreeMap<>(LeaseProofs.modelsWithoutSafeguard());
        for (Map.Entry<Mutant, Model> each : without.entrySet()) {
            Explorer.Result result = timed(each.getKey() + ", ", each.getValue(), MOST);
            states += result.states();
            found += result.violation() == null ? 0 : 1;
        }
        System.out.println(
                "prove sim_runs="
                        + runs
                        + " faults_injected="
                        + inTime.faults()
                        + " states_checked="
                        + states
                        + " mutants="
                        + without.size()
                        + " mutants_found="
                        + found
                        + " violations="
                        + violations
                        + " seed="
                        + seed);
    }

    private static Explorer.Result timed(String before, Model model, long most) {
        long from = System.nanoTime();
        Explorer.Result result = Explorer.explore(model, most);
        System.out.println(before + result + ", " + (System.nanoTime() - from) / 1_000_000 + " ms");
        return result;
    }
}
