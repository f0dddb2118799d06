// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Whole clusters in virtual time. A failing seed is replayed by {@code SimMain SEED 1}. */
class ClusterSimTest {
    private static final long FIRST = 20_000;

    static {
        System.setProperty("org.slf4j.simpleLogger.log.io.microraft", "off");
    }

    @Test
    void everyCheckHoldsUnderFaults() {
        List<SimCluster.Result> results =
                LongStream.range(FIRST, FIRST + 40)
                        .parallel()
                        .mapToObj(seed -> SimCluster.run(seed, SimCluster.none()))
                        .toList();
        Map<Faults.Kind, Integer> faults = new EnumMap<>(Faults.Kind.class);
        for (SimCluster.Result result : results) {
            assertEquals(
                    "",
                    result.fault(),
                    () ->
                            "seed "
                                    + result.seed()
                                    + " hash "
                                    + result.hash()
                                    + " needs "
                                    + SimCluster.thin(
                                            result.seed(),
                                            SimCluster.none(),
                                            Faults.draw(result.seed(), SimCluster.FAULT_MILLIS)));
            result.faults().forEach((kind, n) -> faults.merge(kind, n, Integer::sum));
        }
        // What did not happen was not checked.
        assertEquals(EnumSet.allOf(Faults.Kind.class), faults.keySet());
        assertTrue(
                results.stream().mapToInt(SimCluster.Result::expired).sum() > 0,
                "sessions expired");
        assertTrue(
                results.stream().mapToInt(SimCluster.Result::changes).sum() > 0, "voters changed");
        assertTrue(
                results.stream().mapToInt(SimCluster.Result::noticed).sum() > 0,
                "lies of disks noticed");
        assertTrue(
                results.stream().mapToInt(SimCluster.Result::restored).sum() > 0,
                "snapshots restored");
        assertTrue(
                results.stream().mapToLong(SimCluster.Result::acknowledged).min().orElse(0) > 0,
                "commands acknowledged");
    }

    @Test
    void aSeedReplaysToTheByte() {
        SimCluster.Result once = SimCluster.run(FIRST, SimCluster.none());
        assertEquals(once, SimCluster.run(FIRST, SimCluster.none()));
        assertFalse(once.hash() == SimCluster.run(FIRST + 1, SimCluster.none()).hash());
    }

    @Test
    void aRemovedVoterIsRefusedAndComesBackUnderTheNextGeneration() {
        for (long seed = FIRST; seed < FIRST + 4; seed++) {
            SimCluster.Result result =
                    SimCluster.run(
                            seed,
                            SimCluster.none(),
                            List.of(
                                    new Faults.Fault(1000, Faults.Kind.ADD_VOTER, 3, 0, 0),
                                    new Faults.Fault(2500, Faults.Kind.REMOVE_VOTER, 3, 0, 0),
                                    new Faults.Fault(3500, Faults.Kind.ADD_VOTER, 3, 0, 0)));
            assertEquals("", result.fault(), "seed " + seed);
            assertEquals(1, result.refused(), "seed " + seed);
        }
    }

    /**
     * Runs that once ended without a leader, by an open pre-vote, by frames for a former self, by
     * who was promoted unheard, by who came back under a removed name, by appends that a follower
     * behind a snapshot refused for ever.
     */
    @ParameterizedTest
    @ValueSource(longs = {300_008, 300_072, 300_107, 320_023, 1_080})
    void aRunThatOnceFailedEndsWithALeader(long seed) {
        assertEquals("", SimCluster.run(seed, SimCluster.none()).fault());
    }

    @ParameterizedTest
    @EnumSource(SimCluster.Mutant.class)
    void aSafeguardTakenOutIsFound(SimCluster.Mutant mutant) {
        Set<SimCluster.Mutant> mutants = EnumSet.of(mutant);
        assertTrue(
                LongStream.range(FIRST, FIRST + 200)
                        .parallel()
                        .anyMatch(seed -> !SimCluster.run(seed, mutants).fault().isEmpty()),
                mutant + " was not found");
    }
}
