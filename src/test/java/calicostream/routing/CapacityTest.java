// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import static calicostream.routing.RecordingActions.MILLIS;
import static calicostream.routing.RecordingActions.SECONDS;
import static calicostream.routing.RecordingActions.lookupClass;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how load reports and load probes determine the capacity of engines. */
class CapacityTest {
    private static final QueryClass LOOKUP = lookupClass(Idempotency.IDEMPOTENT);

    /**
     * Cores are idle while queries wait for disks or spill. Such an engine has no capacity,
     * regardless of its utilization.
     */
    @Test
    void engineWithFullMemoryOrDiskHasNoCapacity() {
        for (String column : List.of("x0", "x1")) {
            RecordingActions gateway = RecordingActions.withEngines(1, LOOKUP);
            LoadReport cores = LoadReport.EMPTY.withColumn("inflight", 58).withColumn("util", 0.58);
            gateway.router.probeCompleted(
                    gateway.now, 1, AttemptOutcome.OK, cores.withColumn(column, 0.6));
            gateway.accept(1, 0);
            assertTrue(
                    gateway.isLastAttemptOf(1),
                    "queries beyond the busy cores are waiting and cause no load");
            gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.OK, 100, 50);
            gateway.router.probeCompleted(
                    gateway.now, 1, AttemptOutcome.OK, cores.withColumn(column, 1.6));
            gateway.now += SECONDS;
            gateway.router.probeCompleted(
                    gateway.now, 1, AttemptOutcome.OK, cores.withColumn(column, 1.6));
            gateway.accept(2, 0);
            assertTrue(gateway.isLastAttemptOf(1), column);
        }
    }

    @Test
    void reportedLoadBlocksQueriesUntilReportsAge() {
        RecordingActions gateway = RecordingActions.withEngines(2, LOOKUP);
        gateway.accept(1, 0);
        long affinityEngine = gateway.lastAttempt().engine();
        gateway.reportRunning(affinityEngine, 60);
        gateway.reportRunning(3 - affinityEngine, 0);
        gateway.accept(2, 0);
        assertEquals(3 - affinityEngine, gateway.lastAttempt().engine());
        gateway.endAttempt(gateway.attempts.get(0), AttemptOutcome.OK);
        gateway.now += 2 * SECONDS;
        gateway.reportRunning(affinityEngine, 60);
        gateway.reportRunning(3 - affinityEngine, 200);
        gateway.accept(3, 0);
        assertEquals(null, gateway.lastAttemptOf(3), "both engines are full");
        gateway.advance(30 * SECONDS);
        gateway.accept(4, 0);
        assertEquals(4, gateway.lastAttempt().query(), "old reports lose their weight");
    }

    @Test
    void higherUtilizationReducesCapacity() {
        int[] sent = new int[2];
        for (int i = 0; i < 2; i++) {
            RecordingActions gateway =
                    RecordingActions.withEngines(RecordingActions.settings(3, LOOKUP), 1);
            gateway.router.probeCompleted(
                    gateway.now,
                    1,
                    AttemptOutcome.OK,
                    new LoadReport(Double.NaN, i == 0 ? 0.7 : 0.1));
            for (int id = 0; id < 30; id++) {
                gateway.accept(id, 0);
            }
            sent[i] = gateway.attempts.size();
        }
        assertTrue(
                sent[0] > 0 && sent[1] > sent[0],
                sent[0] + " queries on a busy engine, " + sent[1] + " on an idle one");
    }

    @Test
    void engineIsFullWhileQueryWaitsForMemory() {
        RecordingActions gateway = RecordingActions.withEngines(1, LOOKUP);
        gateway.accept(1, 0);
        for (int i = 0; i < 12; i++) {
            gateway.router.progress(
                    gateway.now, new QueryProgress(1, 0, ProgressKind.WAITING_FOR_MEMORY, 1));
            gateway.now += 20 * MILLIS;
        }
        gateway.accept(2, 0);
        assertEquals(1, gateway.attempts.size());
        gateway.advance(5 * SECONDS);
        gateway.accept(3, 0);
        assertEquals(3, gateway.lastAttempt().query());
    }

    /**
     * Without utilization reports, some threads are assumed to wait for disks, so an engine runs
     * more of them.
     */
    @Test
    void engineHasMoreCapacityWithoutUtilizationReports() {
        for (double utilization : new double[] {Double.NaN, 0.9}) {
            RecordingActions gateway = RecordingActions.withEngines(1, LOOKUP);
            for (int i = 0; i < 30; i++) {
                gateway.router.probeCompleted(
                        gateway.now, 1, AttemptOutcome.OK, new LoadReport(i, utilization));
                gateway.accept(i, 0);
            }
            assertEquals(
                    (int)
                            (8
                                    * (Double.isNaN(utilization)
                                            ? CapacityEstimator.THREADS_PER_UNREPORTED_CORE
                                            : CapacityEstimator.THREADS_PER_CORE)),
                    gateway.attempts.size());
        }
    }

    @Test
    void constantLowReportsDoNotOverloadEngine() {
        RecordingActions gateway = RecordingActions.withEngines(2, LOOKUP);
        for (int i = 0; i < 200; i++) {
            gateway.reportRunning(1, 0);
            gateway.reportRunning(2, 40);
            gateway.accept(i, 0, 0, 0, i % 6, 100 * MILLIS);
        }
        long sentToFirstEngine =
                gateway.attempts.stream().filter(attempt -> attempt.engine() == 1).count();
        assertTrue(
                sentToFirstEngine > 0
                        && sentToFirstEngine
                                <= CapacityEstimator.THREADS_PER_UNREPORTED_CORE * 8 + 1,
                sentToFirstEngine + " queries running on engine 1");
    }

    /**
     * Accepts queries until one starts load probes, and returns its id. In an idle fleet, only some
     * queries probe.
     */
    private static long acceptUntilQueryProbes(RecordingActions gateway) {
        for (long id = 1; id < 100; id++) {
            gateway.accept(id, 0);
            if (!gateway.isLastAttemptOf(id)) {
                return id;
            }
            gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.OK, 100, 50);
        }
        throw new AssertionError("none of 99 queries started a load probe");
    }

    @Test
    void queryWaitsForProbesAndUsesEngineWithCapacity() {
        RecordingActions gateway =
                RecordingActions.withEngines(
                        RecordingActions.settings(20, 3, 0, true, List.of(), LOOKUP), 2);
        long query = acceptUntilQueryProbes(gateway);
        assertEquals(2, gateway.probedEngines.size());
        gateway.reportRunning(gateway.probedEngines.get(0), 40);
        assertEquals(null, gateway.lastAttemptOf(query), "one probe is still running");
        gateway.reportRunning(gateway.probedEngines.get(1), 1);
        assertEquals(gateway.probedEngines.get(1), gateway.lastAttemptOf(query).engine());
        gateway.accept(200, 0);
        assertEquals(
                2,
                gateway.probedEngines.size(),
                "engines with current reports are not probed again");
        RecordingActions withoutProbes =
                RecordingActions.withEngines(
                        RecordingActions.settings(20, 3, 0, false, List.of(), LOOKUP), 2);
        withoutProbes.accept(query, 0);
        assertTrue(withoutProbes.probedEngines.isEmpty());
        assertEquals(1, withoutProbes.attempts.size());
    }

    @Test
    void unansweredProbeDelaysQueryOnlyBriefly() {
        RecordingActions gateway =
                RecordingActions.withEngines(
                        RecordingActions.settings(20, 3, 0, true, List.of(), LOOKUP), 2);
        long query = acceptUntilQueryProbes(gateway);
        gateway.advance(100 * MILLIS);
        assertTrue(gateway.isLastAttemptOf(query));
    }
}
