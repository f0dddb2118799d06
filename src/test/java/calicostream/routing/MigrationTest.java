// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import static calicostream.routing.RecordingActions.MILLIS;
import static calicostream.routing.RecordingActions.SECONDS;
import static calicostream.routing.RecordingActions.lookupClass;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests which running attempts are cancelled and restarted on another engine. */
class MigrationTest {
    private static final QueryClass LOOKUP = lookupClass(Idempotency.IDEMPOTENT);

    @Test
    void slowAttemptMigratesToAnotherEngine() {
        RecordingActions gateway = RecordingActions.withEngines(3, LOOKUP);
        gateway.accept(1, 0);
        gateway.advance(400 * MILLIS);
        gateway.router.progress(
                gateway.now, new QueryProgress(1, 0, ProgressKind.FRACTION_DONE, 0.05));
        assertEquals(1, gateway.cancelledAttempts.size());
        gateway.endAttempt(gateway.attempts.get(0), AttemptOutcome.CANCELLED);
        assertEquals(2, gateway.attempts.size());
        assertNotEquals(gateway.attempts.get(0).engine(), gateway.lastAttempt().engine());
    }

    @Test
    void fastOrNonIdempotentAttemptsDoNotMigrate() {
        RecordingActions gateway =
                RecordingActions.withEngines(3, LOOKUP, lookupClass(Idempotency.NON_IDEMPOTENT));
        gateway.accept(1, 0);
        gateway.accept(2, 1);
        gateway.advance(400 * MILLIS);
        gateway.router.progress(
                gateway.now, new QueryProgress(1, 0, ProgressKind.FRACTION_DONE, 0.9));
        gateway.router.progress(
                gateway.now, new QueryProgress(2, 0, ProgressKind.FRACTION_DONE, 0.1));
        assertTrue(gateway.cancelledAttempts.isEmpty());
    }

    @Test
    void queryMigratesAtMostOnce() {
        RecordingActions gateway = RecordingActions.withEngines(4, LOOKUP);
        gateway.accept(1, 0, 0, 0, 0, 100 * MILLIS);
        gateway.now += 450 * MILLIS;
        gateway.router.progress(
                gateway.now, new QueryProgress(1, 0, ProgressKind.FRACTION_DONE, 0.1));
        assertEquals(1, gateway.cancelledAttempts.size());
        gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.CANCELLED);
        assertEquals(1, gateway.lastAttempt().number());
        gateway.now += 450 * MILLIS;
        gateway.router.progress(
                gateway.now, new QueryProgress(1, 1, ProgressKind.FRACTION_DONE, 0.1));
        assertEquals(1, gateway.cancelledAttempts.size(), "a query migrates at most once");
    }

    @Test
    void typicalRunTimeOfClassPreventsMigration() {
        RecordingActions gateway = RecordingActions.withEngines(4, LOOKUP);
        for (int i = 0; i < 20; i++) {
            gateway.accept(i, 0, 0, 0, i, 0);
            gateway.now += 3 * SECONDS;
            gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.OK);
        }
        gateway.accept(100, 0, 0, 0, 1, 0);
        gateway.now += 1 * SECONDS;
        gateway.router.progress(
                gateway.now, new QueryProgress(100, 0, ProgressKind.FRACTION_DONE, 0.18));
        assertTrue(
                gateway.cancelledAttempts.isEmpty(),
                "4.6 s of remaining time are normal for the class");
    }
}
