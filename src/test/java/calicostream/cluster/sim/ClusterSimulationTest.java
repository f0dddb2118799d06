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

/**
 * Whole clusters in virtual time. A failing seed is replayed by {@code ClusterSimulationMain SEED
 * 1}.
 */
class ClusterSimulationTest {
    private static final long FIRST_SEED = 20_000;

    static {
        System.setProperty("org.slf4j.simpleLogger.log.io.microraft", "off");
    }

    @Test
    void everyCheckHoldsUnderFaults() {
        List<ClusterSimulation.Result> results =
                LongStream.range(FIRST_SEED, FIRST_SEED + 40)
                        .parallel()
                        .mapToObj(
                                seed ->
                                        ClusterSimulation.run(
                                                seed, ClusterSimulation.allSafeguards()))
                        .toList();
        Map<FaultSchedule.FaultKind, Integer> faults = new EnumMap<>(FaultSchedule.FaultKind.class);
        for (ClusterSimulation.Result result : results) {
            assertEquals(
                    "",
                    result.failure(),
                    () ->
                            "seed "
                                    + result.seed()
                                    + " hash "
                                    + result.hash()
                                    + " needs "
                                    + ClusterSimulation.minimize(
                                            result.seed(),
                                            ClusterSimulation.allSafeguards(),
                                            FaultSchedule.draw(
                                                    result.seed(),
                                                    ClusterSimulation.FAULT_MILLIS)));
            result.faults().forEach((kind, n) -> faults.merge(kind, n, Integer::sum));
        }
        // A fault that did not happen was not checked.
        assertEquals(EnumSet.allOf(FaultSchedule.FaultKind.class), faults.keySet());
        assertTrue(
                results.stream().mapToInt(result -> result.counts().expiredSessions()).sum() > 0,
                "sessions expired");
        assertTrue(
                results.stream().mapToInt(result -> result.counts().voterChanges()).sum() > 0,
                "voters changed");
        assertTrue(
                results.stream().mapToInt(result -> result.counts().detectedDiskFaults()).sum() > 0,
                "silent disk faults detected");
        assertTrue(
                results.stream().mapToInt(result -> result.counts().restoredSnapshots()).sum() > 0,
                "snapshots restored");
        assertTrue(
                results.stream().mapToLong(result -> result.counts().acknowledged()).min().orElse(0)
                        > 0,
                "commands acknowledged");
    }

    @Test
    void sameSeedGivesTheSameRun() {
        ClusterSimulation.Result once =
                ClusterSimulation.run(FIRST_SEED, ClusterSimulation.allSafeguards());
        assertEquals(once, ClusterSimulation.run(FIRST_SEED, ClusterSimulation.allSafeguards()));
        assertFalse(
                once.hash()
                        == ClusterSimulation.run(FIRST_SEED + 1, ClusterSimulation.allSafeguards())
                                .hash());
    }

    @Test
    void removedVoterIsRejectedAndComesBackUnderTheNextGeneration() {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + 4; seed++) {
            ClusterSimulation.Result result =
                    ClusterSimulation.run(
                            seed,
                            ClusterSimulation.allSafeguards(),
                            List.of(
                                    new FaultSchedule.Fault(
                                            1000, FaultSchedule.FaultKind.ADD_VOTER, 3, 0, 0),
                                    new FaultSchedule.Fault(
                                            2500, FaultSchedule.FaultKind.REMOVE_VOTER, 3, 0, 0),
                                    new FaultSchedule.Fault(
                                            3500, FaultSchedule.FaultKind.ADD_VOTER, 3, 0, 0)));
            assertEquals("", result.failure(), "seed " + seed);
            assertEquals(1, result.counts().rejectedGenerations(), "seed " + seed);
        }
    }

    /**
     * Runs that formerly ended without a leader, because of a pending pre-vote, frames for a former
     * generation, a learner promoted without a response, a voter added again under a removed
     * generation, and appends that a follower rejected forever after a snapshot.
     */
    @ParameterizedTest
    @ValueSource(longs = {300_008, 300_072, 300_107, 320_023, 1_080})
    void formerlyFailingRunEndsWithALeader(long seed) {
        assertEquals("", ClusterSimulation.run(seed, ClusterSimulation.allSafeguards()).failure());
    }

    @ParameterizedTest
    @EnumSource(Safeguard.class)
    void disabledSafeguardIsDetected(Safeguard safeguard) {
        Set<Safeguard> disabled = EnumSet.of(safeguard);
        assertTrue(
                LongStream.range(FIRST_SEED, FIRST_SEED + 200)
                        .parallel()
                        .anyMatch(
                                seed -> !ClusterSimulation.run(seed, disabled).failure().isEmpty()),
                safeguard + " was not detected");
    }
}
