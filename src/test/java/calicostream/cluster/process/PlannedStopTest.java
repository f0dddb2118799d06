// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import static calicostream.cluster.process.StatusFixture.NANOS_PER_MILLI;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The order and the bound of a planned stop. */
class PlannedStopTest {
    /**
     * Whatever is pending and whoever leads, the stop ends in time, closes the session once and
     * first, and transfers the leadership if it can.
     */
    @Test
    void plannedStopEndsInTimeAndInOrder() {
        long seed = new Random().nextLong();
        Random random = new Random(seed);
        for (int run = 0; run < 2000; run++) {
            long now = random.nextLong();
            long began = now;
            PlannedStop stop = new PlannedStop(now, 1500 * NANOS_PER_MILLI, 50 * NANOS_PER_MILLI);
            int pendingCommands = random.nextInt(3);
            boolean isLeader = random.nextBoolean();
            boolean transferSucceeds = random.nextInt(3) > 0;
            List<Integer> others = random.nextInt(5) == 0 ? List.of() : List.of(2, 3);
            int closings = 0;
            int transfers = 0;
            PlannedStop.Step step = PlannedStop.Step.WAIT;
            while (step != PlannedStop.Step.END) {
                step = stop.next(now, pendingCommands, isLeader, others);
                if (step == PlannedStop.Step.CLOSE_SESSION) {
                    closings++;
                } else if (step == PlannedStop.Step.TRANSFER_LEADERSHIP) {
                    assertEquals(1, closings, "seed " + seed);
                    assertTrue(others.contains(stop.transferTarget()), "seed " + seed);
                    isLeader = !transferSucceeds || random.nextInt(3) == 0;
                    transfers++;
                }
                pendingCommands -= pendingCommands > 0 && random.nextInt(40) == 0 ? 1 : 0;
                now += random.nextInt(10) * NANOS_PER_MILLI;
            }
            assertTrue(now - began <= 1520 * NANOS_PER_MILLI, "seed " + seed);
            assertEquals(1, closings, "seed " + seed);
            assertTrue(transfers <= 8, "seed " + seed);
            assertTrue(
                    !isLeader
                            || others.isEmpty()
                            || transfers > 1
                            || transfers == 1 && !transferSucceeds
                            || now - began > 1400 * NANOS_PER_MILLI,
                    "seed " + seed + " run " + run);
        }
    }
}
