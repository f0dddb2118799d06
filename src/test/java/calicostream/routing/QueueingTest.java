// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import static calicostream.routing.RecordingActions.MILLIS;
import static calicostream.routing.RecordingActions.SECONDS;
import static calicostream.routing.RecordingActions.lookupClass;
import static calicostream.routing.RecordingActions.queryClass;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order and expiry of queued queries, tenant quotas and memory grants. */
class QueueingTest {
    private static final QueryClass LOOKUP = lookupClass(Idempotency.IDEMPOTENT);
    private static final QueryClass WIDE =
            queryClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL, false, 4, false);

    /**
     * Without estimates and reported work, the work of a query is inferred from the run times of
     * its class.
     */
    @Test
    void classWithShorterRunTimesIsDispatchedFirst() {
        RecordingActions gateway = RecordingActions.withEngines(1, LOOKUP, WIDE);
        for (int i = 1; i <= 40; i++) {
            gateway.accept(i, i % 2, 0, 0, i, 0);
            gateway.advance(i % 2 == 0 ? 20 * MILLIS : 1000 * MILLIS);
            gateway.endAttempt(gateway.lastAttemptOf(i), AttemptOutcome.OK);
        }
        // Five wide queries with 4 threads and one lookup use all 21 threads of the 8 cores.
        for (int i = 101; i <= 106; i++) {
            gateway.accept(i, i <= 105 ? 1 : 0, 0, 0, i, 0);
        }
        gateway.accept(200, 1, 0, 0, 200, 0);
        gateway.accept(201, 0, 0, 0, 201, 0);
        assertTrue(gateway.isLastAttemptOf(106));
        gateway.endAttempt(gateway.lastAttemptOf(101), AttemptOutcome.OK);
        assertTrue(gateway.isLastAttemptOf(201), "the query of the class with shorter run times");
        RecordingActions restarted = RecordingActions.withEngines(1, LOOKUP, WIDE);
        restarted.router.restoreLearnedRunTimes(gateway.router.learnedRunTimes());
        assertArrayEquals(gateway.router.learnedRunTimes(), restarted.router.learnedRunTimes());
    }

    /**
     * A late answer has less value, so a query that can still meet its latency objective is
     * dispatched first. Its run time is predicted from recent runs of its class.
     */
    @Test
    void lateQueuedQueryYieldsToQueryStillInTime() {
        RecordingActions gateway =
                RecordingActions.withEngines(1, LOOKUP, lookupClass(Idempotency.IDEMPOTENT));
        // Overload: runs take 3 s, with a latency objective of 2.2 s and 0.1 s of work.
        for (int i = 1; i <= 3; i++) {
            gateway.accept(i, 0, 0, 0, i, 100 * MILLIS);
            gateway.advance(3 * SECONDS);
            gateway.endAttempt(gateway.lastAttemptOf(i), AttemptOutcome.OK, 100, 50);
        }
        // Uses all 21 threads of the 8 cores.
        for (int i = 101; i <= 121; i++) {
            gateway.accept(i, 1, 0, 0, i, 200 * MILLIS);
        }
        gateway.accept(200, 0, 0, 0, 200, 100 * MILLIS);
        gateway.accept(201, 1, 0, 0, 201, 200 * MILLIS);
        gateway.advance(60 * MILLIS);
        assertTrue(gateway.isLastAttemptOf(121), "the engine is full");
        gateway.endAttempt(gateway.lastAttemptOf(101), AttemptOutcome.OK, 200, 50);
        assertTrue(gateway.isLastAttemptOf(201), "the query that can still meet its objective");
    }

    @Test
    void queuedQueryWithHighestValuePerWorkGoesFirst() {
        RecordingActions gateway = RecordingActions.withEngines(1, WIDE);
        for (int i = 0; i < 5; i++) {
            gateway.accept(i, 0, 0, 0, 1, 400 * MILLIS);
        }
        int attemptsBefore = gateway.attempts.size();
        gateway.accept(10, 0, 0, 0, 1, 900 * MILLIS);
        gateway.accept(11, 0, 0, 0, 1, 200 * MILLIS);
        assertEquals(attemptsBefore, gateway.attempts.size());
        gateway.endAttempt(gateway.attempts.get(0), AttemptOutcome.OK);
        assertEquals(11, gateway.lastAttempt().query());
    }

    @Test
    void queuedQueryIsRejectedOnceAnswerHasNoValue() {
        QueryClass withLateValue =
                queryClass(Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, false, 4, false);
        QueryClass withoutLateValue =
                new QueryClass(
                        2 * SECONDS,
                        2,
                        10 * SECONDS,
                        1,
                        0,
                        Idempotency.NON_IDEMPOTENT,
                        IdempotencyScope.ALL,
                        3 * SECONDS,
                        false,
                        false,
                        4,
                        false,
                        true,
                        List.of(),
                        List.of());
        for (QueryClass queryClass : List.of(withLateValue, withoutLateValue)) {
            RecordingActions gateway = RecordingActions.withEngines(1, queryClass);
            for (int i = 0; i < 6; i++) {
                gateway.accept(i, 0, 0, 0, 1, 4 * SECONDS);
            }
            assertEquals(5, gateway.attempts.size());
            // The latency objective is 4 s and the deadline 10 s.
            gateway.advance(6 * SECONDS);
            assertEquals(
                    queryClass == withLateValue ? List.of() : List.of(5L), gateway.rejectedQueries);
            gateway.endAttempt(gateway.attempts.get(0), AttemptOutcome.OK);
            assertEquals(queryClass == withLateValue, gateway.isLastAttemptOf(5));
        }
    }

    @Test
    void queriesOverQuotaAreDispatchedLast() {
        RecordingActions gateway =
                RecordingActions.withEngines(
                        RecordingActions.settings(
                                1,
                                3,
                                0,
                                false,
                                List.of(new TenantLimit(1), new TenantLimit(100)),
                                WIDE),
                        1);
        gateway.advance(SECONDS);
        for (int i = 0; i < 8; i++) {
            gateway.accept(i, 0, 0, 0, 1, 400 * MILLIS);
        }
        assertTrue(gateway.attempts.size() < 7, "the engine is full");
        gateway.accept(9, 0, 1, 0, 1, 900 * MILLIS);
        for (int i = 0; i < 3; i++) {
            gateway.endAttempt(gateway.attempts.get(i), AttemptOutcome.OK);
        }
        assertTrue(gateway.lastAttemptOf(9) != null);
        assertEquals(null, gateway.lastAttemptOf(7), "the query is over its tenant's quota");
    }

    @Test
    void wideQueriesAreNotStarvedBySmallQueries() {
        RecordingActions gateway = RecordingActions.withEngines(1, LOOKUP, WIDE);
        int wideAttempts = 0;
        for (int i = 0; i < 600; i++) {
            gateway.accept(i, i % 10 == 0 ? 1 : 0, 0, 0, 1, (i % 10 == 0 ? 800 : 100) * MILLIS);
            gateway.advance(10 * MILLIS);
            long now = gateway.now;
            List<RecordingActions.Attempt> ending =
                    gateway.attempts.stream()
                            .filter(attempt -> now - attempt.startedAt() == 100 * MILLIS)
                            .toList();
            ending.forEach(
                    attempt ->
                            gateway.endAttempt(
                                    attempt,
                                    AttemptOutcome.OK,
                                    attempt.query() % 10 == 0 ? 800 : 100,
                                    50));
        }
        wideAttempts =
                (int)
                        gateway.attempts.stream()
                                .filter(attempt -> attempt.query() % 10 == 0)
                                .count();
        assertTrue(wideAttempts >= 40, wideAttempts + " of 60 wide queries were sent");
    }

    @Test
    void memoryGrantsFollowReportedMemory() {
        RecordingActions gateway = RecordingActions.withEngines(1, LOOKUP);
        for (int i = 0; i < 40; i++) {
            gateway.accept(i, 0);
            gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.OK, 300, 250);
        }
        double grant = gateway.assignedResources.get(gateway.assignedResources.size() - 1)[1];
        assertTrue(
                gateway.assignedResources.get(1)[1] > 250,
                "uncertainty increases the first grants");
        assertTrue(grant >= 250 && grant < 350, grant + " MB");
    }
}
