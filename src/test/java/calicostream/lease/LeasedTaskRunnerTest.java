// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** {@link LeasedTaskRunner}s of two processes on one log. */
class LeasedTaskRunnerTest {
    private final LeasedTaskProcesses processes = new LeasedTaskProcesses(2);
    private final LeasedTaskProcesses.Process first = processes.get(0);
    private final LeasedTaskProcesses.Process second = processes.get(1);

    @BeforeEach
    void start() {
        processes.advance(300);
    }

    @Test
    void plannedStopTransfersLeaseImmediately() {
        assertTrue(first.count("step") > 3 && first.appliedActions == first.count("step"));
        assertEquals("started", first.calls.get(0));
        assertEquals(0, second.count("step"));
        assertTrue(second.count("action 7") > 3);
        first.runner.stop();
        assertEquals("stopped", first.calls.get(first.calls.size() - 1));
        first.runner.tick();
        first.exchangeMessages();
        second.exchangeMessages(); // Confirms the grant without waiting for its own tick.
        second.runner.tick();
        assertEquals(List.of("lease-held 2"), second.events);
        long steps = first.count("step");
        processes.advance(5_000);
        assertEquals(steps, first.count("step"));
        assertEquals(1, second.count("started"));
        assertEquals(List.of("lease-held 1", "lease-given-back 1"), first.events);
    }

    @Test
    void failedTaskReleasesLeaseAndRequestsItAgain() {
        first.throwsInNextStep = true;
        processes.advance(300);
        assertEquals(
                List.of("lease-held 1", "lease-task-failed 1", "lease-given-back 1"), first.events);
        assertEquals(1, second.count("started"));
        assertEquals(LeaseHolder.Phase.IDLE, first.runner.statuses().get(0).phase());
        processes.advance(2_500);
        assertEquals(LeaseHolder.Phase.WAITING, first.runner.statuses().get(0).phase());
        assertEquals(1, first.runner.statuses().get(0).failureCount());
    }

    @Test
    void partitionedHolderStopsBeforeNextHolderStarts() {
        first.partitioned = true;
        while (second.count("started") == 0) {
            processes.advance(50);
            assertFalse(second.count("started") > 0 && first.count("stopped") == 0);
        }
        assertEquals(List.of("lease-held 1", "lease-lost 1"), first.events);
        assertEquals(1, first.runner.statuses().get(0).lostCount());
        processes.advance(5_000);
        assertEquals(1, first.count("stopped"));
        first.partitioned = false;
        processes.advance(5_000);
        assertEquals(1, first.count("started"));
        assertEquals(1, second.count("started"));
    }
}
