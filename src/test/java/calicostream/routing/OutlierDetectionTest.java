// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import static calicostream.routing.RecordingActions.MILLIS;
import static calicostream.routing.RecordingActions.SECONDS;
import static calicostream.routing.RecordingActions.lookupClass;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which failures eject an engine and how engines are reinstated. */
class OutlierDetectionTest {
    private static final QueryClass LOOKUP = lookupClass(Idempotency.IDEMPOTENT);

    @Test
    void silentEngineIsEjectedThenReinstatedByProbe() {
        RecordingActions gateway = RecordingActions.withEngines(2, LOOKUP);
        for (int i = 0; i < 8; i++) {
            gateway.accept(i, 0);
        }
        gateway.advance(2 * SECONDS);
        assertEquals(8, gateway.cancelledAttempts.size());
        for (RecordingActions.Attempt attempt : List.copyOf(gateway.attempts)) {
            gateway.endAttempt(attempt, AttemptOutcome.CANCELLED);
        }
        for (RecordingActions.Attempt attempt :
                gateway.attempts
                        .subList(8, gateway.attempts.size())
                        .toArray(new RecordingActions.Attempt[0])) {
            gateway.endAttempt(attempt, AttemptOutcome.OK, 100, 50);
        }
        int sentToEjectedEngine = 0;
        for (int i = 10; i < 60; i++) {
            gateway.accept(i, 0);
            sentToEjectedEngine +=
                    gateway.logLines
                                    .get(0)
                                    .startsWith(
                                            "engine "
                                                    + gateway.lastAttempt().engine()
                                                    + " ejected: ")
                            ? 1
                            : 0;
            gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.OK, 100, 50);
            gateway.advance(100 * MILLIS);
        }
        assertTrue(
                gateway.logLines.stream().anyMatch(line -> line.endsWith("silent")),
                gateway.logLines.toString());
        assertTrue(sentToEjectedEngine > 0, "a probe reinstates the engine");
    }

    @Test
    void silentAttemptIsCancelledOnAnsweringEngine() {
        RecordingActions gateway = RecordingActions.withEngines(1, LOOKUP);
        gateway.accept(1, 0);
        for (int i = 2; i < 11; i++) {
            gateway.advance(100 * MILLIS);
            gateway.accept(i, 0);
            gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.OK, 100, 50);
        }
        assertEquals(1, gateway.cancelledAttempts.size());
        assertEquals(1, gateway.cancelledAttempts.get(0).query());
        assertTrue(
                gateway.logLines.isEmpty(),
                "one silent attempt does not eject an answering engine");
    }

    @Test
    void attemptWithProgressIsNotCancelled() {
        RecordingActions gateway = RecordingActions.withEngines(1, LOOKUP);
        gateway.accept(1, 0, 0, 0, 1, 4 * SECONDS);
        for (int i = 1; i < 8; i++) {
            gateway.advance(500 * MILLIS);
            gateway.router.progress(
                    gateway.now, new QueryProgress(1, 0, ProgressKind.FRACTION_DONE, i * 0.1));
        }
        assertTrue(gateway.cancelledAttempts.isEmpty());
    }

    @Test
    void immediateErrorsDoNotAttractQueries() {
        RecordingActions gateway = RecordingActions.withEngines(4, LOOKUP);
        int sentToFailingEngine = 0;
        for (int i = 0; i < 60; i++) {
            gateway.accept(i, 0, 0, 0, i % 3, 100 * MILLIS);
            boolean isFailing = gateway.lastAttempt().engine() == 1;
            sentToFailingEngine += isFailing ? 1 : 0;
            gateway.endAttempt(
                    gateway.lastAttempt(),
                    isFailing ? AttemptOutcome.ERROR : AttemptOutcome.OK,
                    isFailing ? 0 : 100,
                    50);
            if (isFailing
                    && gateway.lastAttempt().query() == i
                    && gateway.lastAttempt().engine() != 1) {
                gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.OK, 100, 50);
            }
            gateway.advance(10 * MILLIS);
        }
        assertTrue(
                sentToFailingEngine <= OutlierDetector.EJECTION_SCORE,
                sentToFailingEngine + " queries went to the failing engine");
    }

    @Test
    void suspicionEjectsAtMostAThirdOfTheFleet() {
        RecordingActions gateway =
                RecordingActions.withEngines(6, lookupClass(Idempotency.NON_IDEMPOTENT));
        for (int i = 0; i < 120; i++) {
            gateway.accept(i, 0, 0, 0, i % 24, 100 * MILLIS);
            gateway.now += 10 * MILLIS;
            gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.CONNECTION_BROKEN);
        }
        long ejected = gateway.logLines.stream().distinct().count();
        assertTrue(ejected > 0 && ejected <= 3, gateway.logLines.toString());
    }

    @Test
    void queryFailsAfterErrorsOnTwoHealthyEngines() {
        RecordingActions gateway = RecordingActions.withEngines(4, LOOKUP);
        for (int i = 0; i < 40; i++) {
            gateway.accept(i, 0, 0, 0, i, 100 * MILLIS);
            long firstEngine = gateway.lastAttempt().engine();
            gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.ERROR);
            assertTrue(gateway.isLastAttemptOf(i) && gateway.lastAttempt().engine() != firstEngine);
            gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.ERROR);
            gateway.advance(10 * MILLIS);
        }
        assertEquals(80, gateway.attempts.size(), "two attempts per query");
        assertEquals(40, gateway.failedQueries.size(), "each query fails after its second error");
        assertTrue(gateway.logLines.isEmpty(), "no engine is ejected: " + gateway.logLines);
    }

    @Test
    void failingEngineGetsNoRetryOrNonIdempotentQuery() {
        RecordingActions gateway =
                RecordingActions.withEngines(3, LOOKUP, lookupClass(Idempotency.NON_IDEMPOTENT));
        for (int i = 0; i < 30; i++) {
            gateway.accept(i, 0, 0, 0, i, 100 * MILLIS);
            boolean isFailing = gateway.lastAttempt().engine() == 1;
            gateway.endAttempt(
                    gateway.lastAttempt(),
                    isFailing ? AttemptOutcome.ERROR : AttemptOutcome.OK,
                    100,
                    50);
            if (isFailing) {
                assertTrue(
                        gateway.isLastAttemptOf(i) && gateway.lastAttempt().engine() != 1,
                        "the retry goes to another engine");
                gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.OK, 100, 50);
                gateway.accept(1000 + i, 1, 0, 0, i, 100 * MILLIS);
                assertTrue(
                        gateway.lastAttempt().engine() != 1,
                        "a non-idempotent query avoids the failing engine");
                gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.OK, 100, 50);
            }
            gateway.advance(10 * MILLIS);
        }
    }

    @Test
    void errorOfFailingEngineDoesNotFailQuery() {
        RecordingActions gateway = RecordingActions.withEngines(5, LOOKUP);
        gateway.accept(1, 0, 0, 0, 7, 100 * MILLIS);
        long failingEngine = gateway.lastAttempt().engine();
        gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.ERROR);
        gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.OK, 100, 50);
        gateway.accept(2, 0, 0, 0, 7, 100 * MILLIS);
        assertEquals(failingEngine, gateway.lastAttempt().engine());
        gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.ERROR);
        long secondEngine = gateway.lastAttempt().engine();
        gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.ERROR);
        assertTrue(
                gateway.isLastAttemptOf(2)
                        && gateway.lastAttempt().engine() != failingEngine
                        && gateway.lastAttempt().engine() != secondEngine);
        assertTrue(gateway.failedQueries.isEmpty());
    }

    @Test
    void brokenConnectionsBetweenAnswersDoNotEjectEngine() {
        RecordingActions gateway =
                RecordingActions.withEngines(RecordingActions.settings(50, LOOKUP), 1);
        for (int i = 0; i < 60; i++) {
            gateway.accept(i, 0, 0, 0, 1, 2 * SECONDS);
            gateway.endAttempt(
                    gateway.lastAttempt(),
                    i % 3 == 0 ? AttemptOutcome.CONNECTION_BROKEN : AttemptOutcome.OK,
                    2000,
                    50);
            if (i % 3 == 0) {
                assertTrue(gateway.isLastAttemptOf(i), "the query is retried");
                gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.OK, 2000, 50);
            }
            gateway.advance(100 * MILLIS);
        }
        assertEquals(80, gateway.attempts.size(), "the engine is neither ejected nor warming up");
    }

    @Test
    void silenceAfterGatewayPauseIsNoEngineFailure() {
        RecordingActions paused = RecordingActions.withEngines(2, LOOKUP);
        RecordingActions running = RecordingActions.withEngines(2, LOOKUP);
        paused.accept(1, 0, 0, 0, 1, 4 * SECONDS);
        running.accept(1, 0, 0, 0, 1, 4 * SECONDS);
        paused.now += 1500 * MILLIS;
        paused.router.timerFired(paused.now, RouterTimers.TICK_TOKEN);
        running.advance(1500 * MILLIS);
        assertTrue(
                paused.cancelledAttempts.isEmpty(),
                "progress is overdue because the gateway was paused");
        assertEquals(1, running.cancelledAttempts.size());
    }

    @Test
    void engineWarmsUpAfterItsProcessEnded() {
        RecordingActions gateway =
                RecordingActions.withEngines(RecordingActions.settings(50, LOOKUP), 1);
        gateway.accept(1, 0);
        gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.RESET);
        int attemptsBefore = gateway.attempts.size();
        for (int i = 2; i < 60; i++) {
            gateway.advance(100 * MILLIS);
            gateway.accept(i, 0, 0, 0, 1, 2 * SECONDS);
            if (gateway.lastAttempt().query() == i) {
                gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.OK, 2000, 50);
            }
        }
        assertTrue(
                gateway.attempts.size() - attemptsBefore < 20,
                gateway.attempts.size() + " attempts, some on an engine that may have restarted");
    }

    @Test
    void queryIsSentWhenAllEnginesAreEjected() {
        RecordingActions gateway =
                RecordingActions.withEngines(2, LOOKUP, lookupClass(Idempotency.NON_IDEMPOTENT));
        gateway.accept(1, 0);
        gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.CONNECT_FAILED);
        gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.CONNECT_FAILED);
        gateway.accept(2, 1);
        assertEquals(2, gateway.lastAttempt().query());
    }
}
