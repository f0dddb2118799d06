// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import static calicostream.lease.EjectionHintsFleet.MILLI;
import static calicostream.lease.EjectionHintsFleet.SIZE;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What hints spare a fleet, and that it does without them. */
class EjectionHintsFleetTest {
    private static long lastBack(EjectionHintsFleet fleet) {
        return fleet.backAfter.stream().mapToLong(each -> each).max().orElseThrow() / MILLI;
    }

    @Test
    void oneTriesForAllAndWhoHearsNothingTriesForItself() {
        EjectionHintsFleet alone = EjectionHintsFleet.of(-1, 0);
        EjectionHintsFleet led = EjectionHintsFleet.of(4, EjectionHintsFleet.END);
        EjectionHintsFleet left = EjectionHintsFleet.of(4, 30_000 * MILLI);
        System.out.println(
                "seed "
                        + EjectionHintsFleet.SEED
                        + ": sent to the engine that is down "
                        + alone.trialsMade
                        + " alone, "
                        + led.trialsMade
                        + " with hints, "
                        + left.trialsMade
                        + " with hints for half the time; all back after "
                        + lastBack(alone)
                        + " ms, "
                        + lastBack(led)
                        + " ms");
        assertTrue(
                led.trialsMade * 3 <= alone.trialsMade, led.trialsMade + " of " + alone.trialsMade);
        assertTrue(
                led.backAfter.size() == SIZE
                        && alone.backAfter.size() == SIZE
                        && left.backAfter.size() == SIZE,
                "all used it again");
        assertTrue(left.trialsMade > led.trialsMade, "who hears no more tries for itself");
    }
}
