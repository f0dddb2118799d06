// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.durable.CrashTrials.CrashKind;
import calicostream.durable.TrialOutcome.Verdict;
import org.junit.jupiter.api.Test;

/**
 * A crash at every disk call of random writing: what was synced is there, nothing else is, and no
 * loss is reported.
 */
class CrashRecoveryTest {
    private static final int SEEDS = 6;

    @Test
    void crashAtEveryDiskCallLosesNothingAndRaisesNoFalseAlarm() throws Exception {
        int crashPoints = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            int calls = CrashTrials.countDiskCalls(seed);
            for (int call = 1; call <= calls; call++) {
                for (CrashKind kind : CrashKind.values()) {
                    TrialOutcome outcome = CrashTrials.run(seed, call, kind);
                    assertEquals(Verdict.INTACT, outcome.verdict(), outcome.description());
                    crashPoints++;
                }
            }
        }
        System.out.println("seeds 1 to " + SEEDS + ", crash points " + crashPoints);
        assertTrue(crashPoints > 4_000, "crash points " + crashPoints);
    }
}
