// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/** Runs seeds by hand: {@code SimMain FIRST COUNT [MUTANT]}; prints what failed, thinned out. */
public final class SimMain {
    private SimMain() {
    }

    public static void main(String[] args) {
        long first = Long.parseLong(args[0]);
        int count = Integer.parseInt(args[1]);
        Set<SimCluster.Mutant> mutants = args.length > 2 ? EnumSet.of(SimCluster.Mutant.valueOf(args[2])) : SimCluster.none();
        long began = System.nanoTime();
        int bad = 0;
        long steps = 0;
        long acknowledged = 0;
        long eras = 0;
        long changes = 0;
        Map<Faults.Kind, Integer> faults = new EnumMap<>(Faults.Kind.class);
        for (long seed = first; seed < first + count; seed++) {
            SimCluster.Result result = Boolean.getBoolean("sim.calm") ? SimCluster.run(seed, mutants, java.util.List.of())
                    : SimCluster.run(seed, mutants);
            steps += result.steps();
            acknowledged += result.acknowledged();
            eras += result.eras();
            changes += result.changes();
            result.faults().forEach((kind, n) -> faults.merge(kind, n, Integer::sum));
            if (!result.fault().isEmpty()) {
                bad++;
                if (bad <= 12) {
                    System.out.println("seed " + seed + " hash " + result.hash() + " " + result.fault());
                }
            }
        }
        System.out.println("runs " + count + " bad " + bad + " steps " + steps + " acknowledged " + acknowledged + " terms " + eras
                + " changes " + changes + " faults " + faults + " s " + (System.nanoTime() - began) / 1_000_000_000.0);
    }
}
