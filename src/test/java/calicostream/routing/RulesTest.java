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

/** Each of the seven rules, one case at a time. */
class RulesTest {
    private static final QueryClass LOOKUP = lookupClass(Idempotency.IDEMPOTENT);
    private static final QueryClass NON_IDEMPOTENT_LOOKUP = lookupClass(Idempotency.NON_IDEMPOTENT);

    @Test
    void unansweredQueryEndsBeforeItsDeadlineByOwnTimer() {
        RecordingActions gateway = RecordingActions.with(2, NON_IDEMPOTENT_LOOKUP);
        gateway.accept(1, 0);
        gateway.advance(10 * SECONDS);
        assertEquals(List.of(1L), gateway.failed);
        gateway.end(gateway.last(), AttemptOutcome.TIMEOUT);
        assertEquals(1, gateway.answers(1));
    }

    @Test
    void queryWithoutAnyEngineIsRejected() {
        RecordingActions gateway = RecordingActions.with(0, LOOKUP);
        gateway.accept(1, 0);
        gateway.advance(10 * SECONDS);
        assertEquals(List.of(1L), gateway.rejected);
        assertTrue(gateway.attempts.isEmpty());
    }

    @Test
    void lateAndRepeatedEventsForEndedQueriesAreIgnored() {
        RecordingActions gateway = RecordingActions.with(2, LOOKUP);
        gateway.accept(1, 0);
        RecordingActions.Attempt s = gateway.last();
        gateway.end(s, AttemptOutcome.OK);
        gateway.end(s, AttemptOutcome.TIMEOUT);
        gateway.router.queryAbandoned(gateway.now, 1);
        gateway.router.queryAbandoned(gateway.now, 77);
        gateway.advance(11 * SECONDS);
        assertEquals(0, gateway.answers(1));
        assertEquals(1, gateway.attempts.size());
    }

    @Test
    void abandonedQueryIsNotSentAgain() {
        RecordingActions gateway = RecordingActions.with(2, LOOKUP);
        gateway.accept(1, 0);
        gateway.router.queryAbandoned(gateway.now, 1);
        gateway.end(gateway.last(), AttemptOutcome.RESET);
        gateway.advance(11 * SECONDS);
        assertEquals(1, gateway.attempts.size());
        assertEquals(0, gateway.answers(1));
    }

    @Test
    void nonIdempotentQueryIsRetriedOnlyWhileItProvablyNeverRan() {
        RecordingActions gateway = RecordingActions.with(3, NON_IDEMPOTENT_LOOKUP);
        gateway.accept(1, 0);
        gateway.end(gateway.last(), AttemptOutcome.OVERLOADED);
        assertEquals(2, gateway.attempts.size());
        gateway.end(gateway.last(), AttemptOutcome.ERROR);
        gateway.advance(11 * SECONDS);
        assertEquals(2, gateway.attempts.size());
        assertEquals(List.of(1L), gateway.failed);
        assertTrue(gateway.rejected.isEmpty());
    }

    @Test
    void keyedRepeatStaysInScopeAndWindow() {
        QueryClass zone =
                queryClass(Idempotency.IDEMPOTENT_WITH_KEY, IdempotencyScope.ZONE, false, 1, false);
        RecordingActions gateway = RecordingActions.with(6, zone);
        gateway.accept(1, 0);
        RecordingActions.Attempt first = gateway.last();
        gateway.end(first, AttemptOutcome.RESET);
        assertEquals(2, gateway.attempts.size());
        assertNotEquals(first.engine(), gateway.last().engine());
        assertEquals(first.engine() % 2, gateway.last().engine() % 2);
        gateway.advance(3 * SECONDS);
        gateway.end(gateway.last(), AttemptOutcome.RESET);
        assertEquals(2, gateway.attempts.size());
        assertEquals(List.of(1L), gateway.failed);
    }

    @Test
    void keyedQueryThatMayHaveRunIsRejectedOnlyWhereAllEnginesDiscardRepeats() {
        for (IdempotencyScope scope : IdempotencyScope.values()) {
            RecordingActions gateway =
                    RecordingActions.with(
                            1, queryClass(Idempotency.IDEMPOTENT_WITH_KEY, scope, false, 1, false));
            gateway.accept(1, 0);
            gateway.endpoints(EndpointUpdate.INCREMENTAL, engine(1, 0, EngineLifecycle.REMOVED));
            gateway.end(gateway.last(), AttemptOutcome.RESET);
            gateway.advance(11 * SECONDS);
            assertEquals(scope == IdempotencyScope.ALL ? 1 : 0, gateway.rejected.size());
            assertEquals(scope == IdempotencyScope.ALL ? 0 : 1, gateway.failed.size());
        }
    }

    @Test
    void nothingGoesToDrainingOrRemovedEngines() {
        RecordingActions gateway = RecordingActions.with(2, LOOKUP);
        gateway.endpoints(EndpointUpdate.INCREMENTAL, engine(1, 0, EngineLifecycle.DRAINING));
        for (int i = 0; i < 20; i++) {
            gateway.accept(i, 0, 0, 0, i, 100 * MILLIS);
        }
        assertTrue(gateway.attempts.stream().allMatch(s -> s.engine() == 2));
        int before = gateway.attempts.size();
        gateway.endpoints(EndpointUpdate.COMPLETE, engine(3, 0, EngineLifecycle.READY));
        gateway.accept(100, 0);
        assertTrue(
                gateway.attempts.subList(before, gateway.attempts.size()).stream()
                        .allMatch(s -> s.engine() == 3));
    }

