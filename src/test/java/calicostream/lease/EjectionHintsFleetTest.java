// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import static calicostream.lease.EjectionHintsFleet.MICROS_PER_MILLI;
import static calicostream.lease.EjectionHintsFleet.SIZE;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How many probes ejection hints save a fleet, and that it works without them. */
class EjectionHintsFleetTest {
    private static long lastUseAfterRecoveryMillis(EjectionHintsFleet fleet) {
        return fleet.usedAgainAfterMicros.stream().mapToLong(each -> each).max().orElseThrow()
                / MICROS_PER_MILLI;
    }

    @Test
    void hintsReduceProbesAndAreNotRequired() {
        EjectionHintsFleet withoutHints = EjectionHintsFleet.of(-1, 0);
        EjectionHintsFleet withHints = EjectionHintsFleet.of(4, EjectionHintsFleet.END_MICROS);
        EjectionHintsFleet withHintsForHalf = EjectionHintsFleet.of(4, 30_000 * MICROS_PER_MILLI);
        System.out.println(
                "seed "
                        + EjectionHintsFleet.SEED
                        + ": queries sent to the failed engine "
                        + withoutHints.failedQueries
                        + " without hints, "
                        + withHints.failedQueries
                        + " with hints, "
                        + withHintsForHalf.failedQueries
                        + " with hints for half the time; all back after "
                        + lastUseAfterRecoveryMillis(withoutHints)
                        + " ms, "
                        + lastUseAfterRecoveryMillis(withHints)
                        + " ms");
        assertTrue(
                withHints.failedQueries * 3 <= withoutHints.failedQueries,
                withHints.failedQueries + " of " + withoutHints.failedQueries);
        assertTrue(
                withHints.usedAgainAfterMicros.size() == SIZE
                        && withoutHints.usedAgainAfterMicros.size() == SIZE
                        && withHintsForHalf.usedAgainAfterMicros.size() == SIZE,
                "all front ends use the engine again");
        assertTrue(
                withHintsForHalf.failedQueries > withHints.failedQueries,
                "a front end without hints probes by itself");
    }
}
