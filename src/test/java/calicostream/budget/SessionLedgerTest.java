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
    private static final long MS = 1_000_000;
    private static final long TRANSIT = 1_000 * MS;
    private static final int CAP = 6;

    private static BudgetSettings settings(int floor, int inHand) {
        return new BudgetSettings(
                List.of(new BudgetSettings.Pool("pool", floor, 100)),
                List.of(
                        new BudgetSettings.Tenant("s", 1, Map.of()),
                        new BudgetSettings.Tenant("t", 1, Map.of())),
                List.of("a"),
                TRANSIT,
                500,
                inHand);
    }

    private static SessionLedger ledger(int floor, int inHand, long now) {
        SessionLedger ledger = new SessionLedger(settings(floor, inHand), "a", TRANSIT, now);
        ledger.grantedSessions().registerEngine("e", "pool");
        ledger.engineConnected(0, 1, now);
        return ledger;
    }

    @Test
    void aFloorOpensWithTheFirstCountThatIsAskedForATransitTimeAfterTheStart() {
        SessionLedger ledger = ledger(2, 8, 5 * MS);
        List<Long> asked = new ArrayList<>();
        ledger.engineCounted(0, TRANSIT + 4 * MS, 0);
        for (long now = 5 * MS;
                now < 3 * TRANSIT && ledger.grantedSessions().headroom(0, now) == 0;
                now += MS) {
            if (ledger.isCountDue(0, now)) {
                asked.add(now / MS);
                ledger.engineCounted(0, now, asked.size() == 1 ? 2 : 0);
            }
        }
        assertEquals(List.of(1005L, 1205L), asked);
        assertEquals(2, ledger.grantedSessions().headroom(0, 2 * TRANSIT));
        assertFalse(ledger.isCountDue(0, 9 * TRANSIT), "its floor is not reduced any more");
    }

    @Test
    void aReplyOfTheStateMachineOpensItAtOnce() {
        SessionLedger ledger = ledger(2, 8, 0);
        ledger.joined();
        long number =
                ledger.grantedSessions().nextReport(MS, new DemandEstimator(2, MS)).reportNumber();
        ledger.grantedSessions()
                .applyReply(
                        new BudgetCommand.RenewalReply(
                                number,
                                1,
                                List.of(),
                                List.of(new BudgetCommand.EngineUsage("e", 1, 0, 0))),
                        MS);
        assertEquals(2, ledger.grantedSessions().headroom(0, MS));
        assertEquals(
                2,
                ledger.grantedSessions().headroom(0, 9 * TRANSIT),
                "and it stays open when the grants have expired");
    }

    @Test
    void whereOtherProcessesUseTheEngineTheFewestEverCountedOpenIt() {
        SessionLedger ledger = ledger(2, 8, 0);
        for (int running : new int[] {5, 1, 7}) {
            ledger.engineCounted(0, TRANSIT, running);
        }
        assertEquals(1, ledger.grantedSessions().headroom(0, TRANSIT));
    }

    /**
     * The violation that the wait prevents: what two processes had sent that died one after the
     * other reaches the engine after it was asked.
     */
    @Test
    void theFloorStaysClosedForSessionsOfDeadProcessesThatArriveAfterTheCount() {
        for (long transit : new long[] {0, TRANSIT}) {
            int inTransit = 0;
            for (int start = 0;
                    start < 3;
                    start++) { // each finds an engine that runs nothing, and dies
                SessionLedger next =
                        new SessionLedger(
                                new GrantedSessions(settings(CAP, 4), "a"),
                                start == 0 ? 0 : transit,
                                start * MS);
                next.grantedSessions().registerEngine("e", "pool");
                next.engineConnected(0, 1, start * MS);
                next.engineCounted(0, start * MS, 0);
                while (next.grantedSessions().mayStart(0, 0, start * MS)) {
                    next.sessionStarted(0, 0);
                    inTransit++;
                }
            }
            assertEquals(transit == 0 ? 12 : 4, inTransit, "transit time " + transit);
            assertEquals(transit != 0, inTransit <= CAP);
        }
    }

    @Test
    void underANewJoinACountProvesNothingOfWhatThisProcessItselfHasInTransit() {
        SessionLedger ledger = ledger(2, 8, 0);
        ledger.joined();
        ledger.engineCounted(0, TRANSIT, 0);
        SessionLedger.Session one = ledger.sessionStarted(0, 0);
        SessionLedger.Session other = ledger.sessionStarted(1, 0);
        ledger.joined();
        assertFalse(ledger.isCountDue(0, 3 * TRANSIT));
        ledger.engineCounted(0, 3 * TRANSIT, 0);
        assertEquals(0, ledger.grantedSessions().headroom(0, 3 * TRANSIT));
        assertTrue(ledger.sessionEnded(one, true, 3 * TRANSIT));
        assertEquals(1, ledger.grantedSessions().headroom(0, 3 * TRANSIT));
        assertFalse(ledger.sessionEnded(other, false, 3 * TRANSIT));
        assertEquals(1, ledger.unconfirmed());
        assertEquals(List.of(), ledger.engineCounted(0, 3 * TRANSIT, 0));
        assertEquals(
                List.of(1),
                ledger.engineCounted(0, 4 * TRANSIT, 0),
                "its place is released by a count from a transit time later");
        assertEquals(2, ledger.grantedSessions().headroom(0, 4 * TRANSIT));
    }

    @Test
    void aReplacementIsNoProofWhereTheEndpointListMayHaveBeenBehindAtTheStart() {
        SessionLedger young = ledger(2, 8, 0);
        young.engineConnected(0, 2, TRANSIT - 1);
        assertEquals(
                0,
                young.grantedSessions().headroom(0, TRANSIT),
                "the earlier process may have used it");
        SessionLedger informed = ledger(2, 8, 0);
        long number =
                informed.grantedSessions().nextReport(0, new DemandEstimator(2, MS)).reportNumber();
        informed.grantedSessions()
                .applyReply(
                        new BudgetCommand.RenewalReply(
                                number,
                                1,
                                List.of(),
                                List.of(new BudgetCommand.EngineUsage("e", 2, 0, 1))),
                        0);
        assertEquals(
                1,
                informed.grantedSessions().headroom(0, 0),
                "the state machine says what it had left there");
        SessionLedger old = ledger(2, 8, 0);
        old.engineConnected(0, 2, TRANSIT);
        assertEquals(2, old.grantedSessions().headroom(0, TRANSIT));
    }

    @Test
    void joiningAgainAllowsNoMoreUnacknowledgedSessions() {
        SessionLedger ledger = ledger(9, 2, 0);
        ledger.joined();
        ledger.engineCounted(0, TRANSIT, 0);
        SessionLedger.Session one = ledger.sessionStarted(0, 0);
        ledger.sessionStarted(0, 0);
        ledger.joined();
        assertEquals(0, ledger.grantedSessions().headroom(0, TRANSIT));
        ledger.joined();
        ledger.sessionAcknowledged(one);
        ledger.sessionAcknowledged(one);
        assertEquals(1, ledger.grantedSessions().headroom(0, TRANSIT));
    }
}