    @Test
    void queriesOfOneKeyRunOneAtATimeInOrderAndPauseAfterAnUnknownEnd() {
        QueryClass ordered =
                queryClass(Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, true, 1, false);
        RecordingActions gateway = RecordingActions.with(3, ordered);
        gateway.advance(300 * MILLIS); // Keys stay quiet after a start.
        gateway.accept(1, 0, 0, 7, 1, 100 * MILLIS);
        gateway.accept(2, 0, 0, 7, 1, 100 * MILLIS);
        gateway.accept(3, 0, 0, 8, 1, 100 * MILLIS);
        assertNull(gateway.lastOf(2));
        assertEquals(3, gateway.last().query());
        gateway.advance(50 * MILLIS);
        gateway.end(gateway.lastOf(1), AttemptOutcome.RESET);
        assertEquals(List.of(1L), gateway.failed);
        gateway.advance(250 * MILLIS);
        assertNull(gateway.lastOf(2));
        gateway.advance(200 * MILLIS);
        assertEquals(2, gateway.last().query());
    }

    @Test
    void keyWaitsForTheAttemptOfAnEndedQuery() {
        QueryClass ordered =
                queryClass(Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, true, 1, false);
        RecordingActions gateway = RecordingActions.with(3, ordered);
        gateway.advance(300 * MILLIS); // Keys stay quiet after a start.
        gateway.accept(1, 0, 0, 7, 1, 100 * MILLIS);
        gateway.router.queryAbandoned(gateway.now, 1);
        gateway.accept(2, 0, 0, 7, 1, 100 * MILLIS);
        gateway.advance(500 * MILLIS);
        assertNull(gateway.lastOf(2));
        gateway.end(gateway.lastOf(1), AttemptOutcome.CANCELLED);
        gateway.advance(250 * MILLIS);
        assertNull(gateway.lastOf(2));
        gateway.advance(150 * MILLIS);
        assertEquals(2, gateway.last().query());
    }

    @Test
    void placedClassStaysInItsZoneOnEveryAttempt() {
        RecordingActions gateway =
                RecordingActions.with(4, RecordingActions.placedClass(List.of(1), List.of()));
        gateway.accept(1, 0);
        gateway.end(gateway.last(), AttemptOutcome.CONNECT_FAILED);
        gateway.end(gateway.last(), AttemptOutcome.CONNECT_FAILED);
        gateway.advance(11 * SECONDS);
        assertTrue(gateway.attempts.size() >= 2);
        assertTrue(gateway.attempts.stream().allMatch(s -> s.engine() % 2 == 1));
        RecordingActions none =
                RecordingActions.with(4, RecordingActions.placedClass(List.of(), List.of(5)));
        none.accept(1, 0);
        none.advance(11 * SECONDS);
        assertTrue(none.attempts.isEmpty());
        assertEquals(1, none.answers(1));
    }

    @Test
    void retriesStayWithinTheBudget() {
        RecordingActions gateway =
                RecordingActions.with(
                        RecordingActions.settings(1, 3, 0.1, false, List.of(), LOOKUP), 6);
        for (int i = 0; i < 20; i++) {
            gateway.accept(i, 0, 0, 0, i, 100 * MILLIS);
        }
        for (RecordingActions.Attempt s : List.copyOf(gateway.attempts)) {
            gateway.end(s, AttemptOutcome.RESET);
        }
        assertEquals(20 + 5, gateway.attempts.size());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 300})
    void fleetThatVanishesAndReturnsLeavesNoQueryUnanswered(int gateways) {
        RecordingActions gateway =
                RecordingActions.with(RecordingActions.settings(gateways, LOOKUP), 3);
        gateway.endpoints(EndpointUpdate.COMPLETE);
        gateway.accept(1, 0);
        assertTrue(gateway.attempts.isEmpty(), "no engine is left");
        gateway.now += 30 * SECONDS; // The clock may jump; timers then come late, and once each.
        gateway.advance(0);
        assertEquals(1, gateway.answers(1));
        gateway.endpoints(EndpointUpdate.COMPLETE, engine(1, 0, EngineLifecycle.READY));
        gateway.accept(2, 0);
        assertTrue(gateway.last(2));
    }

    @Test
    void oneAttemptAtATimeAndNoMoreThanAllowed() {
        RecordingActions gateway = RecordingActions.with(5, LOOKUP);
        gateway.accept(1, 0);
        for (int i = 0; i < 5; i++) {
            gateway.advance(10 * MILLIS);
            if (gateway.last().attempt() == i) {
                assertEquals(i + 1, gateway.attempts.size());
                gateway.end(gateway.last(), AttemptOutcome.CONNECTION_BROKEN);
            }
        }
        assertEquals(3, gateway.attempts.size());
        assertEquals(1, gateway.answers(1));
    }
}
