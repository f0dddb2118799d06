// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import static calicostream.routing.RecordingActions.MILLIS;
import static calicostream.routing.RecordingActions.SECONDS;
import static calicostream.routing.RecordingActions.lookupClass;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which running attempts are cancelled to start again elsewhere. */
class MigrationTest {
    private static final QueryClass LOOKUP = lookupClass(Idempotency.IDEMPOTENT);

    @Test
    void slowAttemptIsCancelledAndStartsAgainElsewhere() {
        RecordingActions gateway = RecordingActions.with(3, LOOKUP);
        gateway.accept(1, 0);
        gateway.advance(400 * MILLIS);
        gateway.router.progress(
                gateway.now, new QueryProgress(1, 0, ProgressKind.FRACTION_DONE, 0.05));
        assertEquals(1, gateway.cancelled.size());
        gateway.end(gateway.attempts.get(0), AttemptOutcome.CANCELLED);
        assertEquals(2, gateway.attempts.size());
        assertNotEquals(gateway.attempts.get(0).engine(), gateway.last().engine());
    }

    @Test
    void goodProgressAndNonIdempotentQueriesAreLeftAlone() {
        RecordingActions gateway =
                RecordingActions.with(3, LOOKUP, lookupClass(Idempotency.NON_IDEMPOTENT));
        gateway.accept(1, 0);
        gateway.accept(2, 1);
        gateway.advance(400 * MILLIS);
        gateway.router.progress(
                gateway.now, new QueryProgress(1, 0, ProgressKind.FRACTION_DONE, 0.9));
        gateway.router.progress(
                gateway.now, new QueryProgress(2, 0, ProgressKind.FRACTION_DONE, 0.1));
        assertTrue(gateway.cancelled.isEmpty());
    }

    @Test
    void queryThatIsAsSlowElsewhereStaysThere() {
        RecordingActions gateway = RecordingActions.with(4, LOOKUP);
        gateway.accept(1, 0, 0, 0, 0, 100 * MILLIS);
        gateway.now += 450 * MILLIS;
        gateway.router.progress(
                gateway.now, new QueryProgress(1, 0, ProgressKind.FRACTION_DONE, 0.1));
        assertEquals(1, gateway.cancelled.size());
        gateway.end(gateway.last(), AttemptOutcome.CANCELLED);
        assertEquals(1, gateway.last().attempt());
        gateway.now += 450 * MILLIS;
        gateway.router.progress(
                gateway.now, new QueryProgress(1, 1, ProgressKind.FRACTION_DONE, 0.1));
        assertEquals(1, gateway.cancelled.size(), "migrated once");
    }

    @Test
    void runIsJudgedByThoseOfItsClassWhereNoWorkIsReported() {
        RecordingActions gateway = RecordingActions.with(4, LOOKUP);
        for (int i = 0; i < 20; i++) {
            gateway.accept(i, 0, 0, 0, i, 0);
            gateway.now += 3 * SECONDS;
            gateway.end(gateway.last(), AttemptOutcome.OK);
        }
        gateway.accept(100, 0, 0, 0, 1, 0);
        gateway.now += 1 * SECONDS;
        gateway.router.progress(
                gateway.now, new QueryProgress(100, 0, ProgressKind.FRACTION_DONE, 0.18));
        assertTrue(gateway.cancelled.isEmpty(), "4.6 s more is nothing unusual");
    }
}
