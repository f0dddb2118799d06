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

/** The order of queued queries, and what each is worth and granted. */
class QueueingTest {
    private static final QueryClass LOOKUP = lookupClass(Idempotency.IDEMPOTENT);
    private static final QueryClass WIDE =
            queryClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL, false, 4, false);

    /** Where neither hints nor answers tell the work of a query, its class's run times do. */
    @Test
    void shortClassGoesFirstWhereOnlyRunTimesTellOfWork() {
        RecordingActions gateway = RecordingActions.with(1, LOOKUP, WIDE);
        for (int i = 1; i <= 40; i++) {
            gateway.accept(i, i % 2, 0, 0, i, 0);
            gateway.advance(i % 2 == 0 ? 20 * MILLIS : 1000 * MILLIS);
            gateway.end(gateway.lastOf(i), AttemptOutcome.OK);
        }
        for (int i = 101; i <= 106; i++) { // 20 threads and 1 of the 21 that 8 cores have room for
            gateway.accept(i, i <= 105 ? 1 : 0, 0, 0, i, 0);
        }
        gateway.accept(200, 1, 0, 0, 200, 0);
        gateway.accept(201, 0, 0, 0, 201, 0);
        assertTrue(gateway.last(106));
        gateway.end(gateway.lastOf(101), AttemptOutcome.OK);
        assertTrue(gateway.last(201), "the short one");
        RecordingActions next = RecordingActions.with(1, LOOKUP, WIDE);
        next.router.restoreLearnedRunTimes(gateway.router.learnedRunTimes());
        assertArrayEquals(gateway.router.learnedRunTimes(), next.router.learnedRunTimes());
    }

    /**
     * Served late it is worth little: what can still be in time goes first, by what runs of its
     * class take now.
     */
    @Test
    void queuedQueryThatMissesItsLatencyObjectiveGivesWay() {
        RecordingActions gateway =
                RecordingActions.with(1, LOOKUP, lookupClass(Idempotency.IDEMPOTENT));
        for (int i = 1;
                i <= 3;
                i++) { // Jammed: runs of 3 s, where the aim is 2.2 s and the work 0.1 s.
            gateway.accept(i, 0, 0, 0, i, 100 * MILLIS);
            gateway.advance(3 * SECONDS);
            gateway.end(gateway.lastOf(i), AttemptOutcome.OK, 100, 50);
        }
        for (int i = 101; i <= 121; i++) { // All that 8 cores have room for.
            gateway.accept(i, 1, 0, 0, i, 200 * MILLIS);
        }
        gateway.accept(200, 0, 0, 0, 200, 100 * MILLIS);
        gateway.accept(201, 1, 0, 0, 201, 200 * MILLIS);
        gateway.advance(60 * MILLIS);
        assertTrue(gateway.last(121), "no room");
        gateway.end(gateway.lastOf(101), AttemptOutcome.OK, 200, 50);
        assertTrue(gateway.last(201), "the one that can still be in time");
    }

    @Test
    void fullFleetQueuesQueriesAndServesTheMostWorthForWorkFirst() {
        RecordingActions gateway = RecordingActions.with(1, WIDE);
        for (int i = 0; i < 5; i++) {
            gateway.accept(i, 0, 0, 0, 1, 400 * MILLIS);
        }
        int before = gateway.attempts.size();
        gateway.accept(10, 0, 0, 0, 1, 900 * MILLIS);
        gateway.accept(11, 0, 0, 0, 1, 200 * MILLIS);
        assertEquals(before, gateway.attempts.size());
        gateway.end(gateway.attempts.get(0), AttemptOutcome.OK);
        assertEquals(11, gateway.last().query());
    }

    @Test
    void queuedQueryIsRejectedWhenItsAnswerWouldBeWorthNothing() {
        QueryClass late =
                queryClass(Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, false, 4, false);
        QueryClass never =
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
        for (QueryClass spec : List.of(late, never)) {
            RecordingActions gateway = RecordingActions.with(1, spec);
            for (int i = 0; i < 6; i++) {
                gateway.accept(i, 0, 0, 0, 1, 4 * SECONDS);
            }
            assertEquals(5, gateway.attempts.size());
            gateway.advance(6 * SECONDS); // Wanted within 4 s, given up after 10.
            assertEquals(spec == late ? List.of() : List.of(5L), gateway.rejected);
            gateway.end(gateway.attempts.get(0), AttemptOutcome.OK);
            assertEquals(spec == late, gateway.last(5));
        }
    }

    @Test
    void tenantBeyondItsQuotaComesLast() {
        RecordingActions gateway =
                RecordingActions.with(
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
            gateway.end(gateway.attempts.get(i), AttemptOutcome.OK);
        }
        assertTrue(gateway.lastOf(9) != null);
        assertEquals(null, gateway.lastOf(7), "beyond its tenant's share");
    }

    @Test
    void wideClassIsNotStarvedByManySmallQueries() {
        RecordingActions gateway = RecordingActions.with(1, LOOKUP, WIDE);
        int wide = 0;
        for (int i = 0; i < 600; i++) {
            gateway.accept(i, i % 10 == 0 ? 1 : 0, 0, 0, 1, (i % 10 == 0 ? 800 : 100) * MILLIS);
            gateway.advance(10 * MILLIS);
            long now = gateway.now;
            List<RecordingActions.Attempt> due =
                    gateway.attempts.stream().filter(s -> now - s.at() == 100 * MILLIS).toList();
            due.forEach(
                    s -> gateway.end(s, AttemptOutcome.OK, s.query() % 10 == 0 ? 800 : 100, 50));
        }
        wide = (int) gateway.attempts.stream().filter(s -> s.query() % 10 == 0).count();
        assertTrue(wide >= 40, wide + " of 60 wide queries went out");
    }

    @Test
    void memoryGrantsFollowWhatAnswersTell() {
        RecordingActions gateway = RecordingActions.with(1, LOOKUP);
        for (int i = 0; i < 40; i++) {
            gateway.accept(i, 0);
            gateway.end(gateway.last(), AttemptOutcome.OK, 300, 250);
        }
        double grant = gateway.resources.get(gateway.resources.size() - 1)[1];
        assertTrue(gateway.resources.get(1)[1] > 250, "doubt adds to the first grants");
        assertTrue(grant >= 250 && grant < 350, grant + " MB");
    }
}
