// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import static calicostream.routing.Recorder.MS;
import static calicostream.routing.Recorder.S;
import static calicostream.routing.Recorder.engine;
import static calicostream.routing.Recorder.look;
import static calicostream.routing.Recorder.queryClass;
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
    private static final QueryClass LOOK = look(Idempotency.IDEMPOTENT);
    private static final QueryClass WIDE =
            queryClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL, false, 4, false);

    private static Set<Long> engines(Recorder r) {
        Set<Long> out = new HashSet<>();
        r.sent.forEach(s -> out.add(s.engine()));
        return out;
    }

    @Test
    void groupStaysOnItsEngineAndAnotherGatewayLeansTheSameWay() {
        Recorder a = Recorder.with(6, LOOK);
        Recorder b = Recorder.with(6, LOOK);
        for (int i = 0; i < 5; i++) {
            a.ask(i, 0, 0, 0, 9, 100 * MS);
            a.end(a.last(), AttemptOutcome.OK, 100, 50);
            b.ask(i, 0, 0, 0, 9, 100 * MS);
            b.end(b.last(), AttemptOutcome.OK, 100, 50);
        }
        assertEquals(1, engines(a).size());
        assertEquals(engines(a), engines(b));
    }

    /** Nothing of a transaction goes to another engine, nor twice, nor against the rules. */
    @Test
    void pinnedQueryGoesToItsEngineOnceOrNowhere() {
        Recorder r = Recorder.with(6, LOOK);
        for (int i = 0; i < 12; i++) {
            long pin = 1 + i % 6;
            r.askPinned(i, 0, pin);
            assertEquals(pin, r.lastOf(i).engine());
            r.end(r.lastOf(i), i % 2 == 0 ? AttemptOutcome.ERROR : AttemptOutcome.OK);
        }
        assertEquals(12, r.sent.size(), "an error is no reason to try again");
        r.roster(EndpointUpdate.INCREMENTAL, engine(3, 0, EngineLifecycle.DRAINING));
        r.askPinned(100, 0, 3);
        assertEquals(12, r.sent.size(), "its engine drains");
        r.roster(EndpointUpdate.INCREMENTAL, engine(3, 0, EngineLifecycle.READY));
        assertEquals(3, r.lastOf(100).engine());
        r.end(r.lastOf(100), AttemptOutcome.OVERLOADED);
        assertEquals(3, r.lastOf(100).engine(), "what never ran may wait for the same engine");
    }

    @Test
    void queryGoesToAnOutsiderWhenTooManyAreDueBeforeItInTheSet() {
        Recorder r = Recorder.with(2, LOOK);
        for (int i = 100; i < 120; i++) {
            r.ask(i, 0, 0, 0, i, 100 * MS);
            r.end(r.last(), AttemptOutcome.OK, 100, 50);
        }
        for (int i = 0; i <= AffinitySelector.MAX_AFFINITY_RANK; i++) {
            r.ask(i, 0);
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
        Recorder r = Recorder.with(1, LOOK, WIDE);
        for (int i = 1; i <= 40; i++) {
            r.ask(i, i % 2, 0, 0, i, 0);
            r.pass(i % 2 == 0 ? 20 * MS : 1000 * MS);
            r.end(r.lastOf(i), AttemptOutcome.OK);
        }
        for (int i = 101; i <= 106; i++) { // 20 threads and 1 of the 21 that 8 cores have room for
            r.ask(i, i <= 105 ? 1 : 0, 0, 0, i, 0);
        }
        r.ask(200, 1, 0, 0, 200, 0);
        r.ask(201, 0, 0, 0, 201, 0);
        assertTrue(r.last(106));
        r.end(r.lastOf(101), AttemptOutcome.OK);
        assertTrue(r.last(201), "the short one");
        Recorder next = Recorder.with(1, LOOK, WIDE);
        next.logic.restoreLearnedRunTimes(r.logic.learnedRunTimes());
        assertArrayEquals(r.logic.learnedRunTimes(), next.logic.learnedRunTimes());
    }

    /**
     * Cores stand idle where queries wait for disks or spill: such an engine has no room, whatever
     * its cores report.
     */
    @Test
    void engineWhoseMemoryOrDisksAreFullHasNoRoomThoughItsCoresIdle() {
        for (String column : List.of("x0", "x1")) {
            Recorder r = Recorder.with(1, LOOK);
            LoadReport cores = LoadReport.EMPTY.withColumn("inflight", 58).withColumn("util", 0.58);
            r.logic.probeCompleted(r.now, 1, AttemptOutcome.OK, cores.withColumn(column, 0.6));
            r.ask(1, 0);
            assertTrue(r.last(1), "what is counted beyond the cores waits, and is no load");
            r.end(r.last(), AttemptOutcome.OK, 100, 50);
            r.logic.probeCompleted(r.now, 1, AttemptOutcome.OK, cores.withColumn(column, 1.6));
            r.now += S;
            r.logic.probeCompleted(r.now, 1, AttemptOutcome.OK, cores.withColumn(column, 1.6));
            r.ask(2, 0);
            assertTrue(r.last(1), column);
        }
    }

    /**
     * Served late it is worth little: what can still be in time goes first, by what runs of its
     * class take now.
     */
    @Test
    void heldQueryWhoseClassRunsTooLongForItsAimGivesWay() {
        Recorder r = Recorder.with(1, LOOK, look(Idempotency.IDEMPOTENT));
        for (int i = 1;
                i <= 3;
                i++) { // Jammed: runs of 3 s, where the aim is 2.2 s and the work 0.1 s.
            r.ask(i, 0, 0, 0, i, 100 * MS);
            r.pass(3 * S);
            r.end(r.lastOf(i), AttemptOutcome.OK, 100, 50);
        }
        for (int i = 101; i <= 121; i++) { // All that 8 cores have room for.
            r.ask(i, 1, 0, 0, i, 200 * MS);
        }
        r.ask(200, 0, 0, 0, 200, 100 * MS);
        r.ask(201, 1, 0, 0, 201, 200 * MS);
        r.pass(60 * MS);
        assertTrue(r.last(121), "no room");
        r.end(r.lastOf(101), AttemptOutcome.OK, 200, 50);
        assertTrue(r.last(201), "the one that can still be in time");
    }

    @Test
    void loadedGroupGainsTheEngineThatReportsLeast() {
        Recorder r = Recorder.with(3, LOOK);
        r.ask(1, 0);
        long home = r.last().engine();
        long busy = home == 1 ? 2 : 1;
        long idle = 6 - home - busy;
        r.report(home, 9);
        r.report(busy, 6);
        r.report(idle, 0);
        r.ask(2, 0);
        assertEquals(idle, r.last().engine());
    }

    @Test
    void reportedLoadKeepsQueriesAway() {
        Recorder r = Recorder.with(2, LOOK);
        r.ask(1, 0);
        long home = r.last().engine();
        r.report(home, 60);
        r.report(3 - home, 0);
        r.ask(2, 0);
        assertEquals(3 - home, r.last().engine());
        r.end(r.sent.get(0), AttemptOutcome.OK);
        r.now += 2 * S;
        r.report(home, 60);
        r.report(3 - home, 200);
        r.ask(3, 0);
        assertEquals(null, r.lastOf(3), "both are full");
        r.pass(30 * S);
        r.ask(4, 0);
        assertEquals(4, r.last().query(), "old reports fade");
    }

    @Test
    void busyShareIsReadAsLoad() {
        int[] sent = new int[2];
        for (int i = 0; i < 2; i++) {
            Recorder r = Recorder.with(Recorder.settings(3, LOOK), 1);
            r.logic.probeCompleted(
                    r.now, 1, AttemptOutcome.OK, new LoadReport(Double.NaN, i == 0 ? 0.7 : 0.1));
            for (int q = 0; q < 30; q++) {
                r.ask(q, 0);
            }
            sent[i] = r.sent.size();
        }
        assertTrue(
                sent[0] > 0 && sent[1] > sent[0],
                sent[0] + " on a busy engine, " + sent[1] + " on an idle one");
    }

    @Test
    void unusedMemberLeavesTheSet() {
        Recorder r = Recorder.with(4, LOOK);
        r.ask(1, 0);
        long home = r.last().engine();
        r.end(r.last(), AttemptOutcome.OK);
        r.pass(21 * S);
        for (long e = 1; e <= 4; e++) {
            r.report(e, e == home ? 8 : 0);
        }
        r.ask(2, 0);
        assertNotEquals(home, r.last().engine());
    }

    @Test
    void fullFleetHoldsQueriesAndServesTheMostWorthForWorkFirst() {
        Recorder r = Recorder.with(1, WIDE);
        for (int i = 0; i < 5; i++) {
            r.ask(i, 0, 0, 0, 1, 400 * MS);
        }
        int before = r.sent.size();
        r.ask(10, 0, 0, 0, 1, 900 * MS);
        r.ask(11, 0, 0, 0, 1, 200 * MS);
        assertEquals(before, r.sent.size());
        r.end(r.sent.get(0), AttemptOutcome.OK);
        assertEquals(11, r.last().query());
    }

    @Test
    void heldQueryIsTurnedAwayWhenItWouldEarnNothing() {
        QueryClass late =
                queryClass(Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, false, 4, false);
        QueryClass never =
                new QueryClass(
                        2 * S,
                        2,
                        10 * S,
                        1,
                        0,
                        Idempotency.NON_IDEMPOTENT,
                        IdempotencyScope.ALL,
                        3 * S,
                        false,
                        false,
                        4,
                        false,
                        true,
                        List.of(),
                        List.of());
        for (QueryClass spec : List.of(late, never)) {
            Recorder r = Recorder.with(1, spec);
            for (int i = 0; i < 6; i++) {
                r.ask(i, 0, 0, 0, 1, 4 * S);
            }
            assertEquals(5, r.sent.size());
            r.pass(6 * S); // Wanted within 4 s, given up after 10.
            assertEquals(spec == late ? List.of() : List.of(5L), r.refused);
            r.end(r.sent.get(0), AttemptOutcome.OK);
            assertEquals(spec == late, r.last(5));
        }
    }

    @Test
    void tenantBeyondItsShareComesLast() {
        Recorder r =
                Recorder.with(
                        Recorder.settings(
                                1,
                                3,
                                0,
                                false,
                                List.of(new TenantLimit(1), new TenantLimit(100)),
                                WIDE),
                        1);
        r.pass(S);
        for (int i = 0; i < 8; i++) {
            r.ask(i, 0, 0, 0, 1, 400 * MS);
        }
        assertTrue(r.sent.size() < 7, "the engine is full");
        r.ask(9, 0, 1, 0, 1, 900 * MS);
        for (int i = 0; i < 3; i++) {
            r.end(r.sent.get(i), AttemptOutcome.OK);
        }
        assertTrue(r.lastOf(9) != null);
        assertEquals(null, r.lastOf(7), "beyond its tenant's share");
    }

    @Test
    void badPlanIsStoppedAndDrawnAnewElsewhere() {
        Recorder r = Recorder.with(3, LOOK);
        r.ask(1, 0);
        r.pass(400 * MS);
        r.logic.progress(r.now, new QueryProgress(1, 0, ProgressKind.FRACTION_DONE, 0.05));
        assertEquals(1, r.cancelled.size());
        r.end(r.sent.get(0), AttemptOutcome.CANCELLED);
        assertEquals(2, r.sent.size());
        assertNotEquals(r.sent.get(0).engine(), r.last().engine());
    }

    @Test
    void goodProgressAndWorkThatMustNotRepeatAreLeftAlone() {
        Recorder r = Recorder.with(3, LOOK, look(Idempotency.NON_IDEMPOTENT));
        r.ask(1, 0);
        r.ask(2, 1);
        r.pass(400 * MS);
        r.logic.progress(r.now, new QueryProgress(1, 0, ProgressKind.FRACTION_DONE, 0.9));
        r.logic.progress(r.now, new QueryProgress(2, 0, ProgressKind.FRACTION_DONE, 0.1));
        assertTrue(r.cancelled.isEmpty());
    }

    @Test
    void silentEngineLosesItsQueriesAndIsTriedAgainLater() {
        Recorder r = Recorder.with(2, LOOK);
        for (int i = 0; i < 8; i++) {
            r.ask(i, 0);
        }
        r.pass(2 * S);
        assertEquals(8, r.cancelled.size());
        for (Recorder.Sent s : List.copyOf(r.sent)) {
            r.end(s, AttemptOutcome.CANCELLED);
        }
        for (Recorder.Sent s : r.sent.subList(8, r.sent.size()).toArray(new Recorder.Sent[0])) {
            r.end(s, AttemptOutcome.OK, 100, 50);
        }
        int back = 0;
        for (int i = 10; i < 60; i++) {
            r.ask(i, 0);
            back +=
                    r.logged.get(0).startsWith("engine " + r.last().engine() + " ejected: ")
                            ? 1
                            : 0;
            r.end(r.last(), AttemptOutcome.OK, 100, 50);
            r.pass(100 * MS);
        }
        assertTrue(r.logged.stream().anyMatch(l -> l.endsWith("silent")), r.logged.toString());
        assertTrue(back > 0, "a trial wins it back");
    }

    @Test
    void attemptWithoutItsNoteIsLostThoughItsEngineAnswersOthers() {
        Recorder r = Recorder.with(1, LOOK);
        r.ask(1, 0);
        for (int i = 2; i < 11; i++) {
            r.pass(100 * MS);
            r.ask(i, 0);
            r.end(r.last(), AttemptOutcome.OK, 100, 50);
        }
        assertEquals(1, r.cancelled.size());
        assertEquals(1, r.cancelled.get(0).query());
        assertTrue(r.logged.isEmpty(), "one lost attempt does not bench an engine that answers");
    }

    @Test
    void attemptWithItsNotesIsNotLost() {
        Recorder r = Recorder.with(1, LOOK);
        r.ask(1, 0, 0, 0, 1, 4 * S);
        for (int i = 1; i < 8; i++) {
            r.pass(500 * MS);
            r.logic.progress(r.now, new QueryProgress(1, 0, ProgressKind.FRACTION_DONE, i * 0.1));
        }
        assertTrue(r.cancelled.isEmpty());
    }

    @Test
    void errorsAtOnceDoNotMakeAnEngineLookIdle() {
        Recorder r = Recorder.with(4, LOOK);
        int onBad = 0;
        for (int i = 0; i < 60; i++) {
            r.ask(i, 0, 0, 0, i % 3, 100 * MS);
            boolean bad = r.last().engine() == 1;
            onBad += bad ? 1 : 0;
            r.end(r.last(), bad ? AttemptOutcome.ERROR : AttemptOutcome.OK, bad ? 0 : 100, 50);
            if (bad && r.last().query() == i && r.last().engine() != 1) {
                r.end(r.last(), AttemptOutcome.OK, 100, 50);
            }
            r.pass(10 * MS);
        }
        assertTrue(
                onBad <= OutlierDetector.EJECTION_SCORE,
                onBad + " queries went to the failing engine");
    }

    @Test
    void suspicionBenchesAThirdOfTheFleetAtMost() {
        Recorder r = Recorder.with(6, look(Idempotency.NON_IDEMPOTENT));
        for (int i = 0; i < 120; i++) {
            r.ask(i, 0, 0, 0, i % 24, 100 * MS);
            r.now += 10 * MS;
            r.end(r.last(), AttemptOutcome.CONNECTION_BROKEN);
        }
        long benched = r.logged.stream().distinct().count();
        assertTrue(benched > 0 && benched <= 3, r.logged.toString());
    }

    @Test
    void queryThatErrsOnTwoEnginesFailsByItsOwnFault() {
        Recorder r = Recorder.with(4, LOOK);
        for (int i = 0; i < 40; i++) {
            r.ask(i, 0, 0, 0, i, 100 * MS);
            long first = r.last().engine();
            r.end(r.last(), AttemptOutcome.ERROR);
            assertTrue(r.last(i) && r.last().engine() != first);
            r.end(r.last(), AttemptOutcome.ERROR);
            r.pass(10 * MS);
        }
        assertEquals(80, r.sent.size(), "two attempts each");
        assertEquals(40, r.failed.size(), "asking again is no use");
        assertTrue(r.logged.isEmpty(), "engines are not to blame: " + r.logged);
    }

    @Test
    void engineThatErrsNowAndThenGetsNeitherLoadsNorSecondAttempts() {
        Recorder r = Recorder.with(3, LOOK, look(Idempotency.NON_IDEMPOTENT));
        for (int i = 0; i < 30; i++) {
            r.ask(i, 0, 0, 0, i, 100 * MS);
            boolean errs = r.last().engine() == 1;
            r.end(r.last(), errs ? AttemptOutcome.ERROR : AttemptOutcome.OK, 100, 50);
            if (errs) {
                assertTrue(
                        r.last(i) && r.last().engine() != 1, "the second attempt goes elsewhere");
                r.end(r.last(), AttemptOutcome.OK, 100, 50);
                r.ask(1000 + i, 1, 0, 0, i, 100 * MS);
                assertTrue(r.last().engine() != 1, "a load that errs may not go again");
                r.end(r.last(), AttemptOutcome.OK, 100, 50);
            }
            r.pass(10 * MS);
        }
    }

    @Test
    void queryThatMeetsTwoFailingEnginesIsNotToBlame() {
        Recorder r = Recorder.with(5, LOOK);
        r.ask(1, 0, 0, 0, 7, 100 * MS);
        long failing = r.last().engine();
        r.end(r.last(), AttemptOutcome.ERROR);
        r.end(r.last(), AttemptOutcome.OK, 100, 50);
        r.ask(2, 0, 0, 0, 7, 100 * MS);
        assertEquals(failing, r.last().engine());
        r.end(r.last(), AttemptOutcome.ERROR);
        long other = r.last().engine();
        r.end(r.last(), AttemptOutcome.ERROR);
        assertTrue(r.last(2) && r.last().engine() != failing && r.last().engine() != other);
        assertTrue(r.failed.isEmpty());
    }

    @Test
    void queryThatIsAsSlowElsewhereIsLongItselfAndStays() {
        Recorder r = Recorder.with(4, LOOK);
        r.ask(1, 0, 0, 0, 0, 100 * MS);
        r.now += 450 * MS;
        r.logic.progress(r.now, new QueryProgress(1, 0, ProgressKind.FRACTION_DONE, 0.1));
        assertEquals(1, r.cancelled.size());
        r.end(r.last(), AttemptOutcome.CANCELLED);
        assertEquals(1, r.last().attempt());
        r.now += 450 * MS;
        r.logic.progress(r.now, new QueryProgress(1, 1, ProgressKind.FRACTION_DONE, 0.1));
        assertEquals(1, r.cancelled.size(), "moved once");
    }

    @Test
    void runIsJudgedByWhatRunsOfItsClassTakeWhereNoWorkIsTold() {
        Recorder r = Recorder.with(4, LOOK);
        for (int i = 0; i < 20; i++) {
            r.ask(i, 0, 0, 0, i, 0);
            r.now += 3 * S;
            r.end(r.last(), AttemptOutcome.OK);
        }
        r.ask(100, 0, 0, 0, 1, 0);
        r.now += 1 * S;
        r.logic.progress(r.now, new QueryProgress(100, 0, ProgressKind.FRACTION_DONE, 0.18));
        assertTrue(r.cancelled.isEmpty(), "4.6 s more is nothing unusual");
    }

    @Test
    void groupsThatNobodyNamesAnyMoreAreForgotten() {
        Recorder r = Recorder.with(4, LOOK);
        for (int i = 0; i < 3000; i++) {
            r.ask(i, 0, 0, 0, i, 100 * MS);
            r.end(r.last(), AttemptOutcome.OK, 100, 50);
            r.pass(100 * MS);
        }
        assertTrue(
                r.logic.tableGroups() <= 1300, r.logic.tableGroups() + " of 3000 in five minutes");
    }

    @Test
    void connectionThatBreaksAloneIsNotHeldAgainstItsEngine() {
        Recorder r = Recorder.with(Recorder.settings(50, LOOK), 1);
        for (int i = 0; i < 60; i++) {
            r.ask(i, 0, 0, 0, 1, 2 * S);
            r.end(
                    r.last(),
                    i % 3 == 0 ? AttemptOutcome.CONNECTION_BROKEN : AttemptOutcome.OK,
                    2000,
                    50);
            if (i % 3 == 0) {
                assertTrue(r.last(i), "it goes again");
                r.end(r.last(), AttemptOutcome.OK, 2000, 50);
            }
            r.pass(100 * MS);
        }
        assertEquals(80, r.sent.size(), "neither benched nor held for cold");
    }

    @Test
    void silenceAfterThisGatewayStoodStillIsNotHeldAgainstEngines() {
        Recorder still = Recorder.with(2, LOOK);
        Recorder awake = Recorder.with(2, LOOK);
        still.ask(1, 0, 0, 0, 1, 4 * S);
        awake.ask(1, 0, 0, 0, 1, 4 * S);
        still.now += 1500 * MS;
        still.logic.timerFired(still.now, RouterTimers.TICK_TOKEN);
        awake.pass(1500 * MS);
        assertTrue(still.cancelled.isEmpty(), "notes are overdue by its own fault");
        assertEquals(1, awake.cancelled.size());
    }

    @Test
    void queryThatWaitsForMemoryShowsAFullEngine() {
        Recorder r = Recorder.with(1, LOOK);
        r.ask(1, 0);
        for (int i = 0; i < 12; i++) {
            r.logic.progress(r.now, new QueryProgress(1, 0, ProgressKind.WAITING_FOR_MEMORY, 1));
            r.now += 20 * MS;
        }
        r.ask(2, 0);
        assertEquals(1, r.sent.size());
        r.pass(5 * S);
        r.ask(3, 0);
        assertEquals(3, r.last().query());
    }

    @Test
    void engineThatBrokeAConnectionIsColdUntilItCanBeWarm() {
        Recorder r = Recorder.with(Recorder.settings(50, LOOK), 1);
        r.ask(1, 0);
        r.end(r.last(), AttemptOutcome.RESET);
        int before = r.sent.size();
        for (int i = 2; i < 60; i++) {
            r.pass(100 * MS);
            r.ask(i, 0, 0, 0, 1, 2 * S);
            if (r.last().query() == i) {
                r.end(r.last(), AttemptOutcome.OK, 2000, 50);
            }
        }
        assertTrue(
                r.sent.size() - before < 20,
                r.sent.size() + " sent to an engine that may have restarted");
    }

    @Test
    void ownZoneLeadsWhereCrossingHasAPriceAndOnlyThere() {
        int[] home = new int[2];
        for (int i = 0; i < 2; i++) {
            RouterSettings s = Recorder.settings(1, LOOK);
            Recorder r =
                    Recorder.with(
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
                r.ask(q, 0, 0, 0, q, 100 * MS);
                home[i] += r.last().engine() % 2;
                r.end(r.last(), AttemptOutcome.OK, 100, 50);
            }
        }
        assertTrue(home[0] > 70 && home[0] < 130, home[0] + " of 200 at home without a price");
        assertTrue(home[1] > 150, home[1] + " of 200 at home with one");
    }

    @Test
    void whenAllEnginesAreInDoubtTheQueryStillGoesOut() {
        Recorder r = Recorder.with(2, LOOK, look(Idempotency.NON_IDEMPOTENT));
        r.ask(1, 0);
        r.end(r.last(), AttemptOutcome.CONNECT_FAILED);
        r.end(r.last(), AttemptOutcome.CONNECT_FAILED);
        r.ask(2, 1);
        assertEquals(2, r.last().query());
    }

    @Test
    void estimatesAndGrantsFollowWhatAnswersTell() {
        Recorder r = Recorder.with(1, LOOK);
        for (int i = 0; i < 40; i++) {
            r.ask(i, 0);
            r.end(r.last(), AttemptOutcome.OK, 300, 250);
        }
        double grant = r.terms.get(r.terms.size() - 1)[1];
        assertTrue(r.terms.get(1)[1] > 250, "doubt adds to the first grants");
        assertTrue(grant >= 250 && grant < 350, grant + " MB");
    }

    @Test
    void loadAndQueriesThatWaitForItAreKeptApart() {
        QueryClass load =
                queryClass(Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, false, 2, true);
        Recorder r = Recorder.with(3, LOOK, load);
        r.ask(1, 1);
        r.ask(2, 0);
        assertNotEquals(r.lastOf(1).engine(), r.lastOf(2).engine());
        r.end(r.lastOf(1), AttemptOutcome.OK);
        r.ask(3, 1);
        r.ask(4, 1);
        assertNotEquals(r.lastOf(3).engine(), r.lastOf(4).engine());
    }

    /**
     * Asks until a query looks before it is sent; that query's id. A quiet fleet is looked at for
     * some only.
     */
    private static long askUntilOneLooks(Recorder r) {
        for (long id = 1; id < 100; id++) {
            r.ask(id, 0);
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
            Recorder r = Recorder.with(1, LOOK);
            for (int i = 0; i < 30; i++) {
                r.logic.probeCompleted(r.now, 1, AttemptOutcome.OK, new LoadReport(i, busy));
                r.ask(i, 0);
            }
            assertEquals(
                    (int)
                            (8
                                    * (Double.isNaN(busy)
                                            ? CapacityEstimator.THREADS_PER_UNREPORTED_CORE
                                            : CapacityEstimator.THREADS_PER_CORE)),
                    r.sent.size());
        }
    }

    @Test
    void queryLooksBeforeItIsSentAndGoesWhereThereIsRoom() {
        Recorder r = Recorder.with(Recorder.settings(20, 3, 0, true, List.of(), LOOK), 2);
        long query = askUntilOneLooks(r);
        assertEquals(2, r.probed.size());
        r.report(r.probed.get(0), 40);
        assertEquals(null, r.lastOf(query), "one answer is still out");
        r.report(r.probed.get(1), 1);
        assertEquals(r.probed.get(1), r.lastOf(query).engine());
        r.ask(200, 0);
        assertEquals(2, r.probed.size(), "fresh reports are not asked for again");
        Recorder none = Recorder.with(Recorder.settings(20, 3, 0, false, List.of(), LOOK), 2);
        none.ask(query, 0);
        assertTrue(none.probed.isEmpty());
        assertEquals(1, none.sent.size());
    }

    @Test
    void lookThatIsNotAnsweredHoldsAQueryForAMomentOnly() {
        Recorder r = Recorder.with(Recorder.settings(20, 3, 0, true, List.of(), LOOK), 2);
        long query = askUntilOneLooks(r);
        r.pass(100 * MS);
        assertTrue(r.last(query));
    }

    @Test
    void rosterIsAskedForOnlyWhereItMustBeAndAgainAfterAFailure() {
        Recorder pushed = Recorder.with(1, LOOK);
        pushed.roster(EndpointUpdate.FAILED);
        pushed.pass(5 * S);
        assertEquals(0, pushed.subscriptions);
        Recorder r = Recorder.with(Recorder.settings(1, 3, 0, false, List.of(), true, LOOK), 1);
        assertEquals(1, r.subscriptions);
        r.roster(EndpointUpdate.FAILED);
        r.pass(500 * MS);
        assertEquals(1, r.subscriptions);
        r.pass(5 * S);
        assertEquals(2, r.subscriptions);
        r.ask(1, 0);
        assertEquals(1, r.last().engine(), "the old list still applies");
    }

    @Test
    void clockThatStandsStillAndRepeatedListsChangeNothing() {
        Recorder r = Recorder.with(2, LOOK);
        for (int i = 0; i < 50; i++) {
            r.roster(
                    EndpointUpdate.COMPLETE,
                    engine(1, 0, EngineLifecycle.READY),
                    engine(2, 0, EngineLifecycle.READY));
            r.logic.timerFired(r.now, RouterTimers.TICK_TOKEN);
            r.ask(i, 0);
            r.end(r.last(), AttemptOutcome.OK, 100, 50);
        }
        assertEquals(50, r.sent.size());
        assertEquals(0, r.refused.size() + r.failed.size());
    }

    @Test
    void reportsThatAreAlwaysLowDoNotOverfillAnEngine() {
        Recorder r = Recorder.with(2, LOOK);
        for (int i = 0; i < 200; i++) {
            r.report(1, 0);
            r.report(2, 40);
            r.ask(i, 0, 0, 0, i % 6, 100 * MS);
        }
        long most = r.sent.stream().filter(s -> s.engine() == 1).count();
        assertTrue(
                most > 0 && most <= CapacityEstimator.THREADS_PER_UNREPORTED_CORE * 8 + 1,
                most + " queries at once");
    }

    @Test
    void wideClassIsNotStarvedByManySmallQueries() {
        Recorder r = Recorder.with(1, LOOK, WIDE);
        int wide = 0;
        for (int i = 0; i < 600; i++) {
            r.ask(i, i % 10 == 0 ? 1 : 0, 0, 0, 1, (i % 10 == 0 ? 800 : 100) * MS);
            r.pass(10 * MS);
            long now = r.now;
            List<Recorder.Sent> due =
                    r.sent.stream().filter(s -> now - s.at() == 100 * MS).toList();
            due.forEach(s -> r.end(s, AttemptOutcome.OK, s.query() % 10 == 0 ? 800 : 100, 50));
        }
        wide = (int) r.sent.stream().filter(s -> s.query() % 10 == 0).count();
        assertTrue(wide >= 40, wide + " of 60 wide queries went out");
    }

    @Test
    void unknownClassGroupAndTenantAndNoEnginesAreHandled() {
        Recorder r = Recorder.with(2, LOOK);
        r.ask(1, 9);
        assertEquals(List.of(1L), r.refused);
        r.ask(2, 0, 44, 0, -3, 0);
        assertEquals(2, r.last().query());
        r.roster(EndpointUpdate.COMPLETE);
        r.roster(EndpointUpdate.COMPLETE);
        r.ask(3, 0);
        r.roster(EndpointUpdate.INCREMENTAL, engine(5, 0, EngineLifecycle.READY));
        assertEquals(3, r.last().query());
        assertEquals(5, r.last().engine());
    }
}
