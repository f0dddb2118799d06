// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import static calicostream.routing.RecordingActions.MILLIS;
import static calicostream.routing.RecordingActions.SECONDS;
import static calicostream.routing.RecordingActions.engine;
import static calicostream.routing.RecordingActions.lookupClass;
import static calicostream.routing.RecordingActions.queryClass;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The design, and the exceptions that failures made necessary. */
class BehaviourTest {
    private static final QueryClass LOOK = lookupClass(Idempotency.IDEMPOTENT);
    private static final QueryClass WIDE =
            queryClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL, false, 4, false);

    private static Set<Long> engines(RecordingActions r) {
        Set<Long> out = new HashSet<>();
        r.attempts.forEach(s -> out.add(s.engine()));
        return out;
    }

    @Test
    void groupStaysOnItsEngineAndAnotherGatewayLeansTheSameWay() {
        RecordingActions a = RecordingActions.with(6, LOOK);
        RecordingActions b = RecordingActions.with(6, LOOK);
        for (int i = 0; i < 5; i++) {
            a.accept(i, 0, 0, 0, 9, 100 * MILLIS);
            a.end(a.last(), AttemptOutcome.OK, 100, 50);
            b.accept(i, 0, 0, 0, 9, 100 * MILLIS);
            b.end(b.last(), AttemptOutcome.OK, 100, 50);
        }
        assertEquals(1, engines(a).size());
        assertEquals(engines(a), engines(b));
    }

    /** Nothing of a transaction goes to another engine, nor twice, nor against the rules. */
    @Test
    void pinnedQueryGoesToItsEngineOnceOrNowhere() {
        RecordingActions r = RecordingActions.with(6, LOOK);
        for (int i = 0; i < 12; i++) {
            long pin = 1 + i % 6;
            r.acceptSticky(i, 0, pin);
            assertEquals(pin, r.lastOf(i).engine());
            r.end(r.lastOf(i), i % 2 == 0 ? AttemptOutcome.ERROR : AttemptOutcome.OK);
        }
        assertEquals(12, r.attempts.size(), "an error is no reason to try again");
        r.endpoints(EndpointUpdate.INCREMENTAL, engine(3, 0, EngineLifecycle.DRAINING));
        r.acceptSticky(100, 0, 3);
        assertEquals(12, r.attempts.size(), "its engine drains");
        r.endpoints(EndpointUpdate.INCREMENTAL, engine(3, 0, EngineLifecycle.READY));
        assertEquals(3, r.lastOf(100).engine());
        r.end(r.lastOf(100), AttemptOutcome.OVERLOADED);
        assertEquals(3, r.lastOf(100).engine(), "what never ran may wait for the same engine");
    }

    @Test
    void queryGoesToAnOutsiderWhenTooManyAreDueBeforeItInTheSet() {
        RecordingActions r = RecordingActions.with(2, LOOK);
        for (int i = 100; i < 120; i++) {
            r.accept(i, 0, 0, 0, i, 100 * MILLIS);
            r.end(r.last(), AttemptOutcome.OK, 100, 50);
        }
        for (int i = 0; i <= AffinitySelector.MAX_AFFINITY_RANK; i++) {
            r.accept(i, 0);
            r.now += 1;
        }
        long home = r.lastOf(0).engine();
        for (int i = 0; i < AffinitySelector.MAX_AFFINITY_RANK; i++) {
            assertEquals(home, r.lastOf(i).engine());
        }
        assertNotEquals(home, r.last().engine());
    }

    /** Where neither hints nor answers tell the work of a query, its class's run times do. */
    @Test
    void shortClassGoesFirstWhereRunTimesAreAllThatTellsWork() {
        RecordingActions r = RecordingActions.with(1, LOOK, WIDE);
        for (int i = 1; i <= 40; i++) {
            r.accept(i, i % 2, 0, 0, i, 0);
            r.advance(i % 2 == 0 ? 20 * MILLIS : 1000 * MILLIS);
            r.end(r.lastOf(i), AttemptOutcome.OK);
        }
        for (int i = 101; i <= 106; i++) { // 20 threads and 1 of the 21 that 8 cores have room for
            r.accept(i, i <= 105 ? 1 : 0, 0, 0, i, 0);
        }
        r.accept(200, 1, 0, 0, 200, 0);
        r.accept(201, 0, 0, 0, 201, 0);
        assertTrue(r.last(106));
        r.end(r.lastOf(101), AttemptOutcome.OK);
        assertTrue(r.last(201), "the short one");
        RecordingActions next = RecordingActions.with(1, LOOK, WIDE);
        next.router.restoreLearnedRunTimes(r.router.learnedRunTimes());
        assertArrayEquals(r.router.learnedRunTimes(), next.router.learnedRunTimes());
    }

    /**
     * Cores stand idle where queries wait for disks or spill: such an engine has no room, whatever
     * its cores report.
     */
    @Test
    void engineWhoseMemoryOrDisksAreFullHasNoRoomThoughItsCoresIdle() {
        for (String column : List.of("x0", "x1")) {
            RecordingActions r = RecordingActions.with(1, LOOK);
            LoadReport cores = LoadReport.EMPTY.withColumn("inflight", 58).withColumn("util", 0.58);
            r.router.probeCompleted(r.now, 1, AttemptOutcome.OK, cores.withColumn(column, 0.6));
            r.accept(1, 0);
            assertTrue(r.last(1), "what is counted beyond the cores waits, and is no load");
            r.end(r.last(), AttemptOutcome.OK, 100, 50);
            r.router.probeCompleted(r.now, 1, AttemptOutcome.OK, cores.withColumn(column, 1.6));
            r.now += SECONDS;
            r.router.probeCompleted(r.now, 1, AttemptOutcome.OK, cores.withColumn(column, 1.6));
            r.accept(2, 0);
            assertTrue(r.last(1), column);
        }
    }

    /**
     * Served late it is worth little: what can still be in time goes first, by what runs of its
     * class take now.
     */
    @Test
    void heldQueryWhoseClassRunsTooLongForItsAimGivesWay() {
        RecordingActions r = RecordingActions.with(1, LOOK, lookupClass(Idempotency.IDEMPOTENT));
        for (int i = 1;
                i <= 3;
                i++) { // Jammed: runs of 3 s, where the aim is 2.2 s and the work 0.1 s.
            r.accept(i, 0, 0, 0, i, 100 * MILLIS);
            r.advance(3 * SECONDS);
            r.end(r.lastOf(i), AttemptOutcome.OK, 100, 50);
        }
        for (int i = 101; i <= 121; i++) { // All that 8 cores have room for.
            r.accept(i, 1, 0, 0, i, 200 * MILLIS);
        }
        r.accept(200, 0, 0, 0, 200, 100 * MILLIS);
        r.accept(201, 1, 0, 0, 201, 200 * MILLIS);
        r.advance(60 * MILLIS);
        assertTrue(r.last(121), "no room");
        r.end(r.lastOf(101), AttemptOutcome.OK, 200, 50);
        assertTrue(r.last(201), "the one that can still be in time");
    }

    @Test
    void loadedGroupGainsTheEngineThatReportsLeast() {
        RecordingActions r = RecordingActions.with(3, LOOK);
        r.accept(1, 0);
        long home = r.last().engine();
        long busy = home == 1 ? 2 : 1;
        long idle = 6 - home - busy;
        r.report(home, 9);
        r.report(busy, 6);
        r.report(idle, 0);
        r.accept(2, 0);
        assertEquals(idle, r.last().engine());
    }

    @Test
    void reportedLoadKeepsQueriesAway() {
        RecordingActions r = RecordingActions.with(2, LOOK);
        r.accept(1, 0);
        long home = r.last().engine();
        r.report(home, 60);
        r.report(3 - home, 0);
        r.accept(2, 0);
        assertEquals(3 - home, r.last().engine());
        r.end(r.attempts.get(0), AttemptOutcome.OK);
        r.now += 2 * SECONDS;
        r.report(home, 60);
        r.report(3 - home, 200);
        r.accept(3, 0);
        assertEquals(null, r.lastOf(3), "both are full");
        r.advance(30 * SECONDS);
        r.accept(4, 0);
        assertEquals(4, r.last().query(), "old reports fade");
    }

    @Test
    void busyShareIsReadAsLoad() {
        int[] sent = new int[2];
        for (int i = 0; i < 2; i++) {
            RecordingActions r = RecordingActions.with(RecordingActions.settings(3, LOOK), 1);
            r.router.probeCompleted(
                    r.now, 1, AttemptOutcome.OK, new LoadReport(Double.NaN, i == 0 ? 0.7 : 0.1));
            for (int q = 0; q < 30; q++) {
                r.accept(q, 0);
            }
            sent[i] = r.attempts.size();
        }
        assertTrue(
                sent[0] > 0 && sent[1] > sent[0],
                sent[0] + " on a busy engine, " + sent[1] + " on an idle one");
    }

    @Test
    void unusedMemberLeavesTheSet() {
        RecordingActions r = RecordingActions.with(4, LOOK);
        r.accept(1, 0);
        long home = r.last().engine();
        r.end(r.last(), AttemptOutcome.OK);
        r.advance(21 * SECONDS);
        for (long e = 1; e <= 4; e++) {
            r.report(e, e == home ? 8 : 0);
        }
        r.accept(2, 0);
        assertNotEquals(home, r.last().engine());
    }

    @Test
    void fullFleetHoldsQueriesAndServesTheMostWorthForWorkFirst() {
        RecordingActions r = RecordingActions.with(1, WIDE);
        for (int i = 0; i < 5; i++) {
            r.accept(i, 0, 0, 0, 1, 400 * MILLIS);
        }
        int before = r.attempts.size();
        r.accept(10, 0, 0, 0, 1, 900 * MILLIS);
        r.accept(11, 0, 0, 0, 1, 200 * MILLIS);
        assertEquals(before, r.attempts.size());
        r.end(r.attempts.get(0), AttemptOutcome.OK);
        assertEquals(11, r.last().query());
    }

    @Test
    void heldQueryIsTurnedAwayWhenItWouldEarnNothing() {
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
            RecordingActions r = RecordingActions.with(1, spec);
            for (int i = 0; i < 6; i++) {
                r.accept(i, 0, 0, 0, 1, 4 * SECONDS);
            }
            assertEquals(5, r.attempts.size());
            r.advance(6 * SECONDS); // Wanted within 4 s, given up after 10.
            assertEquals(spec == late ? List.of() : List.of(5L), r.rejected);
            r.end(r.attempts.get(0), AttemptOutcome.OK);
            assertEquals(spec == late, r.last(5));
        }
    }

    @Test
    void tenantBeyondItsShareComesLast() {
        RecordingActions r =
                RecordingActions.with(
                        RecordingActions.settings(
                                1,
                                3,
                                0,
                                false,
                                List.of(new TenantLimit(1), new TenantLimit(100)),
                                WIDE),
                        1);
        r.advance(SECONDS);
        for (int i = 0; i < 8; i++) {
            r.accept(i, 0, 0, 0, 1, 400 * MILLIS);
        }
        assertTrue(r.attempts.size() < 7, "the engine is full");
        r.accept(9, 0, 1, 0, 1, 900 * MILLIS);
        for (int i = 0; i < 3; i++) {
            r.end(r.attempts.get(i), AttemptOutcome.OK);
        }
        assertTrue(r.lastOf(9) != null);
        assertEquals(null, r.lastOf(7), "beyond its tenant's share");
    }

    @Test
    void badPlanIsStoppedAndDrawnAnewElsewhere() {
        RecordingActions r = RecordingActions.with(3, LOOK);
        r.accept(1, 0);
        r.advance(400 * MILLIS);
        r.router.progress(r.now, new QueryProgress(1, 0, ProgressKind.FRACTION_DONE, 0.05));
        assertEquals(1, r.cancelled.size());
        r.end(r.attempts.get(0), AttemptOutcome.CANCELLED);
        assertEquals(2, r.attempts.size());
        assertNotEquals(r.attempts.get(0).engine(), r.last().engine());
    }

    @Test
    void goodProgressAndWorkThatMustNotRepeatAreLeftAlone() {
        RecordingActions r =
                RecordingActions.with(3, LOOK, lookupClass(Idempotency.NON_IDEMPOTENT));
        r.accept(1, 0);
        r.accept(2, 1);
        r.advance(400 * MILLIS);
        r.router.progress(r.now, new QueryProgress(1, 0, ProgressKind.FRACTION_DONE, 0.9));
        r.router.progress(r.now, new QueryProgress(2, 0, ProgressKind.FRACTION_DONE, 0.1));
        assertTrue(r.cancelled.isEmpty());
    }

    @Test
    void silentEngineLosesItsQueriesAndIsTriedAgainLater() {
        RecordingActions r = RecordingActions.with(2, LOOK);
        for (int i = 0; i < 8; i++) {
            r.accept(i, 0);
        }
        r.advance(2 * SECONDS);
        assertEquals(8, r.cancelled.size());
        for (RecordingActions.Attempt s : List.copyOf(r.attempts)) {
            r.end(s, AttemptOutcome.CANCELLED);
        }
        for (RecordingActions.Attempt s :
                r.attempts.subList(8, r.attempts.size()).toArray(new RecordingActions.Attempt[0])) {
            r.end(s, AttemptOutcome.OK, 100, 50);
        }
        int back = 0;
        for (int i = 10; i < 60; i++) {
            r.accept(i, 0);
            back +=
                    r.logged.get(0).startsWith("engine " + r.last().engine() + " ejected: ")
                            ? 1
                            : 0;
            r.end(r.last(), AttemptOutcome.OK, 100, 50);
            r.advance(100 * MILLIS);
        }
        assertTrue(r.logged.stream().anyMatch(l -> l.endsWith("silent")), r.logged.toString());
        assertTrue(back > 0, "a trial wins it back");
    }

    @Test
    void attemptWithoutItsNoteIsLostThoughItsEngineAnswersOthers() {
        RecordingActions r = RecordingActions.with(1, LOOK);
        r.accept(1, 0);
        for (int i = 2; i < 11; i++) {
            r.advance(100 * MILLIS);
            r.accept(i, 0);
            r.end(r.last(), AttemptOutcome.OK, 100, 50);
        }
        assertEquals(1, r.cancelled.size());
        assertEquals(1, r.cancelled.get(0).query());
        assertTrue(r.logged.isEmpty(), "one lost attempt does not bench an engine that answers");
    }

    @Test
    void attemptWithItsNotesIsNotLost() {
        RecordingActions r = RecordingActions.with(1, LOOK);
        r.accept(1, 0, 0, 0, 1, 4 * SECONDS);
        for (int i = 1; i < 8; i++) {
            r.advance(500 * MILLIS);
            r.router.progress(r.now, new QueryProgress(1, 0, ProgressKind.FRACTION_DONE, i * 0.1));
        }
        assertTrue(r.cancelled.isEmpty());
    }

    @Test
    void errorsAtOnceDoNotMakeAnEngineLookIdle() {
        RecordingActions r = RecordingActions.with(4, LOOK);
        int onBad = 0;
        for (int i = 0; i < 60; i++) {
            r.accept(i, 0, 0, 0, i % 3, 100 * MILLIS);
            boolean bad = r.last().engine() == 1;
            onBad += bad ? 1 : 0;
            r.end(r.last(), bad ? AttemptOutcome.ERROR : AttemptOutcome.OK, bad ? 0 : 100, 50);
            if (bad && r.last().query() == i && r.last().engine() != 1) {
                r.end(r.last(), AttemptOutcome.OK, 100, 50);
            }
            r.advance(10 * MILLIS);
        }
        assertTrue(
                onBad <= OutlierDetector.EJECTION_SCORE,
                onBad + " queries went to the failing engine");
    }

    @Test
    void suspicionBenchesAThirdOfTheFleetAtMost() {
        RecordingActions r = RecordingActions.with(6, lookupClass(Idempotency.NON_IDEMPOTENT));
        for (int i = 0; i < 120; i++) {
            r.accept(i, 0, 0, 0, i % 24, 100 * MILLIS);
            r.now += 10 * MILLIS;
            r.end(r.last(), AttemptOutcome.CONNECTION_BROKEN);
        }
        long benched = r.logged.stream().distinct().count();
        assertTrue(benched > 0 && benched <= 3, r.logged.toString());
    }

    @Test
    void queryThatErrsOnTwoEnginesFailsByItsOwnFault() {
        RecordingActions r = RecordingActions.with(4, LOOK);
        for (int i = 0; i < 40; i++) {
            r.accept(i, 0, 0, 0, i, 100 * MILLIS);
            long first = r.last().engine();
            r.end(r.last(), AttemptOutcome.ERROR);
            assertTrue(r.last(i) && r.last().engine() != first);
            r.end(r.last(), AttemptOutcome.ERROR);
            r.advance(10 * MILLIS);
        }
        assertEquals(80, r.attempts.size(), "two attempts each");
        assertEquals(40, r.failed.size(), "asking again is no use");
        assertTrue(r.logged.isEmpty(), "engines are not to blame: " + r.logged);
    }

    @Test
    void engineThatErrsNowAndThenGetsNeitherLoadsNorSecondAttempts() {
        RecordingActions r =
                RecordingActions.with(3, LOOK, lookupClass(Idempotency.NON_IDEMPOTENT));
        for (int i = 0; i < 30; i++) {
            r.accept(i, 0, 0, 0, i, 100 * MILLIS);
            boolean errs = r.last().engine() == 1;
            r.end(r.last(), errs ? AttemptOutcome.ERROR : AttemptOutcome.OK, 100, 50);
            if (errs) {
                assertTrue(
                        r.last(i) && r.last().engine() != 1, "the second attempt goes elsewhere");
                r.end(r.last(), AttemptOutcome.OK, 100, 50);
                r.accept(1000 + i, 1, 0, 0, i, 100 * MILLIS);
                assertTrue(r.last().engine() != 1, "a load that errs may not go again");
                r.end(r.last(), AttemptOutcome.OK, 100, 50);
            }
            r.advance(10 * MILLIS);
        }
    }

    @Test
    void queryThatMeetsTwoFailingEnginesIsNotToBlame() {
        RecordingActions r = RecordingActions.with(5, LOOK);
        r.accept(1, 0, 0, 0, 7, 100 * MILLIS);
        long failing = r.last().engine();
        r.end(r.last(), AttemptOutcome.ERROR);
        r.end(r.last(), AttemptOutcome.OK, 100, 50);
        r.accept(2, 0, 0, 0, 7, 100 * MILLIS);
        assertEquals(failing, r.last().engine());
        r.end(r.last(), AttemptOutcome.ERROR);
        long other = r.last().engine();
        r.end(r.last(), AttemptOutcome.ERROR);
        assertTrue(r.last(2) && r.last().engine() != failing && r.last().engine() != other);
        assertTrue(r.failed.isEmpty());
    }

    @Test
    void queryThatIsAsSlowElsewhereIsLongItselfAndStays() {
        RecordingActions r = RecordingActions.with(4, LOOK);
        r.accept(1, 0, 0, 0, 0, 100 * MILLIS);
        r.now += 450 * MILLIS;
        r.router.progress(r.now, new QueryProgress(1, 0, ProgressKind.FRACTION_DONE, 0.1));
        assertEquals(1, r.cancelled.size());
        r.end(r.last(), AttemptOutcome.CANCELLED);
        assertEquals(1, r.last().attempt());
        r.now += 450 * MILLIS;
        r.router.progress(r.now, new QueryProgress(1, 1, ProgressKind.FRACTION_DONE, 0.1));
        assertEquals(1, r.cancelled.size(), "moved once");
    }

    @Test
    void runIsJudgedByWhatRunsOfItsClassTakeWhereNoWorkIsTold() {
        RecordingActions r = RecordingActions.with(4, LOOK);
        for (int i = 0; i < 20; i++) {
            r.accept(i, 0, 0, 0, i, 0);
            r.now += 3 * SECONDS;
            r.end(r.last(), AttemptOutcome.OK);
        }
        r.accept(100, 0, 0, 0, 1, 0);
        r.now += 1 * SECONDS;
        r.router.progress(r.now, new QueryProgress(100, 0, ProgressKind.FRACTION_DONE, 0.18));
        assertTrue(r.cancelled.isEmpty(), "4.6 s more is nothing unusual");
    }

    @Test
    void groupsThatNobodyNamesAnyMoreAreForgotten() {
        RecordingActions r = RecordingActions.with(4, LOOK);
        for (int i = 0; i < 3000; i++) {
            r.accept(i, 0, 0, 0, i, 100 * MILLIS);
            r.end(r.last(), AttemptOutcome.OK, 100, 50);
            r.advance(100 * MILLIS);
        }
        assertTrue(
                r.router.tableGroups() <= 1300,
                r.router.tableGroups() + " of 3000 in five minutes");
    }

    @Test
    void connectionThatBreaksAloneIsNotHeldAgainstItsEngine() {
        RecordingActions r = RecordingActions.with(RecordingActions.settings(50, LOOK), 1);
        for (int i = 0; i < 60; i++) {
            r.accept(i, 0, 0, 0, 1, 2 * SECONDS);
            r.end(
                    r.last(),
                    i % 3 == 0 ? AttemptOutcome.CONNECTION_BROKEN : AttemptOutcome.OK,
                    2000,
                    50);
            if (i % 3 == 0) {
                assertTrue(r.last(i), "it goes again");
                r.end(r.last(), AttemptOutcome.OK, 2000, 50);
            }
            r.advance(100 * MILLIS);
        }
        assertEquals(80, r.attempts.size(), "neither benched nor held for cold");
    }

    @Test
    void silenceAfterThisGatewayStoodStillIsNotHeldAgainstEngines() {
        RecordingActions still = RecordingActions.with(2, LOOK);
        RecordingActions awake = RecordingActions.with(2, LOOK);
        still.accept(1, 0, 0, 0, 1, 4 * SECONDS);
        awake.accept(1, 0, 0, 0, 1, 4 * SECONDS);
        still.now += 1500 * MILLIS;
        still.router.timerFired(still.now, RouterTimers.TICK_TOKEN);
        awake.advance(1500 * MILLIS);
        assertTrue(still.cancelled.isEmpty(), "notes are overdue by its own fault");
        assertEquals(1, awake.cancelled.size());
    }

    @Test
    void queryThatWaitsForMemoryShowsAFullEngine() {
        RecordingActions r = RecordingActions.with(1, LOOK);
        r.accept(1, 0);
        for (int i = 0; i < 12; i++) {
            r.router.progress(r.now, new QueryProgress(1, 0, ProgressKind.WAITING_FOR_MEMORY, 1));
            r.now += 20 * MILLIS;
        }
        r.accept(2, 0);
        assertEquals(1, r.attempts.size());
        r.advance(5 * SECONDS);
        r.accept(3, 0);
        assertEquals(3, r.last().query());
    }

    @Test
    void engineThatBrokeAConnectionIsColdUntilItCanBeWarm() {
        RecordingActions r = RecordingActions.with(RecordingActions.settings(50, LOOK), 1);
        r.accept(1, 0);
        r.end(r.last(), AttemptOutcome.RESET);
        int before = r.attempts.size();
        for (int i = 2; i < 60; i++) {
            r.advance(100 * MILLIS);
            r.accept(i, 0, 0, 0, 1, 2 * SECONDS);
            if (r.last().query() == i) {
                r.end(r.last(), AttemptOutcome.OK, 2000, 50);
            }
        }
        assertTrue(
                r.attempts.size() - before < 20,
                r.attempts.size() + " sent to an engine that may have restarted");
    }

    @Test
    void ownZoneLeadsWhereCrossingHasAPriceAndOnlyThere() {
        int[] home = new int[2];
        for (int i = 0; i < 2; i++) {
            RouterSettings s = RecordingActions.settings(1, LOOK);
            RecordingActions r =
                    RecordingActions.with(
                            new RouterSettings(
                                    1,
                                    0,
                                    1,
                                    new RoutingCosts(i * 0.04, 0),
                                    s.engineKinds(),
                                    s.classes(),
                                    s.tenants(),
                                    1,
                                    s.attemptLimits(),
                                    s.protectionRules(),
                                    s.engineCapabilities(),
                                    s.loadReporting(),
                                    false,
                                    s.tickUs()),
                            8);
            for (int q = 0; q < 200; q++) {
                r.accept(q, 0, 0, 0, q, 100 * MILLIS);
                home[i] += r.last().engine() % 2;
                r.end(r.last(), AttemptOutcome.OK, 100, 50);
            }
        }
        assertTrue(home[0] > 70 && home[0] < 130, home[0] + " of 200 at home without a price");
        assertTrue(home[1] > 150, home[1] + " of 200 at home with one");
    }

    @Test
    void whenAllEnginesAreInDoubtTheQueryStillGoesOut() {
        RecordingActions r =
                RecordingActions.with(2, LOOK, lookupClass(Idempotency.NON_IDEMPOTENT));
        r.accept(1, 0);
        r.end(r.last(), AttemptOutcome.CONNECT_FAILED);
        r.end(r.last(), AttemptOutcome.CONNECT_FAILED);
        r.accept(2, 1);
        assertEquals(2, r.last().query());
    }

    @Test
    void estimatesAndGrantsFollowWhatAnswersTell() {
        RecordingActions r = RecordingActions.with(1, LOOK);
        for (int i = 0; i < 40; i++) {
            r.accept(i, 0);
            r.end(r.last(), AttemptOutcome.OK, 300, 250);
        }
        double grant = r.resources.get(r.resources.size() - 1)[1];
        assertTrue(r.resources.get(1)[1] > 250, "doubt adds to the first grants");
        assertTrue(grant >= 250 && grant < 350, grant + " MB");
    }

    @Test
    void loadAndQueriesThatWaitForItAreKeptApart() {
        QueryClass load =
                queryClass(Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, false, 2, true);
        RecordingActions r = RecordingActions.with(3, LOOK, load);
        r.accept(1, 1);
        r.accept(2, 0);
        assertNotEquals(r.lastOf(1).engine(), r.lastOf(2).engine());
        r.end(r.lastOf(1), AttemptOutcome.OK);
        r.accept(3, 1);
        r.accept(4, 1);
        assertNotEquals(r.lastOf(3).engine(), r.lastOf(4).engine());
    }

    /**
     * Asks until a query looks before it is sent; that query's id. A quiet fleet is looked at for
     * some only.
     */
    private static long askUntilOneLooks(RecordingActions r) {
        for (long id = 1; id < 100; id++) {
            r.accept(id, 0);
            if (!r.last(id)) {
                return id;
            }
            r.end(r.last(), AttemptOutcome.OK, 100, 50);
        }
        throw new AssertionError("none of 100 queries looked");
    }

    /**
     * Of threads that are only counted some wait for disks: they fill an engine less than busy
     * cores do.
     */
    @Test
    void engineHasMoreRoomForThreadsWhereNothingTellsOfItsCores() {
        for (double busy : new double[] {Double.NaN, 0.9}) {
            RecordingActions r = RecordingActions.with(1, LOOK);
            for (int i = 0; i < 30; i++) {
                r.router.probeCompleted(r.now, 1, AttemptOutcome.OK, new LoadReport(i, busy));
                r.accept(i, 0);
            }
            assertEquals(
                    (int)
                            (8
                                    * (Double.isNaN(busy)
                                            ? CapacityEstimator.THREADS_PER_UNREPORTED_CORE
                                            : CapacityEstimator.THREADS_PER_CORE)),
                    r.attempts.size());
        }
    }

    @Test
    void queryLooksBeforeItIsSentAndGoesWhereThereIsRoom() {
        RecordingActions r =
                RecordingActions.with(
                        RecordingActions.settings(20, 3, 0, true, List.of(), LOOK), 2);
        long query = askUntilOneLooks(r);
        assertEquals(2, r.probed.size());
        r.report(r.probed.get(0), 40);
        assertEquals(null, r.lastOf(query), "one answer is still out");
        r.report(r.probed.get(1), 1);
        assertEquals(r.probed.get(1), r.lastOf(query).engine());
        r.accept(200, 0);
        assertEquals(2, r.probed.size(), "fresh reports are not asked for again");
        RecordingActions none =
                RecordingActions.with(
                        RecordingActions.settings(20, 3, 0, false, List.of(), LOOK), 2);
        none.accept(query, 0);
        assertTrue(none.probed.isEmpty());
        assertEquals(1, none.attempts.size());
    }

    @Test
    void lookThatIsNotAnsweredHoldsAQueryForAMomentOnly() {
        RecordingActions r =
                RecordingActions.with(
                        RecordingActions.settings(20, 3, 0, true, List.of(), LOOK), 2);
        long query = askUntilOneLooks(r);
        r.advance(100 * MILLIS);
        assertTrue(r.last(query));
    }

    @Test
    void rosterIsAskedForOnlyWhereItMustBeAndAgainAfterAFailure() {
        RecordingActions pushed = RecordingActions.with(1, LOOK);
        pushed.endpoints(EndpointUpdate.FAILED);
        pushed.advance(5 * SECONDS);
        assertEquals(0, pushed.watchRequests);
        RecordingActions r =
                RecordingActions.with(
                        RecordingActions.settings(1, 3, 0, false, List.of(), true, LOOK), 1);
        assertEquals(1, r.watchRequests);
        r.endpoints(EndpointUpdate.FAILED);
        r.advance(500 * MILLIS);
        assertEquals(1, r.watchRequests);
        r.advance(5 * SECONDS);
        assertEquals(2, r.watchRequests);
        r.accept(1, 0);
        assertEquals(1, r.last().engine(), "the old list still applies");
    }

    @Test
    void clockThatStandsStillAndRepeatedListsChangeNothing() {
        RecordingActions r = RecordingActions.with(2, LOOK);
        for (int i = 0; i < 50; i++) {
            r.endpoints(
                    EndpointUpdate.COMPLETE,
                    engine(1, 0, EngineLifecycle.READY),
                    engine(2, 0, EngineLifecycle.READY));
            r.router.timerFired(r.now, RouterTimers.TICK_TOKEN);
            r.accept(i, 0);
            r.end(r.last(), AttemptOutcome.OK, 100, 50);
        }
        assertEquals(50, r.attempts.size());
        assertEquals(0, r.rejected.size() + r.failed.size());
    }

    @Test
    void reportsThatAreAlwaysLowDoNotOverfillAnEngine() {
        RecordingActions r = RecordingActions.with(2, LOOK);
        for (int i = 0; i < 200; i++) {
            r.report(1, 0);
            r.report(2, 40);
            r.accept(i, 0, 0, 0, i % 6, 100 * MILLIS);
        }
        long most = r.attempts.stream().filter(s -> s.engine() == 1).count();
        assertTrue(
                most > 0 && most <= CapacityEstimator.THREADS_PER_UNREPORTED_CORE * 8 + 1,
                most + " queries at once");
    }

    @Test
    void wideClassIsNotStarvedByManySmallQueries() {
        RecordingActions r = RecordingActions.with(1, LOOK, WIDE);
        int wide = 0;
        for (int i = 0; i < 600; i++) {
            r.accept(i, i % 10 == 0 ? 1 : 0, 0, 0, 1, (i % 10 == 0 ? 800 : 100) * MILLIS);
            r.advance(10 * MILLIS);
            long now = r.now;
            List<RecordingActions.Attempt> due =
                    r.attempts.stream().filter(s -> now - s.at() == 100 * MILLIS).toList();
            due.forEach(s -> r.end(s, AttemptOutcome.OK, s.query() % 10 == 0 ? 800 : 100, 50));
        }
        wide = (int) r.attempts.stream().filter(s -> s.query() % 10 == 0).count();
        assertTrue(wide >= 40, wide + " of 60 wide queries went out");
    }

    @Test
    void unknownClassGroupAndTenantAndNoEnginesAreHandled() {
        RecordingActions r = RecordingActions.with(2, LOOK);
        r.accept(1, 9);
        assertEquals(List.of(1L), r.rejected);
        r.accept(2, 0, 44, 0, -3, 0);
        assertEquals(2, r.last().query());
        r.endpoints(EndpointUpdate.COMPLETE);
        r.endpoints(EndpointUpdate.COMPLETE);
        r.accept(3, 0);
        r.endpoints(EndpointUpdate.INCREMENTAL, engine(5, 0, EngineLifecycle.READY));
        assertEquals(3, r.last().query());
        assertEquals(5, r.last().engine());
    }
}
