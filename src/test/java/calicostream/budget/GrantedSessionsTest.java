// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class GrantedSessionsTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final BudgetSettings SETTINGS =
            new BudgetSettings(
                    List.of(new BudgetSettings.Pool("pool", 2, 100)),
                    List.of(
                            new BudgetSettings.Tenant("s", 1, Map.of()),
                            new BudgetSettings.Tenant("t", 3, Map.of())),
                    List.of("a"),
                    1_000 * NANOS_PER_MILLI,
                    500,
                    4);
    private final GrantedSessions sessions = new GrantedSessions(SETTINGS, "a");
    private final int engine = sessions.registerEngine("e", "pool");

    private int startAll(int tenant, long now) {
        int started = 0;
        while (sessions.mayStart(tenant, engine, now)) {
            sessions.sessionStarted(tenant, engine);
            sessions.sessionAcknowledged(engine, 1);
            started++;
        }
        return started;
    }

    private void grant(long now, int sessionsOfS, int sessionsOfT) {
        long number =
                sessions.nextReport(now, new DemandEstimator(2, NANOS_PER_MILLI)).reportNumber();
        sessions.applyReply(
                new BudgetCommand.RenewalReply(
                        number,
                        number,
                        List.of(
                                new BudgetCommand.Grant("", 1, "e", 1, "s", sessionsOfS),
                                new BudgetCommand.Grant("", 1, "e", 1, "t", sessionsOfT)),
                        List.of(new BudgetCommand.EngineUsage("e", 1, 0, 0))),
                now);
    }

    @Test
    void floorsRemainUsableAfterGrantsExpire() {
        sessions.engineConnected(engine, 1);
        assertEquals(0, startAll(0, 0), "no floor while orphaned sessions are unknown");
        grant(0, 3, 5);
        assertEquals(3, startAll(0, 0));
        assertFalse(
                sessions.mayStart(1, engine, SETTINGS.usableNanos()),
                "three sessions exceed the floor of two");
        assertFalse(sessions.hasActiveGrants());
        sessions.sessionEnded(0, engine, 1);
        sessions.sessionEnded(0, engine, 1);
        assertEquals(1, startAll(1, 2_000 * NANOS_PER_MILLI));
    }

    @Test
    void grantsExpireAtProcessBeforeLeader() {
        assertTrue(
                SETTINGS.usableNanos() * (1 + 500e-6) / (1 - 500e-6) < SETTINGS.ttlNanos(),
                "slowest clock at the process, fastest at the leader");
        assertTrue(SETTINGS.usableNanos() > SETTINGS.ttlNanos() * 0.998);
    }

    @Test
    void mayStartAllocatesNoMemory() {
        sessions.engineConnected(engine, 1);
        grant(0, 3, 5);
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        threads.getCurrentThreadAllocatedBytes();
        long before = threads.getCurrentThreadAllocatedBytes();
        int allowedCount = 0;
        for (int i = 0; i < 100_000; i++) {
            allowedCount += sessions.mayStart(i & 1, engine, i) ? 1 : 0;
        }
        long allocatedBytes = threads.getCurrentThreadAllocatedBytes() - before;
        assertEquals(100_000, allowedCount);
        assertTrue(allocatedBytes < 10_000, allocatedBytes + " bytes");
    }

    @Test
    void replacedEngineHasFloorOnly() {
        sessions.engineConnected(engine, 1);
        grant(0, 3, 5);
        startAll(0, 0);
        sessions.engineConnected(engine, 2);
        assertEquals(0, sessions.sessions(0, engine));
        sessions.sessionEnded(0, engine, 1);
        assertEquals(
                0, sessions.sessions(0, engine), "end of a session at the previous incarnation");
        assertTrue(sessions.mayStart(0, engine, 0));
        sessions.sessionStarted(0, engine);
        sessions.sessionStarted(0, engine);
        assertFalse(sessions.mayStart(0, engine, 0));
    }

    @Test
    void pollPicksLeastServedTenantAndRejectionHasRetryAfter() {
        TenantQueues queues = new TenantQueues(SETTINGS, 10, 1);
        sessions.engineConnected(engine, 1);
        grant(0, 4, 4);
        for (long request = 0; request < 4; request++) {
            queues.offer((int) request % 2, engine, request, 0, 100 * NANOS_PER_MILLI);
        }
        assertEquals(0, queues.poll(engine, 0, sessions));
        sessions.sessionStarted(0, engine);
        assertEquals(1, queues.poll(engine, 0, sessions));
        sessions.sessionStarted(1, engine);
        assertEquals(3, queues.poll(engine, 0, sessions), "tenant 1 has three times the weight");
        assertEquals(List.of(2L), queues.removeTimedOut(0, 100 * NANOS_PER_MILLI));
        queues.sessionEnded(0, 100 * NANOS_PER_MILLI);
        queues.sessionEnded(0, 150 * NANOS_PER_MILLI);
        BudgetException.NoCapacity rejection =
                assertThrows(
                        BudgetException.NoCapacity.class,
                        () ->
                                queues.offer(
                                        0, engine, 9, 150 * NANOS_PER_MILLI, 20 * NANOS_PER_MILLI));
        assertEquals(
                50 * NANOS_PER_MILLI, rejection.retryAfterNanos(), "a session ends every 50 ms");
    }

    @Test
    void newClusterSessionOrphansRunningSessions() {
        sessions.engineConnected(engine, 1);
        grant(0, 3, 5);
        assertEquals(4, sessions.headroom(1, 0), "limited by unacknowledged sessions");
        assertEquals(3, startAll(0, 0));
        assertEquals(0, sessions.headroom(0, 0));
        GrantedSessions next = sessions.forNewClusterSession();
        assertEquals(0, next.headroom(0, 0), "three sessions exceed the floor of two");
        assertEquals(
                3,
                next.nextReport(0, new DemandEstimator(2, NANOS_PER_MILLI))
                        .usages()
                        .get(0)
                        .orphaned());
        sessions.sessionEnded(0, engine, 1);
        next.updateOrphanedFrom(sessions, engine);
        assertEquals(0, next.headroom(0, 0));
        sessions.sessionEnded(0, engine, 1);
        next.updateOrphanedFrom(sessions, engine);
        assertEquals(1, next.headroom(0, 0));
        assertTrue(next.mayStart(0, engine, 0));
        next.engineConnected(engine, 2);
        next.updateOrphanedFrom(sessions, engine);
        assertEquals(2, next.headroom(0, 0), "sessions of the replaced incarnation have ended");
    }

    @Test
    void engineCountReleasesUnconfirmedSessions() {
        UnconfirmedSessions unconfirmed = new UnconfirmedSessions(100 * NANOS_PER_MILLI);
        for (int i = 0; i < 3; i++) {
            unconfirmed.add(
                    new UnconfirmedSessions.UnconfirmedSession(
                            1, i, engine, 1, i * 10 * NANOS_PER_MILLI));
        }
        assertEquals(
                List.of(),
                unconfirmed.engineCounted(engine, 90 * NANOS_PER_MILLI, 0),
                "sessions may still be in transit");
        assertEquals(
                List.of(),
                unconfirmed.engineCounted(engine, 115 * NANOS_PER_MILLI, 2),
                "two are no longer in transit, and two may still run");
        assertEquals(
                List.of(0),
                unconfirmed.engineCounted(engine, 115 * NANOS_PER_MILLI, 1).stream()
                        .map(UnconfirmedSessions.UnconfirmedSession::tenant)
                        .toList());
        assertEquals(
                List.of(1, 2),
                unconfirmed.engineCounted(engine, 500 * NANOS_PER_MILLI, 0).stream()
                        .map(UnconfirmedSessions.UnconfirmedSession::tenant)
                        .toList());
        assertEquals(0, unconfirmed.size());
    }

    @Test
    void queuedRequestsAreDistributedInProportionToCaps() {
        SplittableRandom random = new SplittableRandom(7);
        for (int run = 0; run < 2_000; run++) {
            int[] caps = random.ints(random.nextInt(1, 9), 0, 40).toArray();
            int queued = random.nextInt(0, 100);
            int[] distributed = QueuedDemand.distribute(queued, caps);
            long sum = Arrays.stream(caps).sum();
            assertEquals(sum == 0 ? 0 : queued, Arrays.stream(distributed).sum(), "run " + run);
            for (int i = 0; i < caps.length && sum > 0; i++) {
                assertTrue(
                        Math.abs(distributed[i] - (double) queued * caps[i] / sum) < 1 + 1e-9,
                        "run " + run);
            }
        }
    }

    @Test
    void demandRisesAtOnceAndFallsWithHysteresis() {
        DemandEstimator demand = new DemandEstimator(2, 100 * NANOS_PER_MILLI);
        demand.observe(1, 0, 8, 8, 1_000 * NANOS_PER_MILLI);
        int peakEstimate = demand.estimate(1, 0);
        assertEquals(18, peakEstimate);
        for (long now = 1_010; now < 2_000; now += 10) {
            demand.observe(1, 0, 8, (int) (now / 10 % 4) + 4, now * NANOS_PER_MILLI);
            assertEquals(peakEstimate, demand.estimate(1, 0), "at " + now);
        }
        demand.observe(1, 0, 1, 0, 2_000 * NANOS_PER_MILLI);
        assertEquals(peakEstimate, demand.estimate(1, 0));
        for (long now = 2_010; now < 2_300; now += 10) {
            demand.observe(1, 0, 1, 0, now * NANOS_PER_MILLI);
        }
        assertEquals(2, demand.estimate(1, 0));
    }
}
