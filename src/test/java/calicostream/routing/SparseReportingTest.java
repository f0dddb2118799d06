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
 * What the router makes of deployments that report little: no load reports, reports of one figure,
 * no estimates, no work.
 */
class SparseReportingTest {
    private static final QueryClass LOOKUP = RecordingActions.lookupClass(Idempotency.IDEMPOTENT);
    private static final int FULL = (int) (8 * CapacityEstimator.THREADS_PER_UNREPORTED_CORE);

    private static int sentOf(RecordingActions gateway, int asked) {
        for (int i = 0; i < asked; i++) {
            gateway.accept(1000 + i, 0);
        }
        return gateway.attempts.size();
    }

    @Test
    void engineThatReportsNothingHasTheCapacityOfThreadsThatPartlyWait() {
        assertEquals(FULL, sentOf(RecordingActions.with(1, LOOKUP), 30));
    }

    @ParameterizedTest
    @ValueSource(strings = {"x0", "x1"})
    void highSaturationAloneFillsAnEngineAndALowOneDoesNot(String column) {
        int[] sent = new int[2];
        for (int i = 0; i < 2; i++) {
            RecordingActions gateway =
                    RecordingActions.with(RecordingActions.settings(3, LOOKUP), 1);
            for (int told = 0; told < 20; told++) {
                gateway.now += SECONDS;
                gateway.router.probeCompleted(
                        gateway.now,
                        1,
                        AttemptOutcome.OK,
                        LoadReport.EMPTY.withColumn(column, i == 0 ? 1 : 0.1));
            }
            sent[i] = sentOf(gateway, 30);
        }
        assertTrue(
                sent[0] == 0 && sent[1] > FULL / 2,
                sent[0] + " on a full engine, " + sent[1] + " on an idle one");
    }

    /** An engine that rejects a query is full, but that tells nothing of the others. */
    @Test
    void rejectionByOneEngineLeavesTheOthersTheirCapacity() {
        RecordingActions gateway =
                RecordingActions.with(
                        RecordingActions.settings(3, 1, 0, false, List.of(), LOOKUP), 4);
        gateway.accept(1, 0);
        gateway.end(gateway.last(), AttemptOutcome.OVERLOADED);
        gateway.advance(100 * MILLIS);
        assertEquals(1 + 3 * FULL, sentOf(gateway, 100));
    }

    @Test
    void grantIsLeftToTheEngineUntilAnAnswerTellsOfMemory() {
        RecordingActions gateway = RecordingActions.with(1, LOOKUP);
        gateway.accept(1, 0);
        assertEquals(0, gateway.resources.get(0)[1], 0);
        gateway.end(gateway.last(), AttemptOutcome.OK, 100, 100);
        gateway.accept(2, 0);
        assertTrue(gateway.resources.get(1)[1] > 100, gateway.resources.get(1)[1] + " MB");
    }

    /**
     * Run times in a quiet hour say how little a query can take, not how much the next ones of its
     * class will.
     */
    @Test
    void coldEngineIsSentByUsualRunTimesWhereNothingTellsOfWork() {
        int[] sent = new int[2];
        for (int slow = 0; slow < 2; slow++) {
            RecordingActions gateway =
                    RecordingActions.with(RecordingActions.settings(1, LOOKUP), 1);
            for (int i = 1; i <= 200; i++) {
                gateway.router.queryAccepted(
                        gateway.now, new Query(i, 0, 0, 0, 10 * SECONDS, 0, 0, 0, false, 0));
                gateway.now += slow == 1 && i > 20 ? 2 * SECONDS : 100 * MILLIS;
                gateway.end(gateway.last(), AttemptOutcome.OK);
            }
            gateway.endpoints(
                    EndpointUpdate.COMPLETE,
                    RecordingActions.engine(2, gateway.now, EngineLifecycle.READY));
            int before = gateway.attempts.size();
            for (int i = 1000; i < 1100; i++) {
                gateway.router.queryAccepted(
                        gateway.now, new Query(i, 0, 0, 0, 10 * SECONDS, 0, 0, 0, false, 0));
            }
            sent[slow] = gateway.attempts.size() - before;
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
        RecordingActions gateway =
                RecordingActions.with(
                        RecordingActions.settings(gateways, 1, 0, true, List.of(), LOOKUP), 2);
        int heard = 0;
        for (int i = 0; i < 1000; i++) { // 10 s
            gateway.advance(10 * MILLIS);
            gateway.accept(i, 0);
            for (; heard < gateway.probed.size(); heard++) {
                AttemptOutcome outcome =
                        column.equals("full") ? AttemptOutcome.OVERLOADED : AttemptOutcome.OK;
                gateway.router.probeCompleted(
                        gateway.now,
                        gateway.probed.get(heard),
                        outcome,
                        LoadReport.EMPTY.withColumn(column, 1));
            }
            if (gateway.lastOf(i) != null) {
                gateway.end(gateway.lastOf(i), AttemptOutcome.OK, 100, 50);
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
                        RecordingActions.settings(1, attempts, 0, false, List.of(), LOOKUP);
                RecordingActions gateway =
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
                gateway.accept(1, 0);
                gateway.advance(400 * MILLIS);
                gateway.router.progress(
                        gateway.now, new QueryProgress(1, 0, ProgressKind.FRACTION_DONE, 0.01));
                assertEquals(
                        how == LoadReporting.NONE ? 0 : 1,
                        gateway.cancelled.size(),
                        how.toString());
                assertEquals(
                        how == LoadReporting.NONE || attempts > 1 ? 0 : 1,
                        gateway.failed.size(),
                        how.toString());
            }
        }
    }
}
