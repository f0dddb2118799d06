// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import static calicostream.lease.EjectionHintsFleet.MICROS_PER_MILLI;
import static calicostream.lease.EjectionHintsFleet.SIZE;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What hints spare a fleet, and that it does without them. */
class EjectionHintsFleetTest {
    private static long lastUseAfterRecoveryMillis(EjectionHintsFleet fleet) {
        return fleet.usedAgainAfterMicros.stream().mapToLong(each -> each).max().orElseThrow()
                / MICROS_PER_MILLI;
    }

    @Test
    void hintsReduceProbesAndAreNotRequired() {
        EjectionHintsFleet alone = EjectionHintsFleet.of(-1, 0);
        EjectionHintsFleet led = EjectionHintsFleet.of(4, EjectionHintsFleet.END_MICROS);
        EjectionHintsFleet left = EjectionHintsFleet.of(4, 30_000 * MICROS_PER_MILLI);
        System.out.println(
                "seed "
                        + EjectionHintsFleet.SEED
                        + ": sent to the engine that is down "
                        + alone.failedQueries
                        + " alone, "
                        + led.failedQueries
                        + " with hints, "
                        + left.failedQueries
                        + " with hints for half the time; all back after "
                        + lastUseAfterRecoveryMillis(alone)
                        + " ms, "
                        + lastUseAfterRecoveryMillis(led)
                        + " ms");
        assertTrue(
                led.failedQueries * 3 <= alone.failedQueries,
                led.failedQueries + " of " + alone.failedQueries);
        assertTrue(
                led.usedAgainAfterMicros.size() == SIZE
                        && alone.usedAgainAfterMicros.size() == SIZE
                        && left.usedAgainAfterMicros.size() == SIZE,
                "all used it again");
        assertTrue(left.failedQueries > led.failedQueries, "who hears no more tries for itself");
    }
}
