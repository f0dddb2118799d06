// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import static calicostream.routing.RecordingActions.MILLIS;
import static calicostream.routing.RecordingActions.SECONDS;
import static calicostream.routing.RecordingActions.lookupClass;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What load reports and load probes tell of the capacity of engines. */
class CapacityTest {
    private static final QueryClass LOOKUP = lookupClass(Idempotency.IDEMPOTENT);

    /**
     * Cores stand idle where queries wait for disks or spill: such an engine has no room, whatever
     * its cores report.
     */
    @Test
    void engineWithFullMemoryOrDisksHasNoCapacityThoughItsCoresIdle() {
        for (String column : List.of("x0", "x1")) {
            RecordingActions gateway = RecordingActions.with(1, LOOKUP);
            LoadReport cores = LoadReport.EMPTY.withColumn("inflight", 58).withColumn("util", 0.58);
            gateway.router.probeCompleted(
                    gateway.now, 1, AttemptOutcome.OK, cores.withColumn(column, 0.6));
            gateway.accept(1, 0);
            assertTrue(gateway.last(1), "what is counted beyond the cores waits, and is no load");
            gateway.end(gateway.last(), AttemptOutcome.OK, 100, 50);
            gateway.router.probeCompleted(
                    gateway.now, 1, AttemptOutcome.OK, cores.withColumn(column, 1.6));
            gateway.now += SECONDS;
            gateway.router.probeCompleted(
                    gateway.now, 1, AttemptOutcome.OK, cores.withColumn(column, 1.6));
            gateway.accept(2, 0);
            assertTrue(gateway.last(1), column);
        }
    }

    @Test
    void reportedLoadKeepsQueriesAway() {
        RecordingActions gateway = RecordingActions.with(2, LOOKUP);
        gateway.accept(1, 0);
        long home = gateway.last().engine();
        gateway.report(home, 60);
        gateway.report(3 - home, 0);
        gateway.accept(2, 0);
        assertEquals(3 - home, gateway.last().engine());
        gateway.end(gateway.attempts.get(0), AttemptOutcome.OK);
        gateway.now += 2 * SECONDS;
        gateway.report(home, 60);
        gateway.report(3 - home, 200);
        gateway.accept(3, 0);
        assertEquals(null, gateway.lastOf(3), "both are full");
        gateway.advance(30 * SECONDS);
        gateway.accept(4, 0);
        assertEquals(4, gateway.last().query(), "old reports fade");
    }

    @Test
    void utilizationCountsAsLoad() {
        int[] sent = new int[2];
        for (int i = 0; i < 2; i++) {
            RecordingActions gateway =
                    RecordingActions.with(RecordingActions.settings(3, LOOKUP), 1);
            gateway.router.probeCompleted(
                    gateway.now,
                    1,
                    AttemptOutcome.OK,
                    new LoadReport(Double.NaN, i == 0 ? 0.7 : 0.1));
            for (int q = 0; q < 30; q++) {
                gateway.accept(q, 0);
            }
            sent[i] = gateway.attempts.size();
        }
        assertTrue(
                sent[0] > 0 && sent[1] > sent[0],
                sent[0] + " on a busy engine, " + sent[1] + " on an idle one");
    }

    @Test
    void queryThatWaitsForMemoryShowsAFullEngine() {
        RecordingActions gateway = RecordingActions.with(1, LOOKUP);
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
        assertEquals(3, gateway.last().query());
    }

    /**
     * Of threads that are only counted some wait for disks: they fill an engine less than busy
     * cores do.
     */
    @Test
    void engineHasMoreCapacityWhereItsCoresAreNotReported() {
        for (double busy : new double[] {Double.NaN, 0.9}) {
            RecordingActions gateway = RecordingActions.with(1, LOOKUP);
            for (int i = 0; i < 30; i++) {
                gateway.router.probeCompleted(
                        gateway.now, 1, AttemptOutcome.OK, new LoadReport(i, busy));
                gateway.accept(i, 0);
            }
            assertEquals(
                    (int)
                            (8
                                    * (Double.isNaN(busy)
                                            ? CapacityEstimator.THREADS_PER_UNREPORTED_CORE
                                            : CapacityEstimator.THREADS_PER_CORE)),
                    gateway.attempts.size());
        }
    }

    @Test
    void reportsThatAreAlwaysLowDoNotOverfillAnEngine() {
        RecordingActions gateway = RecordingActions.with(2, LOOKUP);
        for (int i = 0; i < 200; i++) {
            gateway.report(1, 0);
            gateway.report(2, 40);
            gateway.accept(i, 0, 0, 0, i % 6, 100 * MILLIS);
        }
        long most = gateway.attempts.stream().filter(s -> s.engine() == 1).count();
        assertTrue(
                most > 0 && most <= CapacityEstimator.THREADS_PER_UNREPORTED_CORE * 8 + 1,
                most + " queries at once");
    }

    /**
     * Accepts queries until one probes before it is sent, and returns its id. In an idle fleet only
     * some do.
     */
    private static long acceptUntilOneProbes(RecordingActions gateway) {
        for (long id = 1; id < 100; id++) {
            gateway.accept(id, 0);
            if (!gateway.last(id)) {
                return id;
            }
            gateway.end(gateway.last(), AttemptOutcome.OK, 100, 50);
        }
        throw new AssertionError("none of 100 queries probed");
    }

    @Test
    void queryProbesBeforeItIsSentAndGoesWhereThereIsCapacity() {
        RecordingActions gateway =
                RecordingActions.with(
                        RecordingActions.settings(20, 3, 0, true, List.of(), LOOKUP), 2);
        long query = acceptUntilOneProbes(gateway);
        assertEquals(2, gateway.probed.size());
        gateway.report(gateway.probed.get(0), 40);
        assertEquals(null, gateway.lastOf(query), "one answer is still out");
        gateway.report(gateway.probed.get(1), 1);
        assertEquals(gateway.probed.get(1), gateway.lastOf(query).engine());
        gateway.accept(200, 0);
        assertEquals(2, gateway.probed.size(), "fresh reports are not asked for again");
        RecordingActions none =
                RecordingActions.with(
                        RecordingActions.settings(20, 3, 0, false, List.of(), LOOKUP), 2);
        none.accept(query, 0);
        assertTrue(none.probed.isEmpty());
        assertEquals(1, none.attempts.size());
    }

    @Test
    void unansweredProbeDelaysAQueryOnlyBriefly() {
        RecordingActions gateway =
                RecordingActions.with(
                        RecordingActions.settings(20, 3, 0, true, List.of(), LOOKUP), 2);
        long query = acceptUntilOneProbes(gateway);
        gateway.advance(100 * MILLIS);
        assertTrue(gateway.last(query));
    }
}
