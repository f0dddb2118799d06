// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

class BudgetSimulationTest {
    private static final long SEED = 1;

    @Test
    void noEngineExceedsItsCapUnderAnyFaults() {
        BudgetSimulations.FaultyRuns runs =
                BudgetSimulations.faulty(SEED, true, 24, Long.MAX_VALUE);
        System.out.println(
                "seed "
                        + SEED
                        + ": "
                        + runs.runs()
                        + " runs, "
                        + runs.steps()
                        + " steps, "
                        + runs.commands()
                        + " commands, "
                        + runs.faults()
                        + " faults, refused "
                        + runs.refusals());
        assertNull(runs.firstViolation());
        assertTrue(
                runs.refusals()
                        .keySet()
                        .containsAll(
                                Set.of(
                                        "budget-over-cap",
                                        "budget-no-proof",
                                        "budget-grant-over",
                                        "budget-not-due",
                                        "budget-old-report",
                                        "budget-cap-lowered",
                                        "budget-other-incarnation")),
                "every refusal has occurred");
    }

    @Test
    void theSameSeedGivesTheSameRun() {
        FleetSimulation one = BudgetSimulations.faulty(SEED, Set.of());
        FleetSimulation other = BudgetSimulations.faulty(SEED, Set.of());
        assertEquals(one.steps, other.steps);
        assertArrayEquals(one.machine.snapshot(), other.machine.snapshot());
    }

    @Test
    void theCheckerFindsADisabledSafeguard() {
        for (Safeguard safeguard :
                Set.of(
                        Safeguard.CAP_CHECKED_AT_APPLY,
                        Safeguard.LOWERED_CAP_IS_DEFERRED,
                        Safeguard.LOWERED_GRANT_COUNTS_UNTIL_ACKNOWLEDGED,
                        Safeguard.ORPHANED_SESSIONS_COUNT)) {
            long found = BudgetSimulations.firstSeedViolating(safeguard, SEED, 60);
            System.out.println(safeguard + " disabled: found at seed " + found);
            assertTrue(found >= 0, safeguard + " is not found from seed " + SEED);
        }
    }

    @Test
    void allocationsAreFairAndCapsAreUsed() {
        for (long seed = SEED; seed < SEED + 2; seed++) {
            BudgetSimulations.SteadyRun steady = BudgetSimulations.steady(seed);
            System.out.println(
                    "seed "
                            + seed
                            + ": unfairness "
                            + steady.unfairness()
                            + ", utilization "
                            + steady.utilization());
            assertTrue(
                    steady.unfairness() <= 0.05,
                    "seed " + seed + ": unfairness " + steady.unfairness());
            assertTrue(
                    steady.utilization() >= 0.9,
                    "seed " + seed + ": utilization " + steady.utilization());
        }
    }
}
