// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.prove.Mutant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * {@link RandomLeaseRun}s violate no invariant with all safeguards, and detect the removal of a
 * safeguard.
 */
class RandomLeaseRunTest {
    private static final long FIRST_SEED = 20261202;
    private static final int RUNS = 40;

    @Test
    void noInvariantIsViolatedAndTaskMakesProgress() {
        System.out.println("seeds " + FIRST_SEED + " to " + (FIRST_SEED + RUNS - 1));
        List<Double> handoverTimes = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
            RandomLeaseRun.Result result = RandomLeaseRun.randomFaults(seed, null);
            assertEquals("", result.violation(), "seed " + seed);
            assertTrue(result.faults() > 10 && result.actions() > 100, result.toString());
            handoverTimes.addAll(result.handoverTimes());
        }
        assertTrue(handoverTimes.size() > RUNS, "handovers " + handoverTimes.size());
    }

    @Test
    void nextHolderActsWithinTwoTimesToLiveAfterKill() {
        List<Double> handoverTimes =
                LongStream.range(FIRST_SEED, FIRST_SEED + 12)
                        .boxed()
                        .flatMap(seed -> RandomLeaseRun.killsOnly(seed).handoverTimes().stream())
                        .sorted()
                        .toList();
        assertTrue(handoverTimes.size() > 50, "handovers " + handoverTimes.size());
        double p99 = handoverTimes.get(handoverTimes.size() * 99 / 100);
        assertTrue(p99 > 0.5 && p99 <= 2, "p99 " + p99);
    }

    @Test
    void runIsDeterminedByItsSeed() {
        assertEquals(
                RandomLeaseRun.randomFaults(FIRST_SEED, null),
                RandomLeaseRun.randomFaults(FIRST_SEED, null));
    }

    @ParameterizedTest
    @EnumSource(
            names = {
                "TOKEN_NOT_CHECKED",
                "LOG_TOKEN_NOT_CHECKED",
                "NEW_LEADER_DOES_NOT_WAIT",
                "EXPIRY_FROM_ANSWER_TIME",
                "QUEUE_GRANT_NOT_CONFIRMED",
                "LEASE_FREED_WITH_SESSION"
            })
    void randomRunsDetectRemovedSafeguard(Mutant removed) {
        assertTrue(
                LongStream.range(FIRST_SEED, FIRST_SEED + 40 * RUNS)
                        .anyMatch(
                                seed ->
                                        !RandomLeaseRun.randomFaults(seed, removed)
                                                .violation()
                                                .isEmpty()));
    }
}
