// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

/**
 * Runs seeds: {@code ClusterSimulationMain FIRST COUNT [SAFEGUARD]}; prints failed seeds,
 * optionally minimized, and one line at the end.
 */
public final class ClusterSimulationMain {
    private ClusterSimulationMain() {}

    public static void main(String[] args) {
        long first = Long.parseLong(args[0]);
        int count = Integer.parseInt(args[1]);
        Set<Safeguard> disabled =
                args.length > 2
                        ? EnumSet.of(Safeguard.valueOf(args[2]))
                        : ClusterSimulation.allSafeguards();
        long startNanos = System.nanoTime();
        List<ClusterSimulation.Result> results =
                LongStream.range(first, first + count)
                        .parallel()
                        .mapToObj(seed -> ClusterSimulation.run(seed, disabled))
                        .collect(Collectors.toList());
        List<ClusterSimulation.Result> failed =
                results.stream().filter(result -> !result.failure().isEmpty()).toList();
        failed.stream()
                .limit(8)
                .forEach(
                        result ->
                                System.out.println(
                                        "seed "
                                                + result.seed()
                                                + " hash "
                                                + result.hash()
                                                + " "
                                                + result.failure()));
        if (!failed.isEmpty() && Boolean.getBoolean("sim.minimize")) {
            long seed = failed.get(0).seed();
            ClusterSimulation.minimize(
                            seed,
                            disabled,
                            FaultSchedule.draw(seed, ClusterSimulation.FAULT_MILLIS))
                    .forEach(fault -> System.out.println("  " + fault));
        }
        Map<FaultSchedule.FaultKind, Integer> faults = new EnumMap<>(FaultSchedule.FaultKind.class);
        results.forEach(
                result ->
                        result.faults().forEach((kind, n) -> faults.merge(kind, n, Integer::sum)));
        System.out.println(
                "runs "
                        + count
                        + " bad "
                        + failed.size()
                        + " steps "
                        + sum(results, ClusterSimulation.Result::steps)
                        + " acknowledged "
                        + sum(results, result -> result.counts().acknowledged())
                        + " terms "
                        + sum(results, result -> result.counts().terms())
                        + " expired "
                        + sum(results, result -> result.counts().expiredSessions())
                        + " changes "
                        + sum(results, result -> result.counts().voterChanges())
                        + " rejected "
                        + sum(results, result -> result.counts().rejectedGenerations())
                        + " detected "
                        + sum(results, result -> result.counts().detectedDiskFaults())
                        + " restored "
                        + sum(results, result -> result.counts().restoredSnapshots())
                        + " faults "
                        + faults
                        + " hash "
                        + results.stream().mapToLong(ClusterSimulation.Result::hash).sum()
                        + " s "
                        + (System.nanoTime() - startNanos) / 1_000_000 / 1000.0);
    }

    private static long sum(
            List<ClusterSimulation.Result> results, ToLongFunction<ClusterSimulation.Result> of) {
        return results.stream().mapToLong(of).sum();
    }
}
