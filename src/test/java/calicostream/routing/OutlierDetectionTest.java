// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import static calicostream.routing.RecordingActions.MILLIS;
import static calicostream.routing.RecordingActions.SECONDS;
import static calicostream.routing.RecordingActions.lookupClass;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which engines are ejected for what, and how they are reinstated. */
class OutlierDetectionTest {
    private static final QueryClass LOOKUP = lookupClass(Idempotency.IDEMPOTENT);

    @Test
    void silentEngineLosesItsQueriesAndIsProbedLater() {
        RecordingActions gateway = RecordingActions.with(2, LOOKUP);
        for (int i = 0; i < 8; i++) {
            gateway.accept(i, 0);
        }
        gateway.advance(2 * SECONDS);
        assertEquals(8, gateway.cancelled.size());
        for (RecordingActions.Attempt s : List.copyOf(gateway.attempts)) {
            gateway.end(s, AttemptOutcome.CANCELLED);
        }
        for (RecordingActions.Attempt s :
                gateway.attempts
                        .subList(8, gateway.attempts.size())
                        .toArray(new RecordingActions.Attempt[0])) {
            gateway.end(s, AttemptOutcome.OK, 100, 50);
        }
        int back = 0;
        for (int i = 10; i < 60; i++) {
            gateway.accept(i, 0);
            back +=
                    gateway.logged
                                    .get(0)
                                    .startsWith("engine " + gateway.last().engine() + " ejected: ")
                            ? 1
                            : 0;
            gateway.end(gateway.last(), AttemptOutcome.OK, 100, 50);
            gateway.advance(100 * MILLIS);
        }
        assertTrue(
                gateway.logged.stream().anyMatch(l -> l.endsWith("silent")),
                gateway.logged.toString());
        assertTrue(back > 0, "a probe reinstates it");
    }

    @Test
    void attemptWithoutProgressIsLostThoughItsEngineAnswersOthers() {
        RecordingActions gateway = RecordingActions.with(1, LOOKUP);
        gateway.accept(1, 0);
        for (int i = 2; i < 11; i++) {
            gateway.advance(100 * MILLIS);
            gateway.accept(i, 0);
            gateway.end(gateway.last(), AttemptOutcome.OK, 100, 50);
        }
        assertEquals(1, gateway.cancelled.size());
        assertEquals(1, gateway.cancelled.get(0).query());
        assertTrue(
                gateway.logged.isEmpty(), "one lost attempt does not eject an engine that answers");
    }

    @Test
    void attemptWithProgressIsNotLost() {
        RecordingActions gateway = RecordingActions.with(1, LOOKUP);
        gateway.accept(1, 0, 0, 0, 1, 4 * SECONDS);
        for (int i = 1; i < 8; i++) {
            gateway.advance(500 * MILLIS);
            gateway.router.progress(
                    gateway.now, new QueryProgress(1, 0, ProgressKind.FRACTION_DONE, i * 0.1));
        }
        assertTrue(gateway.cancelled.isEmpty());
    }

    @Test
    void immediateErrorsDoNotMakeAnEngineLookIdle() {
        RecordingActions gateway = RecordingActions.with(4, LOOKUP);
        int onBad = 0;
        for (int i = 0; i < 60; i++) {
            gateway.accept(i, 0, 0, 0, i % 3, 100 * MILLIS);
            boolean bad = gateway.last().engine() == 1;
            onBad += bad ? 1 : 0;
            gateway.end(
                    gateway.last(),
                    bad ? AttemptOutcome.ERROR : AttemptOutcome.OK,
                    bad ? 0 : 100,
                    50);
            if (bad && gateway.last().query() == i && gateway.last().engine() != 1) {
                gateway.end(gateway.last(), AttemptOutcome.OK, 100, 50);
            }
            gateway.advance(10 * MILLIS);
        }
        assertTrue(
                onBad <= OutlierDetector.EJECTION_SCORE,
                onBad + " queries went to the failing engine");
    }

    @Test
    void suspicionEjectsAThirdOfTheFleetAtMost() {
        RecordingActions gateway =
                RecordingActions.with(6, lookupClass(Idempotency.NON_IDEMPOTENT));
        for (int i = 0; i < 120; i++) {
            gateway.accept(i, 0, 0, 0, i % 24, 100 * MILLIS);
            gateway.now += 10 * MILLIS;
            gateway.end(gateway.last(), AttemptOutcome.CONNECTION_BROKEN);
        }
        long ejected = gateway.logged.stream().distinct().count();
        assertTrue(ejected > 0 && ejected <= 3, gateway.logged.toString());
    }

    @Test
    void queryThatErrsOnTwoEnginesFailsByItsOwnFault() {
        RecordingActions gateway = RecordingActions.with(4, LOOKUP);
        for (int i = 0; i < 40; i++) {
            gateway.accept(i, 0, 0, 0, i, 100 * MILLIS);
            long first = gateway.last().engine();
            gateway.end(gateway.last(), AttemptOutcome.ERROR);
            assertTrue(gateway.last(i) && gateway.last().engine() != first);
            gateway.end(gateway.last(), AttemptOutcome.ERROR);
            gateway.advance(10 * MILLIS);
        }
        assertEquals(80, gateway.attempts.size(), "two attempts each");
        assertEquals(40, gateway.failed.size(), "asking again is no use");
        assertTrue(gateway.logged.isEmpty(), "no engine is ejected: " + gateway.logged);
    }

