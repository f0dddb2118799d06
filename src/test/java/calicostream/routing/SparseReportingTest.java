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
 * Tests deployments with few reports: no load reports, reports with a single value, no estimates,
 * or no reported work.
 */
class SparseReportingTest {
    private static final QueryClass LOOKUP = RecordingActions.lookupClass(Idempotency.IDEMPOTENT);
    private static final int QUERIES_OF_FULL_ENGINE =
            (int) (8 * CapacityEstimator.THREADS_PER_UNREPORTED_CORE);

    private static int acceptAndCountAttempts(RecordingActions gateway, int queries) {
        for (int i = 0; i < queries; i++) {
            gateway.accept(1000 + i, 0);
        }
        return gateway.attempts.size();
    }

    @Test
    void engineWithoutReportsHasDefaultCapacity() {
        assertEquals(
                QUERIES_OF_FULL_ENGINE,
                acceptAndCountAttempts(RecordingActions.withEngines(1, LOOKUP), 30));
    }

    @ParameterizedTest
    @ValueSource(strings = {"x0", "x1"})
    void onlyHighSaturationFillsEngine(String column) {
        int[] sent = new int[2];
        for (int i = 0; i < 2; i++) {
            RecordingActions gateway =
                    RecordingActions.withEngines(RecordingActions.settings(3, LOOKUP), 1);
            for (int report = 0; report < 20; report++) {
                gateway.now += SECONDS;
                gateway.router.probeCompleted(
                        gateway.now,
                        1,
                        AttemptOutcome.OK,
                        LoadReport.EMPTY.withColumn(column, i == 0 ? 1 : 0.1));
            }
            sent[i] = acceptAndCountAttempts(gateway, 30);
        }
        assertTrue(
                sent[0] == 0 && sent[1] > QUERIES_OF_FULL_ENGINE / 2,
                sent[0] + " queries on a full engine, " + sent[1] + " on an idle one");
    }

    /** A rejection shows that one engine is full, but not that others are. */
    @Test
    void rejectionKeepsCapacityOfOtherEngines() {
        RecordingActions gateway =
                RecordingActions.withEngines(
                        RecordingActions.settings(3, 1, 0, false, List.of(), LOOKUP), 4);
        gateway.accept(1, 0);
        gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.OVERLOADED);
        gateway.advance(100 * MILLIS);
        assertEquals(1 + 3 * QUERIES_OF_FULL_ENGINE, acceptAndCountAttempts(gateway, 100));
    }

    @Test
    void engineChoosesMemoryUntilAnswerReportsIt() {
        RecordingActions gateway = RecordingActions.withEngines(1, LOOKUP);
        gateway.accept(1, 0);
        assertEquals(0, gateway.assignedResources.get(0)[1], 0);
        gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.OK, 100, 100);
        gateway.accept(2, 0);
        assertTrue(
                gateway.assignedResources.get(1)[1] > 100,
                gateway.assignedResources.get(1)[1] + " MB");
    }

    /**
     * Minimum run times from a period of low load underestimate the work of later queries of the
     * class.
     */
    @Test
    void slowStartUsesAverageRunTimesWithoutWorkReports() {
        int[] sent = new int[2];
        for (int slow = 0; slow < 2; slow++) {
            RecordingActions gateway =
                    RecordingActions.withEngines(RecordingActions.settings(1, LOOKUP), 1);
            for (int i = 1; i <= 200; i++) {
                gateway.router.queryAccepted(
                        gateway.now, new Query(i, 0, 0, 0, 10 * SECONDS, 0, 0, 0, false, 0));
                gateway.now += slow == 1 && i > 20 ? 2 * SECONDS : 100 * MILLIS;
                gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.OK);
            }
            gateway.updateEndpoints(
                    EndpointUpdate.COMPLETE,
                    RecordingActions.engine(2, gateway.now, EngineLifecycle.READY));
            int attemptsBefore = gateway.attempts.size();
            for (int i = 1000; i < 1100; i++) {
                gateway.router.queryAccepted(
                        gateway.now, new Query(i, 0, 0, 0, 10 * SECONDS, 0, 0, 0, false, 0));
            }
            sent[slow] = gateway.attempts.size() - attemptsBefore;
        }
        assertTrue(
                sent[1] > 0 && sent[1] < sent[0],
                sent[1] + " slower queries, " + sent[0] + " faster queries");
    }

    /**
     * All gateways together must not probe an engine more often than its cores can answer, even if
     * no probe returns a usable report.
     */
    @ParameterizedTest
    @ValueSource(strings = {"inflight", "queue", "full"})
    void probesStayWithinProbeRateLimit(String column) {
        int gateways = 20;
        RecordingActions gateway =
                RecordingActions.withEngines(
                        RecordingActions.settings(gateways, 1, 0, true, List.of(), LOOKUP), 2);
        int answeredProbes = 0;
        // 10 s in steps of 10 ms.
        for (int i = 0; i < 1000; i++) {
            gateway.advance(10 * MILLIS);
            gateway.accept(i, 0);
            for (; answeredProbes < gateway.probedEngines.size(); answeredProbes++) {
                AttemptOutcome outcome =
                        column.equals("full") ? AttemptOutcome.OVERLOADED : AttemptOutcome.OK;
                gateway.router.probeCompleted(
                        gateway.now,
                        gateway.probedEngines.get(answeredProbes),
                        outcome,
                        LoadReport.EMPTY.withColumn(column, 1));
            }
            if (gateway.lastAttemptOf(i) != null) {
                gateway.endAttempt(gateway.lastAttemptOf(i), AttemptOutcome.OK, 100, 50);
            }
        }
        int maxProbes = 2 * (int) (1 + 10 * LoadProber.PROBES_PER_CORE_AND_SECOND * 8 / gateways);
        assertTrue(
                answeredProbes >= 2 && answeredProbes <= maxProbes,
                answeredProbes + " of " + maxProbes);
    }

    /**
     * Engines may ignore a cancel. Without load reports, the router could not detect that the
     * attempt still uses capacity.
     */
    @Test
    void slowAttemptIsNotCancelledWithoutLoadReports() {
        for (LoadReporting reporting : List.of(LoadReporting.NONE, LoadReporting.WITH_ANSWERS)) {
            // With a maximum of one attempt, the query fails instead of migrating.
            for (int maxAttempts = 1; maxAttempts <= 3; maxAttempts += 2) {
                RouterSettings defaults =
                        RecordingActions.settings(1, maxAttempts, 0, false, List.of(), LOOKUP);
                RecordingActions gateway =
                        RecordingActions.withEngines(
                                new RouterSettings(
                                        defaults.gateways(),
                                        0,
                                        0,
                                        defaults.costs(),
                                        defaults.engineKinds(),
                                        defaults.classes(),
                                        defaults.tenants(),
                                        1,
                                        defaults.attemptLimits(),
                                        defaults.protectionRules(),
                                        defaults.engineCapabilities(),
                                        reporting,
                                        false,
                                        defaults.tickUs()),
                                3);
                gateway.accept(1, 0);
                gateway.advance(400 * MILLIS);
                gateway.router.progress(
                        gateway.now, new QueryProgress(1, 0, ProgressKind.FRACTION_DONE, 0.01));
                assertEquals(
                        reporting == LoadReporting.NONE ? 0 : 1,
                        gateway.cancelledAttempts.size(),
                        reporting.toString());
                assertEquals(
                        reporting == LoadReporting.NONE || maxAttempts > 1 ? 0 : 1,
                        gateway.failedQueries.size(),
                        reporting.toString());
            }
        }
    }
}
