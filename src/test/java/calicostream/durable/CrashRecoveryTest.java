// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.durable.CrashTrials.Outcome;
import calicostream.durable.CrashTrials.Verdict;
import org.junit.jupiter.api.Test;

/**
 * A crash at every disk call of random writing: what was promised is there, nothing else is, and no
 * honest disk is doubted.
 */
class CrashRecoveryTest {

    @Test
    void aCrashAtEveryDiskCallLosesNothingInventsNothingAndIsNotDoubted() throws Exception {
        int points = 0;
        for (long seed = 1; seed <= 6; seed++) {
            int calls = CrashTrials.countDiskCalls(seed);
            for (int at = 1; at <= calls; at++) {
                for (int kind = 0; kind < 4; kind++) {
                    Outcome outcome = CrashTrials.runCrash(seed, at, kind);
                    assertEquals(Verdict.INTACT, outcome.verdict(), outcome.description());
                    points++;
                }
            }
        }
        System.out.println("seeds 1 to 6, crash points " + points);
        assertTrue(points > 4_000, "points " + points);
    }
}
