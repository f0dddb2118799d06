// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import static calicostream.lease.EjectionHintsFleet.FRONT_END_COUNT;
import static calicostream.lease.EjectionHintsFleet.MICROS_PER_MILLI;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Ejection hints reduce the number of probes of a fleet, and a fleet without hints still probes.
 */
class EjectionHintsFleetTest {
    private static long maxRecoveryDelayMillis(EjectionHintsFleet fleet) {
        return fleet.recoveryDelaysMicros.stream().mapToLong(delay -> delay).max().orElseThrow()
                / MICROS_PER_MILLI;
    }

    @Test
    void hintsReduceProbesAndAreNotRequired() {
        EjectionHintsFleet withoutHints = EjectionHintsFleet.simulate(-1, 0);
        EjectionHintsFleet withHints =
                EjectionHintsFleet.simulate(4, EjectionHintsFleet.END_MICROS);
        EjectionHintsFleet withHintsForHalf =
                EjectionHintsFleet.simulate(4, 30_000 * MICROS_PER_MILLI);
        System.out.println(
                "seed "
                        + EjectionHintsFleet.SEED
                        + ": queries sent to the failed engine "
                        + withoutHints.failedQueries
                        + " without hints, "
                        + withHints.failedQueries
                        + " with hints, "
                        + withHintsForHalf.failedQueries
                        + " with hints during the first half of the failure; maximum time from"
                        + " recovery to use "
                        + maxRecoveryDelayMillis(withoutHints)
                        + " ms, "
                        + maxRecoveryDelayMillis(withHints)
                        + " ms");
        assertTrue(
                withHints.failedQueries * 3 <= withoutHints.failedQueries,
                withHints.failedQueries + " with hints, without " + withoutHints.failedQueries);
        assertTrue(
                withHints.recoveryDelaysMicros.size() == FRONT_END_COUNT
                        && withoutHints.recoveryDelaysMicros.size() == FRONT_END_COUNT
                        && withHintsForHalf.recoveryDelaysMicros.size() == FRONT_END_COUNT,
                "every front end uses the engine again after its recovery");
        assertTrue(
                withHintsForHalf.failedQueries > withHints.failedQueries,
                "front ends probe on their own schedule once the hints stop");
    }
}
