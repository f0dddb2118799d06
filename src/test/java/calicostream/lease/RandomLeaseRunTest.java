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

/** A bounded part of the runs in virtual time, and that they too find what is taken out. */
class RandomLeaseRunTest {
    private static final long FIRST_SEED = 20261202;
    private static final int RUNS = 40;

    @Test
    void noInvariantIsViolatedAndTheTaskMakesProgress() {
        System.out.println("seeds " + FIRST_SEED + " to " + (FIRST_SEED + RUNS - 1));
        List<Double> handOvers = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
            RandomLeaseRun.Result result = RandomLeaseRun.run(seed, null);
            assertEquals("", result.violation(), "seed " + seed);
            assertTrue(result.faults() > 10 && result.actions() > 100, result.toString());
            handOvers.addAll(result.handoverTimes());
        }
        assertTrue(handOvers.size() > RUNS, "hand-overs " + handOvers.size());
    }

    @Test
    void nextHolderActsAboutOneTimeToLiveAfterAKill() {
        List<Double> handOvers =
                LongStream.range(FIRST_SEED, FIRST_SEED + 12)
                        .boxed()
                        .flatMap(seed -> RandomLeaseRun.kills(seed).handoverTimes().stream())
                        .sorted()
                        .toList();
        assertTrue(handOvers.size() > 50, "hand-overs " + handOvers.size());
        double p99 = handOvers.get(handOvers.size() * 99 / 100);
        assertTrue(p99 > 0.5 && p99 <= 2, "p99 " + p99);
    }

    @Test
    void runIsDeterminedByItsSeed() {
        assertEquals(RandomLeaseRun.run(FIRST_SEED, null), RandomLeaseRun.run(FIRST_SEED, null));
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
    void randomRunsDetectRemovedSafeguard(Mutant without) {
        assertTrue(
                LongStream.range(FIRST_SEED, FIRST_SEED + 40 * RUNS)
                        .anyMatch(
                                seed -> !RandomLeaseRun.run(seed, without).violation().isEmpty()));
    }
}
