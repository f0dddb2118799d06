// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import calicostream.lease.LeaseSimulation;
import calicostream.prove.Mutant;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/**
 * Runs seeds of leases on simulated clusters: {@code LeaseSimulationMain FIRST COUNT
 * [ALL|KILLS|KILLS_OUTSIDE [told|untold [SAFEGUARD]]]}.
 */
public final class LeaseSimulationMain {
    /** A run and what its leases saw. */
    record Run(ClusterSimulation.Result result, LeaseSimulation leases) {}

    private LeaseSimulationMain() {}

    static Run run(long seed, LeaseSimulation.Plan plan, Mutant without, boolean told) {
        LeaseSimulation leases = new LeaseSimulation(plan, without, told);
        List<FaultSchedule.Fault> faults =
                plan == LeaseSimulation.Plan.ALL
                        ? FaultSchedule.draw(seed, ClusterSimulation.FAULT_MILLIS)
                        : List.of();
        return new Run(
                ClusterSimulation.run(seed, ClusterSimulation.allSafeguards(), faults, leases),
                leases);
    }

    public static void main(String[] args) {
        System.setProperty("org.slf4j.simpleLogger.log.io.microraft", "off");
        long first = Long.parseLong(args[0]);
        long count = Long.parseLong(args[1]);
        LeaseSimulation.Plan plan =
                args.length > 2 ? LeaseSimulation.Plan.valueOf(args[2]) : LeaseSimulation.Plan.ALL;
        boolean told = args.length < 4 || args[3].equals("told");
        Mutant without = args.length > 4 ? Mutant.valueOf(args[4]) : null;
        List<Run> runs =
                LongStream.range(first, first + count)
                        .parallel()
                        .mapToObj(seed -> run(seed, plan, without, told))
                        .toList();
        List<Run> failed = runs.stream().filter(run -> !run.result.failure().isEmpty()).toList();
        failed.stream()
                .limit(8)
                .forEach(
                        run ->
                                System.out.println(
                                        "seed " + run.result.seed() + " " + run.result.failure()));
        List<Double> handOvers =
                runs.stream().flatMap(run -> run.leases.handoverTimes().stream()).sorted().toList();
        System.out.println(
                "runs "
                        + count
                        + " bad "
                        + failed.size()
                        + " steps "
                        + runs.stream().mapToLong(run -> run.result.steps()).sum()
                        + " taken,refused,granted,queued "
                        + IntStream.range(0, 4)
                                .mapToObj(
                                        i ->
                                                ""
                                                        + runs.stream()
                                                                .mapToInt(
                                                                        run ->
                                                                                run.leases
                                                                                        .counts()
                                                                                        .get(i))
                                                                .sum())
                                .toList()
                        + " hand-overs "
                        + handOvers.size()
                        + (handOvers.isEmpty()
                                ? ""
                                : " p50 "
                                        + handOvers.get(handOvers.size() / 2)
                                        + " p99 "
                                        + handOvers.get(handOvers.size() * 99 / 100)
                                        + " most "
                                        + handOvers.get(handOvers.size() - 1)));
    }
}
