// SPDX-License-Identifier: Apache-2.0
package calicostream.measure;

import calicostream.lease.LeaseProofs;
import calicostream.prove.Explorer;
import calicostream.prove.Model;
import calicostream.prove.Mutant;
import java.util.Map;
import java.util.TreeMap;

/**
 * Explores the models with everything in place, and without each safeguard in turn. The last line holds the figures. Arguments: the
 * seed, the most states of a model.
 */
public final class ProveMeasure {
    private ProveMeasure() { }

    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        long most = args.length > 1 ? Long.parseLong(args[1]) : 3_000_000;
        System.out.println("seed " + seed + ", at most " + most + " states of a model");
        long states = 0;
        int violations = 0;
        for (Model each : LeaseProofs.whole()) {
            Explorer.Result result = timed("", each, most);
            states += result.states();
            violations += result.broken() == null ? 0 : 1;
        }
        int found = 0;
        Map<Mutant, Model> without = new TreeMap<>(LeaseProofs.without());
        for (Map.Entry<Mutant, Model> each : without.entrySet()) {
            Explorer.Result result = timed(each.getKey() + ", ", each.getValue(), most);
            states += result.states();
            found += result.broken() == null ? 0 : 1;
        }
        System.out.println("prove states_checked=" + states + " mutants=" + without.size() + " mutants_found=" + found
                + " violations=" + violations + " seed=" + seed);
    }

    private static Explorer.Result timed(String before, Model model, long most) {
        long from = System.nanoTime();
        Explorer.Result result = Explorer.explore(model, most);
        System.out.println(before + result + ", " + (System.nanoTime() - from) / 1_000_000 + " ms");
        return result;
    }
}
