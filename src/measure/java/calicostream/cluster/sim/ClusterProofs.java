// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.LongStream;

/**
 * Runs many cluster simulations, with all safeguards or without one of them. Runs use all threads
 * of the common pool; their results do not depend on how many there are.
 */
public final class ClusterProofs {
    /**
     * The results of many runs.
     *
     * @param runs how many
     * @param faults injected faults by kind
     * @param broken one line for each failed run
     * @param steps events that were run
     * @param acknowledged commands that were accepted
     * @param changes of the voters that were decided
     * @param hash sum of the runs' hashes
     */
    public record Runs(
            int runs,
            Map<String, Integer> faults,
            List<String> broken,
            long steps,
            long acknowledged,
            long changes,
            long hash) {
        /** The number of injected faults. */
        public long injected() {
            return faults.values().stream().mapToLong(Integer::longValue).sum();
        }
    }

    private ClusterProofs() {}

    /** Runs {@code count} seeds from {@code first} on, with all safeguards. */
    public static Runs run(long first, int count) {
        return sum(
                count,
                LongStream.range(first, first + count)
                        .parallel()
                        .mapToObj(
                                seed ->
                                        ClusterSimulation.run(
                                                seed, ClusterSimulation.allSafeguards()))
                        .toList());
    }

    static Runs sum(int count, List<ClusterSimulation.Result> results) {
        Map<FaultSchedule.FaultKind, Integer> faults = new EnumMap<>(FaultSchedule.FaultKind.class);
        List<String> broken = new ArrayList<>();
        for (ClusterSimulation.Result result : results) {
            result.faults().forEach((kind, n) -> faults.merge(kind, n, Integer::sum));
            if (!result.failure().isEmpty()) {
                broken.add(
                        "seed "
                                + result.seed()
                                + " hash "
                                + result.hash()
                                + " "
                                + result.failure());
            }
        }
        Map<String, Integer> named = new TreeMap<>();
        faults.forEach((kind, n) -> named.put(kind.name(), n));
        return new Runs(
                count,
                named,
                broken,
                results.stream().mapToLong(ClusterSimulation.Result::steps).sum(),
                results.stream().mapToLong(result -> result.counts().acknowledged()).sum(),
                results.stream().mapToLong(result -> result.counts().voterChanges()).sum(),
                results.stream().mapToLong(ClusterSimulation.Result::hash).sum());
    }

    /** The faults that a failing run needs, one a line. */
    public static List<String> minimized(long seed) {
        return ClusterSimulation.minimize(
                        seed,
                        ClusterSimulation.allSafeguards(),
                        FaultSchedule.draw(seed, ClusterSimulation.FAULT_MILLIS))
                .stream()
                .map(Object::toString)
                .toList();
    }

    /** The names of the safeguards that can be disabled. */
    public static List<String> safeguards() {
        return Arrays.stream(Safeguard.values()).map(Enum::name).toList();
    }

    /** A seed among {@code most} at which the checks detect the missing safeguard; -1 if none. */
    public static long found(String safeguard, long first, int most) {
        Set<Safeguard> disabled = EnumSet.of(Safeguard.valueOf(safeguard));
        return LongStream.range(first, first + most)
                .parallel()
                .filter(seed -> !ClusterSimulation.run(seed, disabled).failure().isEmpty())
                .findAny()
                .orElse(-1);
    }
}
