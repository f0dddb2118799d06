// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SessionLedgerTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MAX_TRANSIT_NANOS = 1_000 * NANOS_PER_MILLI;
    private static final int CAP = 6;

    private static BudgetSettings settings(int floor, int maxUnacknowledged) {
        return new BudgetSettings(
                List.of(new BudgetSettings.Pool("pool", floor, 100)),
                List.of(
                        new BudgetSettings.Tenant("s", 1, Map.of()),
                        new BudgetSettings.Tenant("t", 1, Map.of())),
                List.of("a"),
                MAX_TRANSIT_NANOS,
                500,
                maxUnacknowledged);
    }

    private static SessionLedger ledger(int floor, int maxUnacknowledged, long now) {
        SessionLedger ledger =
                new SessionLedger(settings(floor, maxUnacknowledged), "a", MAX_TRANSIT_NANOS, now);
        ledger.grantedSessions().registerEngine("e", "pool");
        ledger.engineConnected(0, 1, now);
        return ledger;
    }

    @Test
    void floorOpensWithFirstCountAfterTransitTime() {
        SessionLedger ledger = ledger(2, 8, 5 * NANOS_PER_MILLI);
        List<Long> requestMillis = new ArrayList<>();
        ledger.engineCounted(0, MAX_TRANSIT_NANOS + 4 * NANOS_PER_MILLI, 0);
        for (long now = 5 * NANOS_PER_MILLI;
                now < 3 * MAX_TRANSIT_NANOS && ledger.grantedSessions().headroom(0, now) == 0;
                now += NANOS_PER_MILLI) {
            if (ledger.isCountDue(0, now)) {
                requestMillis.add(now / NANOS_PER_MILLI);
                ledger.engineCounted(0, now, requestMillis.size() == 1 ? 2 : 0);
            }
        }
        assertEquals(List.of(1005L, 1205L), requestMillis);
        assertEquals(2, ledger.grantedSessions().headroom(0, 2 * MAX_TRANSIT_NANOS));
        assertFalse(
                ledger.isCountDue(0, 9 * MAX_TRANSIT_NANOS),
                "no count is due once the floor is open");
    }

    @Test
    void stateMachineReplyOpensFloorAtOnce() {
        SessionLedger ledger = ledger(2, 8, 0);
        ledger.joined();
        long number =
                ledger.grantedSessions()
                        .nextReport(NANOS_PER_MILLI, new DemandEstimator(2, NANOS_PER_MILLI))
                        .reportNumber();
        ledger.grantedSessions()
                .applyReply(
                        new BudgetCommand.RenewalReply(
                                number,
                                1,
                                List.of(),
                                List.of(new BudgetCommand.EngineUsage("e", 1, 0, 0))),
                        NANOS_PER_MILLI);
        assertEquals(2, ledger.grantedSessions().headroom(0, NANOS_PER_MILLI));
        assertEquals(
                2,
                ledger.grantedSessions().headroom(0, 9 * MAX_TRANSIT_NANOS),
                "the floor stays open after the grants have expired");
    }

    @Test
    void smallestEngineCountDeterminesFloor() {
        SessionLedger ledger = ledger(2, 8, 0);
        for (int running : new int[] {5, 1, 7}) {
            ledger.engineCounted(0, MAX_TRANSIT_NANOS, running);
        }
        assertEquals(1, ledger.grantedSessions().headroom(0, MAX_TRANSIT_NANOS));
    }

    /**
     * Guards against a cap violation after repeated crashes. Without the wait for the transit time,
     * three processes in a row each get an engine count of 0, send the maximum number of
     * unacknowledged sessions and die; all of these sessions can then reach the engine.
     */
    @Test
    void floorStaysClosedWhileSessionsOfDeadProcessInTransit() {
        for (long transit : new long[] {0, MAX_TRANSIT_NANOS}) {
            int inTransit = 0;
            for (int start = 0; start < 3; start++) {
                SessionLedger restarted =
                        new SessionLedger(
                                new GrantedSessions(settings(CAP, 4), "a"),
                                start == 0 ? 0 : transit,
                                start * NANOS_PER_MILLI);
                restarted.grantedSessions().registerEngine("e", "pool");
                restarted.engineConnected(0, 1, start * NANOS_PER_MILLI);
                restarted.engineCounted(0, start * NANOS_PER_MILLI, 0);
                while (restarted.grantedSessions().mayStart(0, 0, start * NANOS_PER_MILLI)) {
                    restarted.sessionStarted(0, 0);
                    inTransit++;
                }
            }
            assertEquals(transit == 0 ? 12 : 4, inTransit, "transit time " + transit);
            assertEquals(transit != 0, inTransit <= CAP);
        }
    }

    @Test
    void countAfterRejoinDoesNotBoundOwnOrphans() {
        SessionLedger ledger = ledger(2, 8, 0);
        ledger.joined();
        ledger.engineCounted(0, MAX_TRANSIT_NANOS, 0);
        SessionLedger.Session first = ledger.sessionStarted(0, 0);
        SessionLedger.Session second = ledger.sessionStarted(1, 0);
        ledger.joined();
        assertFalse(ledger.isCountDue(0, 3 * MAX_TRANSIT_NANOS));
        ledger.engineCounted(0, 3 * MAX_TRANSIT_NANOS, 0);
        assertEquals(0, ledger.grantedSessions().headroom(0, 3 * MAX_TRANSIT_NANOS));
        assertTrue(ledger.sessionEnded(first, true, 3 * MAX_TRANSIT_NANOS));
        assertEquals(1, ledger.grantedSessions().headroom(0, 3 * MAX_TRANSIT_NANOS));
        assertFalse(ledger.sessionEnded(second, false, 3 * MAX_TRANSIT_NANOS));
        assertEquals(1, ledger.unconfirmedCount());
        assertEquals(List.of(), ledger.engineCounted(0, 3 * MAX_TRANSIT_NANOS, 0));
        assertEquals(
                List.of(1),
                ledger.engineCounted(0, 4 * MAX_TRANSIT_NANOS, 0),
                "released by a count requested a transit time later");
        assertEquals(2, ledger.grantedSessions().headroom(0, 4 * MAX_TRANSIT_NANOS));
    }

    @Test
    void earlyEngineReplacementKeepsOrphansUnknown() {
        SessionLedger replacedEarly = ledger(2, 8, 0);
        replacedEarly.engineConnected(0, 2, MAX_TRANSIT_NANOS - 1);
        assertEquals(
                0,
                replacedEarly.grantedSessions().headroom(0, MAX_TRANSIT_NANOS),
                "an earlier process may have used this incarnation");
        SessionLedger withReply = ledger(2, 8, 0);
        long number =
                withReply
                        .grantedSessions()
                        .nextReport(0, new DemandEstimator(2, NANOS_PER_MILLI))
                        .reportNumber();
        withReply
                .grantedSessions()
                .applyReply(
                        new BudgetCommand.RenewalReply(
                                number,
                                1,
                                List.of(),
                                List.of(new BudgetCommand.EngineUsage("e", 2, 0, 1))),
                        0);
        assertEquals(
                1,
                withReply.grantedSessions().headroom(0, 0),
                "the state machine reports one orphaned session");
        SessionLedger replacedLate = ledger(2, 8, 0);
        replacedLate.engineConnected(0, 2, MAX_TRANSIT_NANOS);
        assertEquals(2, replacedLate.grantedSessions().headroom(0, MAX_TRANSIT_NANOS));
    }

    @Test
    void rejoinKeepsUnacknowledgedSessions() {
        SessionLedger ledger = ledger(9, 2, 0);
        ledger.joined();
        ledger.engineCounted(0, MAX_TRANSIT_NANOS, 0);
        SessionLedger.Session first = ledger.sessionStarted(0, 0);
        ledger.sessionStarted(0, 0);
        ledger.joined();
        assertEquals(0, ledger.grantedSessions().headroom(0, MAX_TRANSIT_NANOS));
        ledger.joined();
        ledger.sessionAcknowledged(first);
        ledger.sessionAcknowledged(first);
        assertEquals(1, ledger.grantedSessions().headroom(0, MAX_TRANSIT_NANOS));
    }
}
