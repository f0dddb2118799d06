// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import static calicostream.routing.RecordingActions.MILLIS;
import static calicostream.routing.RecordingActions.SECONDS;
import static calicostream.routing.RecordingActions.engine;
import static calicostream.routing.RecordingActions.lookupClass;
import static calicostream.routing.RecordingActions.queryClass;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests each of the seven routing rules on its own. */
class RulesTest {
    private static final QueryClass LOOKUP = lookupClass(Idempotency.IDEMPOTENT);
    private static final QueryClass NON_IDEMPOTENT_LOOKUP = lookupClass(Idempotency.NON_IDEMPOTENT);

    @Test
    void unansweredQueryFailsBeforeItsDeadline() {
        RecordingActions gateway = RecordingActions.withEngines(2, NON_IDEMPOTENT_LOOKUP);
        gateway.accept(1, 0);
        gateway.advance(10 * SECONDS);
        assertEquals(List.of(1L), gateway.failedQueries);
        gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.TIMEOUT);
        assertEquals(1, gateway.finalAnswerCount(1));
    }

    @Test
    void queryIsRejectedWithoutEngines() {
        RecordingActions gateway = RecordingActions.withEngines(0, LOOKUP);
        gateway.accept(1, 0);
        gateway.advance(10 * SECONDS);
        assertEquals(List.of(1L), gateway.rejectedQueries);
        assertTrue(gateway.attempts.isEmpty());
    }

    @Test
    void lateAndRepeatedEventsOfClosedQueriesAreIgnored() {
        RecordingActions gateway = RecordingActions.withEngines(2, LOOKUP);
        gateway.accept(1, 0);
        RecordingActions.Attempt attempt = gateway.lastAttempt();
        gateway.endAttempt(attempt, AttemptOutcome.OK);
        gateway.endAttempt(attempt, AttemptOutcome.TIMEOUT);
        gateway.router.queryAbandoned(gateway.now, 1);
        gateway.router.queryAbandoned(gateway.now, 77);
        gateway.advance(11 * SECONDS);
        assertEquals(0, gateway.finalAnswerCount(1));
        assertEquals(1, gateway.attempts.size());
    }

    @Test
    void abandonedQueryIsNotRetried() {
        RecordingActions gateway = RecordingActions.withEngines(2, LOOKUP);
        gateway.accept(1, 0);
        gateway.router.queryAbandoned(gateway.now, 1);
        gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.RESET);
        gateway.advance(11 * SECONDS);
        assertEquals(1, gateway.attempts.size());
        assertEquals(0, gateway.finalAnswerCount(1));
    }

    @Test
    void nonIdempotentQueryIsRetriedOnlyIfItNeverRan() {
        RecordingActions gateway = RecordingActions.withEngines(3, NON_IDEMPOTENT_LOOKUP);
        gateway.accept(1, 0);
        gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.OVERLOADED);
        assertEquals(2, gateway.attempts.size());
        gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.ERROR);
        gateway.advance(11 * SECONDS);
        assertEquals(2, gateway.attempts.size());
        assertEquals(List.of(1L), gateway.failedQueries);
        assertTrue(gateway.rejectedQueries.isEmpty());
    }

    @Test
    void retryByKeyStaysInScopeAndWindow() {
        QueryClass queryClass =
                queryClass(Idempotency.IDEMPOTENT_WITH_KEY, IdempotencyScope.ZONE, false, 1, false);
        RecordingActions gateway = RecordingActions.withEngines(6, queryClass);
        gateway.accept(1, 0);
        RecordingActions.Attempt first = gateway.lastAttempt();
        gateway.endAttempt(first, AttemptOutcome.RESET);
        assertEquals(2, gateway.attempts.size());
        assertNotEquals(first.engine(), gateway.lastAttempt().engine());
        assertEquals(first.engine() % 2, gateway.lastAttempt().engine() % 2);
        gateway.advance(3 * SECONDS);
        gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.RESET);
        assertEquals(2, gateway.attempts.size());
        assertEquals(List.of(1L), gateway.failedQueries);
    }

    @Test
    void keyedQueryThatMayHaveRunIsRejectedOnlyInScopeAll() {
        for (IdempotencyScope scope : IdempotencyScope.values()) {
            RecordingActions gateway =
                    RecordingActions.withEngines(
                            1, queryClass(Idempotency.IDEMPOTENT_WITH_KEY, scope, false, 1, false));
            gateway.accept(1, 0);
            gateway.updateEndpoints(
                    EndpointUpdate.INCREMENTAL, engine(1, 0, EngineLifecycle.REMOVED));
            gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.RESET);
            gateway.advance(11 * SECONDS);
            assertEquals(scope == IdempotencyScope.ALL ? 1 : 0, gateway.rejectedQueries.size());
            assertEquals(scope == IdempotencyScope.ALL ? 0 : 1, gateway.failedQueries.size());
        }
    }

    @Test
    void drainingAndRemovedEnginesGetNoQueries() {
        RecordingActions gateway = RecordingActions.withEngines(2, LOOKUP);
        gateway.updateEndpoints(EndpointUpdate.INCREMENTAL, engine(1, 0, EngineLifecycle.DRAINING));
        for (int i = 0; i < 20; i++) {
            gateway.accept(i, 0, 0, 0, i, 100 * MILLIS);
        }
        assertTrue(gateway.attempts.stream().allMatch(attempt -> attempt.engine() == 2));
        int attemptsBefore = gateway.attempts.size();
        gateway.updateEndpoints(EndpointUpdate.COMPLETE, engine(3, 0, EngineLifecycle.READY));
        gateway.accept(100, 0);
        assertTrue(
                gateway.attempts.subList(attemptsBefore, gateway.attempts.size()).stream()
                        .allMatch(attempt -> attempt.engine() == 3));
    }

    @Test
    void orderedKeyRunsSeriallyWithQuietPeriodAfterReset() {
        QueryClass queryClass =
                queryClass(Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, true, 1, false);
        RecordingActions gateway = RecordingActions.withEngines(3, queryClass);
        // Ordered keys have a quiet period after startup.
        gateway.advance(300 * MILLIS);
        gateway.accept(1, 0, 0, 7, 1, 100 * MILLIS);
        gateway.accept(2, 0, 0, 7, 1, 100 * MILLIS);
        gateway.accept(3, 0, 0, 8, 1, 100 * MILLIS);
        assertNull(gateway.lastAttemptOf(2));
        assertEquals(3, gateway.lastAttempt().query());
        gateway.advance(50 * MILLIS);
        gateway.endAttempt(gateway.lastAttemptOf(1), AttemptOutcome.RESET);
        assertEquals(List.of(1L), gateway.failedQueries);
        gateway.advance(250 * MILLIS);
        assertNull(gateway.lastAttemptOf(2));
        gateway.advance(200 * MILLIS);
        assertEquals(2, gateway.lastAttempt().query());
    }

    @Test
    void orderedKeyWaitsForAttemptOfAbandonedQuery() {
        QueryClass queryClass =
                queryClass(Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, true, 1, false);
        RecordingActions gateway = RecordingActions.withEngines(3, queryClass);
        // Ordered keys have a quiet period after startup.
        gateway.advance(300 * MILLIS);
        gateway.accept(1, 0, 0, 7, 1, 100 * MILLIS);
        gateway.router.queryAbandoned(gateway.now, 1);
        gateway.accept(2, 0, 0, 7, 1, 100 * MILLIS);
        gateway.advance(500 * MILLIS);
        assertNull(gateway.lastAttemptOf(2));
        gateway.endAttempt(gateway.lastAttemptOf(1), AttemptOutcome.CANCELLED);
        gateway.advance(250 * MILLIS);
        assertNull(gateway.lastAttemptOf(2));
        gateway.advance(150 * MILLIS);
        assertEquals(2, gateway.lastAttempt().query());
    }

    @Test
    void attemptsStayInZonesAndKindsOfTheirClass() {
        RecordingActions gateway =
                RecordingActions.withEngines(
                        4, RecordingActions.placedClass(List.of(1), List.of()));
        gateway.accept(1, 0);
        gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.CONNECT_FAILED);
        gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.CONNECT_FAILED);
        gateway.advance(11 * SECONDS);
        assertTrue(gateway.attempts.size() >= 2);
        assertTrue(gateway.attempts.stream().allMatch(attempt -> attempt.engine() % 2 == 1));
        RecordingActions withoutMatch =
                RecordingActions.withEngines(
                        4, RecordingActions.placedClass(List.of(), List.of(5)));
        withoutMatch.accept(1, 0);
        withoutMatch.advance(11 * SECONDS);
        assertTrue(withoutMatch.attempts.isEmpty());
        assertEquals(1, withoutMatch.finalAnswerCount(1));
    }

    @Test
    void retriesStayWithinBudget() {
        RecordingActions gateway =
                RecordingActions.withEngines(
                        RecordingActions.settings(1, 3, 0.1, false, List.of(), LOOKUP), 6);
        for (int i = 0; i < 20; i++) {
            gateway.accept(i, 0, 0, 0, i, 100 * MILLIS);
        }
        for (RecordingActions.Attempt attempt : List.copyOf(gateway.attempts)) {
            gateway.endAttempt(attempt, AttemptOutcome.RESET);
        }
        assertEquals(20 + 5, gateway.attempts.size());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 300})
    void queriesAreAnsweredWhenFleetVanishesAndReturns(int gateways) {
        RecordingActions gateway =
                RecordingActions.withEngines(RecordingActions.settings(gateways, LOOKUP), 3);
        gateway.updateEndpoints(EndpointUpdate.COMPLETE);
        gateway.accept(1, 0);
        assertTrue(gateway.attempts.isEmpty(), "the fleet has no engines");
        // After a clock jump, each timer fires late and only once.
        gateway.now += 30 * SECONDS;
        gateway.advance(0);
        assertEquals(1, gateway.finalAnswerCount(1));
        gateway.updateEndpoints(EndpointUpdate.COMPLETE, engine(1, 0, EngineLifecycle.READY));
        gateway.accept(2, 0);
        assertTrue(gateway.isLastAttemptOf(2));
    }

    @Test
    void attemptsAreSequentialAndLimited() {
        RecordingActions gateway = RecordingActions.withEngines(5, LOOKUP);
        gateway.accept(1, 0);
        for (int i = 0; i < 5; i++) {
            gateway.advance(10 * MILLIS);
            if (gateway.lastAttempt().number() == i) {
                assertEquals(i + 1, gateway.attempts.size());
                gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.CONNECTION_BROKEN);
            }
        }
        assertEquals(3, gateway.attempts.size());
        assertEquals(1, gateway.finalAnswerCount(1));
    }
}
