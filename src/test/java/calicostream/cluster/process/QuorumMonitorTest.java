// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import static calicostream.cluster.process.StatusFixture.NANOS_PER_MILLI;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** For how long a quorum is missing. */
class QuorumMonitorTest {
    @Test
    void quorumIsMissingPastTheLimitOnlyAndOlderContactsChangeNothing() {
        // The monotonic clock may overflow.
        QuorumMonitor monitor = new QuorumMonitor(Long.MAX_VALUE - NANOS_PER_MILLI);
        long now = Long.MAX_VALUE - NANOS_PER_MILLI + 800 * NANOS_PER_MILLI;
        assertEquals(0, monitor.missingMillis(now, 800 * NANOS_PER_MILLI));
        assertEquals(801, monitor.missingMillis(now + NANOS_PER_MILLI, 800 * NANOS_PER_MILLI));
        monitor.onQuorumContact(now);
        monitor.onQuorumContact(now - 700 * NANOS_PER_MILLI);
        assertEquals(0, monitor.missingMillis(now + 800 * NANOS_PER_MILLI, 800 * NANOS_PER_MILLI));
        assertEquals(
                801, monitor.missingMillis(now + 801 * NANOS_PER_MILLI, 800 * NANOS_PER_MILLI));
    }
}
