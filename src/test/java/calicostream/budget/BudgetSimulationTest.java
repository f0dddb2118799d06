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
    void faultsNeverPushEngineOverCap() {
        BudgetSimulations.FaultyRuns runs =
                BudgetSimulations.runWithFaults(SEED, true, 24, Long.MAX_VALUE);
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
                        + " faults, rejected "
                        + runs.rejections());
        assertNull(runs.firstViolation());
        assertTrue(
                runs.rejections()
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
                "each of these rejection codes occurs");
    }

    @Test
    void sameSeedReproducesRun() {
        FleetSimulation first = BudgetSimulations.runWithFaults(SEED, Set.of());
        FleetSimulation second = BudgetSimulations.runWithFaults(SEED, Set.of());
        assertEquals(first.steps, second.steps);
        assertArrayEquals(first.machine.snapshot(), second.machine.snapshot());
    }

    @Test
    void checkerDetectsDisabledSafeguard() {
        for (Safeguard safeguard :
                Set.of(
                        Safeguard.CAP_CHECKED_AT_APPLY,
                        Safeguard.LOWERED_CAP_IS_DEFERRED,
                        Safeguard.LOWERED_GRANT_COUNTS_UNTIL_ACKNOWLEDGED,
                        Safeguard.ORPHANED_SESSIONS_COUNT)) {
            long violatingSeed = BudgetSimulations.firstSeedViolating(safeguard, SEED, 60);
            System.out.println(safeguard + " disabled: violation at seed " + violatingSeed);
            assertTrue(
                    violatingSeed >= 0,
                    safeguard + " disabled: no violation found from seed " + SEED);
        }
    }

    @Test
    void steadyAllocationIsFairAndUsesCaps() {
        for (long seed = SEED; seed < SEED + 2; seed++) {
            BudgetSimulations.SteadyRun steady = BudgetSimulations.runSteadyState(seed);
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
