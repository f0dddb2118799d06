// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class GrantedSessionsTest {
    private static final long MS = 1_000_000;
    private static final BudgetSettings SETTINGS =
            new BudgetSettings(
                    List.of(new BudgetSettings.Pool("pool", 2, 100)),
                    List.of(
                            new BudgetSettings.Tenant("s", 1, Map.of()),
                            new BudgetSettings.Tenant("t", 3, Map.of())),
                    List.of("a"),
                    1_000 * MS,
                    500,
                    4);
    private final GrantedSessions holdings = new GrantedSessions(SETTINGS, "a");
    private final int e = holdings.registerEngine("e", "pool");

    private int begins(int tenant, long now) {
        int begun = 0;
        while (holdings.mayStart(tenant, e, now)) {
            holdings.sessionStarted(tenant, e);
            holdings.sessionAcknowledged(e, 1);
            begun++;
        }
        return begun;
    }

    private void granted(long now, int s, int t) {
        long number = holdings.nextReport(now, new DemandEstimator(2, MS)).reportNumber();
        holdings.applyReply(
                new BudgetCommand.RenewalReply(
                        number,
                        number,
                        List.of(
                                new BudgetCommand.Grant("", 1, "e", 1, "s", s),
                                new BudgetCommand.Grant("", 1, "e", 1, "t", t)),
                        List.of(new BudgetCommand.EngineUsage("e", 1, 0, 0))),
                now);
    }

    @Test
    void floorsRemainWhenGrantsHaveEnded() {
        holdings.engineConnected(e, 1);
        assertEquals(0, begins(0, 0), "what former starts left is not known");
        granted(0, 3, 5);
        assertEquals(3, begins(0, 0));
        assertFalse(
                holdings.mayStart(1, e, SETTINGS.usableNanos()), "three run over the floor of two");
        assertFalse(holdings.hasActiveGrants());
        holdings.sessionEnded(0, e, 1);
        holdings.sessionEnded(0, e, 1);
        assertEquals(1, begins(1, 2_000 * MS));
    }

    @Test
    void grantsEndBeforeTheLeaderHasCountedThemOut() {
        assertTrue(
                SETTINGS.usableNanos() * (1 + 500e-6) / (1 - 500e-6) < SETTINGS.ttlNanos(),
                "the slowest clock here, the fastest there");
        assertTrue(SETTINGS.usableNanos() > SETTINGS.ttlNanos() * 0.998);
    }

    @Test
    void aDecisionAllocatesNothing() {
        holdings.engineConnected(e, 1);
        granted(0, 3, 5);
        com.sun.management.ThreadMXBean threads =
                (com.sun.management.ThreadMXBean)
                        java.lang.management.ManagementFactory.getThreadMXBean();
        threads.getCurrentThreadAllocatedBytes();
        long before = threads.getCurrentThreadAllocatedBytes();
        int yes = 0;
        for (int i = 0; i < 100_000; i++) {
            yes += holdings.mayStart(i & 1, e, i) ? 1 : 0;
        }
        long allocated = threads.getCurrentThreadAllocatedBytes() - before;
        assertEquals(100_000, yes);
        assertTrue(allocated < 10_000, allocated + " bytes");
    }

    @Test
    void aReplacedEngineStartsFromFloors() {
        holdings.engineConnected(e, 1);
        granted(0, 3, 5);
        begins(0, 0);
        holdings.engineConnected(e, 2);
        assertEquals(0, holdings.sessions(0, e));
        holdings.sessionEnded(0, e, 1);
        assertEquals(0, holdings.sessions(0, e), "a late word of the former incarnation");
        assertTrue(holdings.mayStart(0, e, 0));
        holdings.sessionStarted(0, e);
        holdings.sessionStarted(0, e);
        assertFalse(holdings.mayStart(0, e, 0));
    }

    @Test
    void whoHasLeastForItsWeightIsNextAndRefusalsTellWhenToReturn() {
        TenantQueues queues = new TenantQueues(SETTINGS, 10, 1);
        holdings.engineConnected(e, 1);
        granted(0, 4, 4);
        for (long request = 0; request < 4; request++) {
            queues.offer((int) request % 2, e, request, 0, 100 * MS);
        }
        assertEquals(0, queues.poll(e, 0, holdings));
        holdings.sessionStarted(0, e);
        assertEquals(1, queues.poll(e, 0, holdings));
        holdings.sessionStarted(1, e);
        assertEquals(3, queues.poll(e, 0, holdings), "a third of the load for its weight");
        assertEquals(List.of(2L), queues.removeTimedOut(0, 100 * MS));
        queues.sessionEnded(0, 100 * MS);
        queues.sessionEnded(0, 150 * MS);
        BudgetException.NoCapacity refusal =
                assertThrows(
                        BudgetException.NoCapacity.class,
                        () -> queues.offer(0, e, 9, 150 * MS, 20 * MS));
        assertEquals(50 * MS, refusal.retryAfterNanos(), "a session ends each 50 ms");
    }

    @Test
    void underANewSessionWhatRunsCountsAsLeftAndTheFloorOpensAsItEnds() {
        holdings.engineConnected(e, 1);
        granted(0, 3, 5);
        assertEquals(4, holdings.headroom(1, 0), "no more may be on their way");
        assertEquals(3, begins(0, 0));
        assertEquals(0, holdings.headroom(0, 0));
        GrantedSessions anew = holdings.forNewClusterSession();
        assertEquals(0, anew.headroom(0, 0), "three run over the floor of two");
        assertEquals(3, anew.nextReport(0, new DemandEstimator(2, MS)).usages().get(0).orphaned());
        holdings.sessionEnded(0, e, 1);
        anew.updateOrphanedFrom(holdings, e);
        assertEquals(0, anew.headroom(0, 0));
        holdings.sessionEnded(0, e, 1);
        anew.updateOrphanedFrom(holdings, e);
        assertEquals(1, anew.headroom(0, 0));
        assertTrue(anew.mayStart(0, e, 0));
        anew.engineConnected(e, 2);
        anew.updateOrphanedFrom(holdings, e);
        assertEquals(2, anew.headroom(0, 0), "the other incarnation's have ended with it");
    }

    @Test
    void aSessionInDoubtEndsOnceItsEngineRunsFewerInAll() {
        UnconfirmedSessions doubts = new UnconfirmedSessions(100 * MS);
        for (int i = 0; i < 3; i++) {
            doubts.add(new UnconfirmedSessions.UnconfirmedSession(1, i, e, 1, i * 10 * MS));
        }
        assertEquals(List.of(), doubts.engineCounted(e, 90 * MS, 0), "may still be on their way");
        assertEquals(
                List.of(),
                doubts.engineCounted(e, 115 * MS, 2),
                "two are old enough, and two may run");
        assertEquals(
                List.of(0),
                doubts.engineCounted(e, 115 * MS, 1).stream()
                        .map(UnconfirmedSessions.UnconfirmedSession::tenant)
                        .toList());
        assertEquals(
                List.of(1, 2),
                doubts.engineCounted(e, 500 * MS, 0).stream()
                        .map(UnconfirmedSessions.UnconfirmedSession::tenant)
                        .toList());
        assertEquals(0, doubts.size());
    }

    @Test
    void whatWaitsIsSpreadByCapsAndNoneIsLost() {
        SplittableRandom random = new SplittableRandom(7);
        for (int run = 0; run < 2_000; run++) {
            int[] caps = random.ints(random.nextInt(1, 9), 0, 40).toArray();
            int waiting = random.nextInt(0, 100);
            int[] parts = QueuedDemand.distribute(waiting, caps);
            long sum = Arrays.stream(caps).sum();
            assertEquals(sum == 0 ? 0 : waiting, Arrays.stream(parts).sum(), "run " + run);
            for (int i = 0; i < caps.length && sum > 0; i++) {
                assertTrue(
                        Math.abs(parts[i] - (double) waiting * caps[i] / sum) < 1 + 1e-9,
                        "run " + run);
            }
        }
    }

    @Test
    void demandRisesAtOnceAndFallsLateAndNotByLittle() {
        DemandEstimator demand = new DemandEstimator(2, 100 * MS);
        demand.observe(1, 0, 8, 8, 1_000 * MS);
        int high = demand.estimate(1, 0);
        assertEquals(18, high);
        for (long now = 1_010; now < 2_000; now += 10) {
            demand.observe(1, 0, 8, (int) (now / 10 % 4) + 4, now * MS);
            assertEquals(high, demand.estimate(1, 0), "at " + now);
        }
        demand.observe(1, 0, 1, 0, 2_000 * MS);
        assertEquals(high, demand.estimate(1, 0));
        for (long now = 2_010; now < 2_300; now += 10) {
            demand.observe(1, 0, 1, 0, now * MS);
        }
        assertEquals(2, demand.estimate(1, 0));
    }
}
