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
 * Many runs of clusters, and of clusters without a safeguard. Runs go on all threads of the common
 * pool and don't depend on how many there are.
 */
public final class ClusterProofs {
    /**
     * What runs came to; {@code faults} by kind, {@code broken} by seed, {@code hash} of all that
     * happened.
     */
    public record Runs(
            int runs,
            Map<String, Integer> faults,
            List<String> broken,
            long steps,
            long acknowledged,
            long changes,
            long hash) {
        public long injected() {
            return faults.values().stream().mapToLong(Integer::longValue).sum();
        }
    }

    private ClusterProofs() {}

    /** Runs with everything in place, from that seed on. */
    public static Runs run(long first, int count) {
        return sum(
                count,
                LongStream.range(first, first + count)
                        .parallel()
                        .mapToObj(seed -> SimCluster.run(seed, SimCluster.none()))
                        .toList());
    }

    static Runs sum(int count, List<SimCluster.Result> results) {
        Map<Faults.Kind, Integer> faults = new EnumMap<>(Faults.Kind.class);
        List<String> broken = new ArrayList<>();
        for (SimCluster.Result result : results) {
            result.faults().forEach((kind, n) -> faults.merge(kind, n, Integer::sum));
            if (!result.fault().isEmpty()) {
                broken.add(
                        "seed " + result.seed() + " hash " + result.hash() + " " + result.fault());
            }
        }
        Map<String, Integer> named = new TreeMap<>();
        faults.forEach((kind, n) -> named.put(kind.name(), n));
        return new Runs(
                count,
                named,
                broken,
                results.stream().mapToLong(SimCluster.Result::steps).sum(),
                results.stream().mapToLong(SimCluster.Result::acknowledged).sum(),
                results.stream().mapToLong(SimCluster.Result::changes).sum(),
                results.stream().mapToLong(SimCluster.Result::hash).sum());
    }

    /** The faults that a failing run needs, one a line. */
    public static List<String> thinned(long seed) {
        return SimCluster.thin(seed, SimCluster.none(), Faults.draw(seed, SimCluster.FAULT_MILLIS))
                .stream()
                .map(Object::toString)
                .toList();
    }

    /** Safeguards that can be taken out, by name. */
    public static List<String> safeguards() {
        return Arrays.stream(SimCluster.Mutant.values()).map(Enum::name).toList();
    }

    /** A seed of these at which the checks find that the safeguard is out, or -1. */
    public static long found(String safeguard, long first, int most) {
        Set<SimCluster.Mutant> without = EnumSet.of(SimCluster.Mutant.valueOf(safeguard));
        return LongStream.range(first, first + most)
                .parallel()
                .filter(seed -> !SimCluster.run(seed, without).fault().isEmpty())
                .findAny()
                .orElse(-1);
    }
}
