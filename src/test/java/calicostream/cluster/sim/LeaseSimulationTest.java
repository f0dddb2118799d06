// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.lease.LeaseSimulation;
import calicostream.prove.Mutant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Leases on whole clusters in virtual time, under the cluster's faults and their own. {@code
 * LeaseSimulationMain} replays a seed.
 */
class LeaseSimulationTest {
    private static final long FIRST_SEED = 20_000;

    static {
        System.setProperty("org.slf4j.simpleLogger.log.io.microraft", "off");
    }

    @Test
    void everyLeaseCheckHoldsUnderClusterFaults() {
        List<LeaseSimulationMain.Run> runs =
                LongStream.range(FIRST_SEED, FIRST_SEED + 10)
                        .parallel()
                        .mapToObj(
                                seed ->
                                        LeaseSimulationMain.run(
                                                seed, LeaseSimulation.Plan.ALL, null, true))
                        .toList();
        runs.forEach(
                run -> assertEquals("", run.result().failure(), "seed " + run.result().seed()));
        // What did not happen was not checked: actions accepted, late ones rejected, grants, and
        // grants to members that had waited.
        for (int i = 0; i < 4; i++) {
            int at = i;
            assertTrue(
                    runs.stream().mapToInt(run -> run.leases().counts().get(at)).sum() >= 1,
                    "count " + at);
        }
    }

    @Test
    void notifiedMemberTakesOverWithinTwoTimesToLive() {
        List<Double> notified = handOvers(true);
        List<Double> unnotified = handOvers(false);
        assertTrue(
                notified.size() > 15 && unnotified.size() > 15,
                "hand-overs " + notified.size() + ", " + unnotified.size());
        assertTrue(notified.get(notified.size() - 1) <= 2, "notified: " + notified);
        assertTrue(
                unnotified.get(unnotified.size() / 2) > notified.get(notified.size() / 2),
                "medians of " + unnotified + " and " + notified);
    }

    private static List<Double> handOvers(boolean notified) {
        List<Double> all = new ArrayList<>();
        LongStream.range(FIRST_SEED, FIRST_SEED + 6)
                .parallel()
                .mapToObj(
                        seed ->
                                LeaseSimulationMain.run(
                                        seed, LeaseSimulation.Plan.KILLS_OUTSIDE, null, notified))
                .toList()
                .forEach(
                        run -> {
                            assertEquals("", run.result().failure(), "seed " + run.result().seed());
                            all.addAll(run.leases().handoverTimes());
                        });
        return all.stream().sorted().toList();
    }

    /** {@code from} is a seed that detects it soon; the search continues if it does not. */
    @ParameterizedTest
    @CsvSource({
        "TOKEN_NOT_CHECKED, 20_030",
        "QUEUE_GRANT_NOT_CONFIRMED, 20_023",
        "LEASE_FREED_WITH_SESSION, 20_008",
        "NEW_LEADER_DOES_NOT_WAIT, 20_012",
        "CLOCK_STEP_COUNTED, 20_002"
    })
    void disabledSafeguardIsDetected(Mutant without, String from) {
        long seed = Long.parseLong(from.replace("_", ""));
        assertTrue(
                LongStream.range(seed, seed + 200)
                        .anyMatch(
                                each ->
                                        !LeaseSimulationMain.run(
                                                        each,
                                                        LeaseSimulation.Plan.ALL,
                                                        without,
                                                        true)
                                                .result()
                                                .failure()
                                                .isEmpty()),
                without + " was not detected");
    }
}
