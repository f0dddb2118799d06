// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

/**
 * Runs seeds: {@code SimMain FIRST COUNT [MUTANT]}; prints the first that failed, thinned out, and
 * one line at the end.
 */
public final class SimMain {
    private SimMain() {}

    public static void main(String[] args) {
        long first = Long.parseLong(args[0]);
        int count = Integer.parseInt(args[1]);
        Set<SimCluster.Mutant> mutants =
                args.length > 2
                        ? EnumSet.of(SimCluster.Mutant.valueOf(args[2]))
                        : SimCluster.none();
        long began = System.nanoTime();
        List<SimCluster.Result> results =
                LongStream.range(first, first + count)
                        .parallel()
                        .mapToObj(seed -> SimCluster.run(seed, mutants))
                        .collect(Collectors.toList());
        List<SimCluster.Result> bad =
                results.stream().filter(result -> !result.fault().isEmpty()).toList();
        bad.stream()
                .limit(8)
                .forEach(
                        result ->
                                System.out.println(
                                        "seed "
                                                + result.seed()
                                                + " hash "
                                                + result.hash()
                                                + " "
                                                + result.fault()));
        if (!bad.isEmpty() && Boolean.getBoolean("sim.thin")) {
            long seed = bad.get(0).seed();
            SimCluster.thin(seed, mutants, Faults.draw(seed, SimCluster.FAULT_MILLIS))
                    .forEach(fault -> System.out.println("  " + fault));
        }
        Map<Faults.Kind, Integer> faults = new EnumMap<>(Faults.Kind.class);
        results.forEach(
                result ->
                        result.faults().forEach((kind, n) -> faults.merge(kind, n, Integer::sum)));
        System.out.println(
                "runs "
                        + count
                        + " bad "
                        + bad.size()
                        + " steps "
                        + sum(results, SimCluster.Result::steps)
                        + " acknowledged "
                        + sum(results, SimCluster.Result::acknowledged)
                        + " terms "
                        + sum(results, SimCluster.Result::eras)
                        + " expired "
                        + sum(results, SimCluster.Result::expired)
                        + " changes "
                        + sum(results, SimCluster.Result::changes)
                        + " refused "
                        + sum(results, SimCluster.Result::refused)
                        + " noticed "
                        + sum(results, SimCluster.Result::noticed)
                        + " restored "
                        + sum(results, SimCluster.Result::restored)
                        + " faults "
                        + faults
                        + " hash "
                        + results.stream().mapToLong(SimCluster.Result::hash).sum()
                        + " s "
                        + (System.nanoTime() - began) / 1_000_000 / 1000.0);
    }

    private static long sum(
            List<SimCluster.Result> results,
            java.util.function.ToLongFunction<SimCluster.Result> of) {
        return results.stream().mapToLong(of).sum();
    }
}