    @Test
    void engineWithSomeErrorsGetsNeitherLoadsNorSecondAttempts() {
        RecordingActions gateway =
                RecordingActions.with(3, LOOKUP, lookupClass(Idempotency.NON_IDEMPOTENT));
        for (int i = 0; i < 30; i++) {
            gateway.accept(i, 0, 0, 0, i, 100 * MILLIS);
            boolean errs = gateway.last().engine() == 1;
            gateway.end(gateway.last(), errs ? AttemptOutcome.ERROR : AttemptOutcome.OK, 100, 50);
            if (errs) {
                assertTrue(
                        gateway.last(i) && gateway.last().engine() != 1,
                        "the second attempt goes elsewhere");
                gateway.end(gateway.last(), AttemptOutcome.OK, 100, 50);
                gateway.accept(1000 + i, 1, 0, 0, i, 100 * MILLIS);
                assertTrue(gateway.last().engine() != 1, "a load that errs may not go again");
                gateway.end(gateway.last(), AttemptOutcome.OK, 100, 50);
            }
            gateway.advance(10 * MILLIS);
        }
    }

    @Test
    void queryIsNotErroneousAfterErrorsOfTwoFailingEngines() {
        RecordingActions gateway = RecordingActions.with(5, LOOKUP);
        gateway.accept(1, 0, 0, 0, 7, 100 * MILLIS);
        long failing = gateway.last().engine();
        gateway.end(gateway.last(), AttemptOutcome.ERROR);
        gateway.end(gateway.last(), AttemptOutcome.OK, 100, 50);
        gateway.accept(2, 0, 0, 0, 7, 100 * MILLIS);
        assertEquals(failing, gateway.last().engine());
        gateway.end(gateway.last(), AttemptOutcome.ERROR);
        long other = gateway.last().engine();
        gateway.end(gateway.last(), AttemptOutcome.ERROR);
        assertTrue(
                gateway.last(2)
                        && gateway.last().engine() != failing
                        && gateway.last().engine() != other);
        assertTrue(gateway.failed.isEmpty());
    }

    @Test
    void brokenConnectionsAloneDoNotEjectAnEngine() {
        RecordingActions gateway = RecordingActions.with(RecordingActions.settings(50, LOOKUP), 1);
        for (int i = 0; i < 60; i++) {
            gateway.accept(i, 0, 0, 0, 1, 2 * SECONDS);
            gateway.end(
                    gateway.last(),
                    i % 3 == 0 ? AttemptOutcome.CONNECTION_BROKEN : AttemptOutcome.OK,
                    2000,
                    50);
            if (i % 3 == 0) {
                assertTrue(gateway.last(i), "it goes again");
                gateway.end(gateway.last(), AttemptOutcome.OK, 2000, 50);
            }
            gateway.advance(100 * MILLIS);
        }
        assertEquals(80, gateway.attempts.size(), "neither ejected nor warming up");
    }

    @Test
    void silenceAfterThisGatewayStalledIsNoFailureOfEngines() {
        RecordingActions still = RecordingActions.with(2, LOOKUP);
        RecordingActions awake = RecordingActions.with(2, LOOKUP);
        still.accept(1, 0, 0, 0, 1, 4 * SECONDS);
        awake.accept(1, 0, 0, 0, 1, 4 * SECONDS);
        still.now += 1500 * MILLIS;
        still.router.timerFired(still.now, RouterTimers.TICK_TOKEN);
        awake.advance(1500 * MILLIS);
        assertTrue(still.cancelled.isEmpty(), "progress is overdue by its own fault");
        assertEquals(1, awake.cancelled.size());
    }

    @Test
    void engineWhoseProcessEndedIsWarmingUpAfterwards() {
        RecordingActions gateway = RecordingActions.with(RecordingActions.settings(50, LOOKUP), 1);
        gateway.accept(1, 0);
        gateway.end(gateway.last(), AttemptOutcome.RESET);
        int before = gateway.attempts.size();
        for (int i = 2; i < 60; i++) {
            gateway.advance(100 * MILLIS);
            gateway.accept(i, 0, 0, 0, 1, 2 * SECONDS);
            if (gateway.last().query() == i) {
                gateway.end(gateway.last(), AttemptOutcome.OK, 2000, 50);
            }
        }
        assertTrue(
                gateway.attempts.size() - before < 20,
                gateway.attempts.size() + " sent to an engine that may have restarted");
    }

    @Test
    void queryIsStillSentWhenAllEnginesAreEjected() {
        RecordingActions gateway =
                RecordingActions.with(2, LOOKUP, lookupClass(Idempotency.NON_IDEMPOTENT));
        gateway.accept(1, 0);
        gateway.end(gateway.last(), AttemptOutcome.CONNECT_FAILED);
        gateway.end(gateway.last(), AttemptOutcome.CONNECT_FAILED);
        gateway.accept(2, 1);
        assertEquals(2, gateway.last().query());
    }
}
