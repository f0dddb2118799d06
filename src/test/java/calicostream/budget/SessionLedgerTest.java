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
    private static final long TRAVEL = 1_000 * MS;
    private static final int CAP = 6;

    private static BudgetSettings settings(int floor, int inHand) {
        return new BudgetSettings(
                List.of(new BudgetSettings.Pool("pool", floor, 100)),
                List.of(
                        new BudgetSettings.Tenant("s", 1, Map.of()),
                        new BudgetSettings.Tenant("t", 1, Map.of())),
                List.of("a"),
                TRAVEL,
                500,
                inHand);
    }

    private static SessionLedger ledger(int floor, int inHand, long now) {
        SessionLedger ledger = new SessionLedger(settings(floor, inHand), "a", TRAVEL, now);
        ledger.grantedSessions().registerEngine("e", "pool");
        ledger.engineConnected(0, 1, now);
        return ledger;
    }

    @Test
    void aFloorOpensWithTheFirstCountThatIsAskedForATravelTimeAfterTheStart() {
        SessionLedger ledger = ledger(2, 8, 5 * MS);
        List<Long> asked = new ArrayList<>();
        ledger.engineCounted(0, TRAVEL + 4 * MS, 0);
        for (long now = 5 * MS;
                now < 3 * TRAVEL && ledger.grantedSessions().headroom(0, now) == 0;
                now += MS) {
            if (ledger.isCountDue(0, now)) {
                asked.add(now / MS);
                ledger.engineCounted(0, now, asked.size() == 1 ? 2 : 0);
            }
        }
        assertEquals(List.of(1005L, 1205L), asked);
        assertEquals(2, ledger.grantedSessions().headroom(0, 2 * TRAVEL));
        assertFalse(ledger.isCountDue(0, 9 * TRAVEL), "there is nothing more to learn");
    }

    @Test
    void whatTheMachineSaysOpensItAtOnce() {
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
                ledger.grantedSessions().headroom(0, 9 * TRAVEL),
                "and it stays open when the grants have ended");
    }

    @Test
    void whereOthersKeepTheEngineBusyTheFewestEverCountedOpenIt() {
        SessionLedger ledger = ledger(2, 8, 0);
        for (int running : new int[] {5, 1, 7}) {
            ledger.engineCounted(0, TRAVEL, running);
        }
        assertEquals(1, ledger.grantedSessions().headroom(0, TRAVEL));
    }

    /**
     * The break that the wait avoids: what two processes had sent that died one after the other
     * reaches the engine after it was asked.
     */
    @Test
    void whatDeadProcessesHadSentArrivesAfterTheCountAndTheFloorHolds() {
        for (long travel : new long[] {0, TRAVEL}) {
            int onTheWay = 0;
            for (int start = 0;
                    start < 3;
                    start++) { // each finds an engine that runs nothing, and dies
                SessionLedger next =
                        new SessionLedger(
                                new GrantedSessions(settings(CAP, 4), "a"),
                                start == 0 ? 0 : travel,
                                start * MS);
                next.grantedSessions().registerEngine("e", "pool");
                next.engineConnected(0, 1, start * MS);
                next.engineCounted(0, start * MS, 0);
                while (next.grantedSessions().mayStart(0, 0, start * MS)) {
                    next.sessionStarted(0, 0);
                    onTheWay++;
                }
            }
            assertEquals(travel == 0 ? 12 : 4, onTheWay, "travel time " + travel);
            assertEquals(travel != 0, onTheWay <= CAP);
        }
    }

    @Test
    void underANewJoinACountSaysNothingOfWhatThisProcessItselfHasOnTheWay() {
        SessionLedger ledger = ledger(2, 8, 0);
        ledger.joined();
        ledger.engineCounted(0, TRAVEL, 0);
        SessionLedger.Session one = ledger.sessionStarted(0, 0);
        SessionLedger.Session other = ledger.sessionStarted(1, 0);
        ledger.joined();
        assertFalse(ledger.isCountDue(0, 3 * TRAVEL));
        ledger.engineCounted(0, 3 * TRAVEL, 0);
        assertEquals(0, ledger.grantedSessions().headroom(0, 3 * TRAVEL));
        assertTrue(ledger.sessionEnded(one, true, 3 * TRAVEL));
        assertEquals(1, ledger.grantedSessions().headroom(0, 3 * TRAVEL));
        assertFalse(ledger.sessionEnded(other, false, 3 * TRAVEL));
        assertEquals(1, ledger.unconfirmed());
        assertEquals(List.of(), ledger.engineCounted(0, 3 * TRAVEL, 0));
        assertEquals(
                List.of(1),
                ledger.engineCounted(0, 4 * TRAVEL, 0),
                "its place comes with a count from a travel time later");
        assertEquals(2, ledger.grantedSessions().headroom(0, 4 * TRAVEL));
    }

    @Test
    void aReplacementIsNoProofWhereTheListMayHaveBeenBehindAtTheStart() {
        SessionLedger young = ledger(2, 8, 0);
        young.engineConnected(0, 2, TRAVEL - 1);
        assertEquals(
                0,
                young.grantedSessions().headroom(0, TRAVEL),
                "the earlier process may have met it");
        SessionLedger told = ledger(2, 8, 0);
        long number =
                told.grantedSessions().nextReport(0, new DemandEstimator(2, MS)).reportNumber();
        told.grantedSessions()
                .applyReply(
                        new BudgetCommand.RenewalReply(
                                number,
                                1,
                                List.of(),
                                List.of(new BudgetCommand.EngineUsage("e", 2, 0, 1))),
                        0);
        assertEquals(
                1,
                told.grantedSessions().headroom(0, 0),
                "the machine says what it had left there");
        SessionLedger old = ledger(2, 8, 0);
        old.engineConnected(0, 2, TRAVEL);
        assertEquals(2, old.grantedSessions().headroom(0, TRAVEL));
    }

    @Test
    void joiningAnewLetsNoMoreBeOnTheWayToAnEngine() {
        SessionLedger ledger = ledger(9, 2, 0);
        ledger.joined();
        ledger.engineCounted(0, TRAVEL, 0);
        SessionLedger.Session one = ledger.sessionStarted(0, 0);
        ledger.sessionStarted(0, 0);
        ledger.joined();
        assertEquals(0, ledger.grantedSessions().headroom(0, TRAVEL));
        ledger.joined();
        ledger.sessionAcknowledged(one);
        ledger.sessionAcknowledged(one);
        assertEquals(1, ledger.grantedSessions().headroom(0, TRAVEL));
    }
}
