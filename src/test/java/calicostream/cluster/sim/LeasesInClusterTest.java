// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.lease.SimLeases;
import calicostream.prove.Mutant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Leases on whole clusters in virtual time, under the cluster's faults and their own. {@code
 * LeaseSimMain} replays a seed.
 */
class LeasesInClusterTest {
    private static final long FIRST = 20_000;

    static {
        System.setProperty("org.slf4j.simpleLogger.log.io.microraft", "off");
    }

    @Test
    void noPromiseIsBrokenUnderTheClustersFaults() {
        List<LeaseSimulationMain.Run> runs =
                LongStream.range(FIRST, FIRST + 10)
                        .parallel()
                        .mapToObj(
                                seed ->
                                        LeaseSimulationMain.run(
                                                seed, SimLeases.Plan.ALL, null, true))
                        .toList();
        runs.forEach(
                run -> assertEquals("", run.result().failure(), "seed " + run.result().seed()));
        // What did not happen was not checked: acts taken, late ones refused, grants, and grants to
        // who had waited.
        for (int i = 0; i < 4; i++) {
            int at = i;
            assertTrue(
                    runs.stream().mapToInt(run -> run.leases().counts().get(at)).sum() >= 1,
                    "count " + at);
        }
    }

    @Test
    void aMemberThatIsToldTakesOverWithinTwoTimesToLive() {
        List<Double> told = handOvers(true);
        List<Double> untold = handOvers(false);
        assertTrue(
                told.size() > 15 && untold.size() > 15,
                "hand-overs " + told.size() + ", " + untold.size());
        assertTrue(told.get(told.size() - 1) <= 2, "told: " + told);
        assertTrue(
                untold.get(untold.size() / 2) > told.get(told.size() / 2),
                "medians of " + untold + " and " + told);
    }

    private static List<Double> handOvers(boolean told) {
        List<Double> all = new ArrayList<>();
        LongStream.range(FIRST, FIRST + 6)
                .parallel()
                .mapToObj(
                        seed ->
                                LeaseSimulationMain.run(
                                        seed, SimLeases.Plan.KILLS_OUTSIDE, null, told))
                .toList()
                .forEach(
                        run -> {
                            assertEquals("", run.result().failure(), "seed " + run.result().seed());
                            all.addAll(run.leases().handOvers());
                        });
        return all.stream().sorted().toList();
    }

    /** {@code from} is where it is found soon; where the simulation changed, the search goes on. */
    @ParameterizedTest
    @CsvSource({
        "TOKEN_NOT_CHECKED, 20_030",
        "QUEUE_GRANT_NOT_CONFIRMED, 20_023",
        "LEASE_FREED_WITH_SESSION, 20_008",
        "NEW_LEADER_DOES_NOT_WAIT, 20_012",
        "CLOCK_STEP_COUNTED, 20_002"
    })
    void aSafeguardTakenOutIsFound(Mutant without, String from) {
        long seed = Long.parseLong(from.replace("_", ""));
        assertTrue(
                LongStream.range(seed, seed + 200)
                        .anyMatch(
                                each ->
                                        !LeaseSimulationMain.run(
                                                        each, SimLeases.Plan.ALL, without, true)
                                                .result()
                                                .failure()
                                                .isEmpty()),
                without + " was not found");
    }
}
