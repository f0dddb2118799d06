// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import static calicostream.routing.Recorder.MS;
import static calicostream.routing.Recorder.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What the module makes of deployments that tell it little: no reports, reports of one share, no
 * estimates, no costs.
 */
class UntoldTest {
    private static final QueryClass LOOK = Recorder.look(Idempotency.IDEMPOTENT);
    private static final int FULL = (int) (8 * CapacityEstimator.THREADS_PER_UNREPORTED_CORE);

    private static int sentOf(Recorder r, int asked) {
        for (int i = 0; i < asked; i++) {
            r.ask(1000 + i, 0);
        }
        return r.sent.size();
    }

    @Test
    void engineThatReportsNothingHasTheRoomOfThreadsThatPartlyWait() {
        assertEquals(FULL, sentOf(Recorder.with(1, LOOK), 30));
    }

    @ParameterizedTest
    @ValueSource(strings = {"x0", "x1"})
    void fullShareAloneFillsAnEngineAndALowOneLeavesItRoom(String column) {
        int[] sent = new int[2];
        for (int i = 0; i < 2; i++) {
            Recorder r = Recorder.with(Recorder.settings(3, LOOK), 1);
            for (int told = 0; told < 20; told++) {
                r.now += S;
                r.logic.probeCompleted(
                        r.now,
                        1,
                        AttemptOutcome.OK,
                        LoadReport.EMPTY.withColumn(column, i == 0 ? 1 : 0.1));
            }
            sent[i] = sentOf(r, 30);
        }
        assertTrue(
                sent[0] == 0 && sent[1] > FULL / 2,
                sent[0] + " on a full engine, " + sent[1] + " on an idle one");
    }

    /** One that turns a query away is full, but it tells nothing of the others. */
    @Test
    void refusalOfOneEngineLeavesTheOthersTheirRoom() {
        Recorder r = Recorder.with(Recorder.settings(3, 1, 0, false, List.of(), LOOK), 4);
        r.ask(1, 0);
        r.end(r.last(), AttemptOutcome.OVERLOADED);
        r.pass(100 * MS);
        assertEquals(1 + 3 * FULL, sentOf(r, 100));
    }

    @Test
    void grantIsLeftToTheEngineUntilAnAnswerTellsOfMemory() {
        Recorder r = Recorder.with(1, LOOK);
        r.ask(1, 0);
        assertEquals(0, r.terms.get(0)[1], 0);
        r.end(r.last(), AttemptOutcome.OK, 100, 100);
        r.ask(2, 0);
        assertTrue(r.terms.get(1)[1] > 100, r.terms.get(1)[1] + " MB");
    }

    /**
     * Run times in a quiet hour say how little a query can take, not how much the next ones of its
     * class will.
     */
    @Test
    void coldEngineIsSentByUsualRunTimesWhereNothingTellsOfWork() {
        int[] sent = new int[2];
        for (int slow = 0; slow < 2; slow++) {
            Recorder r = Recorder.with(Recorder.settings(1, LOOK), 1);
            for (int i = 1; i <= 200; i++) {
                r.logic.queryAccepted(r.now, new Query(i, 0, 0, 0, 10 * S, 0, 0, 0, false, 0));
                r.now += slow == 1 && i > 20 ? 2 * S : 100 * MS;
                r.end(r.last(), AttemptOutcome.OK);
            }
            r.roster(EndpointUpdate.COMPLETE, Recorder.engine(2, r.now, EngineLifecycle.READY));
            int before = r.sent.size();
            for (int i = 1000; i < 1100; i++) {
                r.logic.queryAccepted(r.now, new Query(i, 0, 0, 0, 10 * S, 0, 0, 0, false, 0));
            }
            sent[slow] = r.sent.size() - before;
        }
        assertTrue(
                sent[1] > 0 && sent[1] < sent[0],
                sent[1] + " of the slower ones, " + sent[0] + " of the others");
    }

    /**
     * All front ends together ask an engine no more often than its cores answer, also where nothing
     * they hear is of use.
     */
    @ParameterizedTest
    @ValueSource(strings = {"inflight", "queue", "full"})
    void probesStayWithinWhatEnginesAnswer(String column) {
        int gateways = 20;
        Recorder r = Recorder.with(Recorder.settings(gateways, 1, 0, true, List.of(), LOOK), 2);
        int heard = 0;
        for (int i = 0; i < 1000; i++) { // 10 s
            r.pass(10 * MS);
            r.ask(i, 0);
            for (; heard < r.probed.size(); heard++) {
                AttemptOutcome outcome =
                        column.equals("full") ? AttemptOutcome.OVERLOADED : AttemptOutcome.OK;
                r.logic.probeCompleted(
                        r.now,
                        r.probed.get(heard),
                        outcome,
                        LoadReport.EMPTY.withColumn(column, 1));
            }
            if (r.lastOf(i) != null) {
                r.end(r.lastOf(i), AttemptOutcome.OK, 100, 50);
            }
        }
        int most = 2 * (int) (1 + 10 * LoadProber.PROBES_PER_CORE_AND_SECOND * 8 / gateways);
        assertTrue(heard >= 2 && heard <= most, heard + " of " + most);
    }

    /**
     * A cancel that engines don't heed leaves the work where it was: without reports nothing would
     * show that.
     */
    @Test
    void slowAttemptIsLeftAloneWhereNoReportWouldShowWhatItsCancelFrees() {
        for (LoadReporting how : List.of(LoadReporting.NONE, LoadReporting.WITH_ANSWERS)) {
            for (int attempts = 1;
                    attempts <= 3;
                    attempts += 2) { // One that can't move is given up.
                RouterSettings s = Recorder.settings(1, attempts, 0, false, List.of(), LOOK);
                Recorder r =
                        Recorder.with(
                                new RouterSettings(
                                        s.gateways(),
                                        0,
                                        0,
                                        s.costs(),
                                        s.engineKinds(),
                                        s.classes(),
                                        s.tenants(),
                                        1,
                                        s.attemptLimits(),
                                        s.protectionRules(),
                                        s.engineCapabilities(),
                                        how,
                                        false,
                                        s.tickUs()),
                                3);
                r.ask(1, 0);
                r.pass(400 * MS);
                r.logic.progress(r.now, new QueryProgress(1, 0, ProgressKind.FRACTION_DONE, 0.01));
                assertEquals(how == LoadReporting.NONE ? 0 : 1, r.cancelled.size(), how.toString());
                assertEquals(
                        how == LoadReporting.NONE || attempts > 1 ? 0 : 1,
                        r.failed.size(),
                        how.toString());
            }
        }
    }
}
