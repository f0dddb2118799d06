// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import static calicostream.routing.RecordingActions.MILLIS;
import static calicostream.routing.RecordingActions.SECONDS;
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
class SparseReportingTest {
    private static final QueryClass LOOK = RecordingActions.lookupClass(Idempotency.IDEMPOTENT);
    private static final int FULL = (int) (8 * CapacityEstimator.THREADS_PER_UNREPORTED_CORE);

    private static int sentOf(RecordingActions r, int asked) {
        for (int i = 0; i < asked; i++) {
            r.accept(1000 + i, 0);
        }
        return r.attempts.size();
    }

    @Test
    void engineThatReportsNothingHasTheRoomOfThreadsThatPartlyWait() {
        assertEquals(FULL, sentOf(RecordingActions.with(1, LOOK), 30));
    }

    @ParameterizedTest
    @ValueSource(strings = {"x0", "x1"})
    void fullShareAloneFillsAnEngineAndALowOneLeavesItRoom(String column) {
        int[] sent = new int[2];
        for (int i = 0; i < 2; i++) {
            RecordingActions r = RecordingActions.with(RecordingActions.settings(3, LOOK), 1);
            for (int told = 0; told < 20; told++) {
                r.now += SECONDS;
                r.router.probeCompleted(
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
        RecordingActions r =
                RecordingActions.with(
                        RecordingActions.settings(3, 1, 0, false, List.of(), LOOK), 4);
        r.accept(1, 0);
        r.end(r.last(), AttemptOutcome.OVERLOADED);
        r.advance(100 * MILLIS);
        assertEquals(1 + 3 * FULL, sentOf(r, 100));
    }

    @Test
    void grantIsLeftToTheEngineUntilAnAnswerTellsOfMemory() {
        RecordingActions r = RecordingActions.with(1, LOOK);
        r.accept(1, 0);
        assertEquals(0, r.resources.get(0)[1], 0);
        r.end(r.last(), AttemptOutcome.OK, 100, 100);
        r.accept(2, 0);
        assertTrue(r.resources.get(1)[1] > 100, r.resources.get(1)[1] + " MB");
    }

    /**
     * Run times in a quiet hour say how little a query can take, not how much the next ones of its
     * class will.
     */
    @Test
    void coldEngineIsSentByUsualRunTimesWhereNothingTellsOfWork() {
        int[] sent = new int[2];
        for (int slow = 0; slow < 2; slow++) {
            RecordingActions r = RecordingActions.with(RecordingActions.settings(1, LOOK), 1);
            for (int i = 1; i <= 200; i++) {
                r.router.queryAccepted(
                        r.now, new Query(i, 0, 0, 0, 10 * SECONDS, 0, 0, 0, false, 0));
                r.now += slow == 1 && i > 20 ? 2 * SECONDS : 100 * MILLIS;
                r.end(r.last(), AttemptOutcome.OK);
            }
            r.endpoints(
                    EndpointUpdate.COMPLETE,
                    RecordingActions.engine(2, r.now, EngineLifecycle.READY));
            int before = r.attempts.size();
            for (int i = 1000; i < 1100; i++) {
                r.router.queryAccepted(
                        r.now, new Query(i, 0, 0, 0, 10 * SECONDS, 0, 0, 0, false, 0));
            }
            sent[slow] = r.attempts.size() - before;
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
        RecordingActions r =
                RecordingActions.with(
                        RecordingActions.settings(gateways, 1, 0, true, List.of(), LOOK), 2);
        int heard = 0;
        for (int i = 0; i < 1000; i++) { // 10 s
            r.advance(10 * MILLIS);
            r.accept(i, 0);
            for (; heard < r.probed.size(); heard++) {
                AttemptOutcome outcome =
                        column.equals("full") ? AttemptOutcome.OVERLOADED : AttemptOutcome.OK;
                r.router.probeCompleted(
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
                RouterSettings s =
                        RecordingActions.settings(1, attempts, 0, false, List.of(), LOOK);
                RecordingActions r =
                        RecordingActions.with(
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
                r.accept(1, 0);
                r.advance(400 * MILLIS);
                r.router.progress(r.now, new QueryProgress(1, 0, ProgressKind.FRACTION_DONE, 0.01));
                assertEquals(how == LoadReporting.NONE ? 0 : 1, r.cancelled.size(), how.toString());
                assertEquals(
                        how == LoadReporting.NONE || attempts > 1 ? 0 : 1,
                        r.failed.size(),
                        how.toString());
            }
        }
    }
}
