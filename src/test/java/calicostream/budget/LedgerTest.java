// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class LedgerTest {
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
        ledger.holdings().engine("e", "pool");
        ledger.connected(0, 1, now);
        return ledger;
    }

    @Test
    void aFloorOpensWithTheFirstCountThatIsAskedForATravelTimeAfterTheStart() {
        SessionLedger ledger = ledger(2, 8, 5 * MS);
        List<Long> asked = new ArrayList<>();
        ledger.counted(0, TRAVEL + 4 * MS, 0);
        for (long now = 5 * MS;
                now < 3 * TRAVEL && ledger.holdings().free(0, now) == 0;
                now += MS) {
            if (ledger.isDue(0, now)) {
                asked.add(now / MS);
                ledger.counted(0, now, asked.size() == 1 ? 2 : 0);
            }
        }
        assertEquals(List.of(1005L, 1205L), asked);
        assertEquals(2, ledger.holdings().free(0, 2 * TRAVEL));
        assertFalse(ledger.isDue(0, 9 * TRAVEL), "there is nothing more to learn");
    }

    @Test
    void whatTheMachineSaysOpensItAtOnce() {
        SessionLedger ledger = ledger(2, 8, 0);
        ledger.joined();
        long number = ledger.holdings().report(MS, new DemandEstimator(2, MS)).number();
        ledger.holdings()
                .granted(
                        new BudgetCommand.Grants(
                                number, 1, List.of(), List.of(new BudgetCommand.Use("e", 1, 0, 0))),
                        MS);
        assertEquals(2, ledger.holdings().free(0, MS));
        assertEquals(
                2,
                ledger.holdings().free(0, 9 * TRAVEL),
                "and it stays open when the grants have ended");
    }

    @Test
    void whereOthersKeepTheEngineBusyTheFewestEverCountedOpenIt() {
        SessionLedger ledger = ledger(2, 8, 0);
        for (int running : new int[] {5, 1, 7}) {
            ledger.counted(0, TRAVEL, running);
        }
        assertEquals(1, ledger.holdings().free(0, TRAVEL));
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
                next.holdings().engine("e", "pool");
                next.connected(0, 1, start * MS);
                next.counted(0, start * MS, 0);
                while (next.holdings().mayUse(0, 0, start * MS)) {
                    next.begun(0, 0);
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
        ledger.counted(0, TRAVEL, 0);
        SessionLedger.Session one = ledger.begun(0, 0);
        SessionLedger.Session other = ledger.begun(1, 0);
        ledger.joined();
        assertFalse(ledger.isDue(0, 3 * TRAVEL));
        ledger.counted(0, 3 * TRAVEL, 0);
        assertEquals(0, ledger.holdings().free(0, 3 * TRAVEL));
        assertTrue(ledger.over(one, true, 3 * TRAVEL));
        assertEquals(1, ledger.holdings().free(0, 3 * TRAVEL));
        assertFalse(ledger.over(other, false, 3 * TRAVEL));
        assertEquals(1, ledger.inDoubt());
        assertEquals(List.of(), ledger.counted(0, 3 * TRAVEL, 0));
        assertEquals(
                List.of(1),
                ledger.counted(0, 4 * TRAVEL, 0),
                "its place comes with a count from a travel time later");
        assertEquals(2, ledger.holdings().free(0, 4 * TRAVEL));
    }

    @Test
    void aReplacementIsNoProofWhereTheListMayHaveBeenBehindAtTheStart() {
        SessionLedger young = ledger(2, 8, 0);
        young.connected(0, 2, TRAVEL - 1);
        assertEquals(0, young.holdings().free(0, TRAVEL), "the earlier process may have met it");
        SessionLedger told = ledger(2, 8, 0);
        long number = told.holdings().report(0, new DemandEstimator(2, MS)).number();
        told.holdings()
                .granted(
                        new BudgetCommand.Grants(
                                number, 1, List.of(), List.of(new BudgetCommand.Use("e", 2, 0, 1))),
                        0);
        assertEquals(1, told.holdings().free(0, 0), "the machine says what it had left there");
        SessionLedger old = ledger(2, 8, 0);
        old.connected(0, 2, TRAVEL);
        assertEquals(2, old.holdings().free(0, TRAVEL));
    }

    @Test
    void joiningAnewLetsNoMoreBeOnTheWayToAnEngine() {
        SessionLedger ledger = ledger(9, 2, 0);
        ledger.joined();
        ledger.counted(0, TRAVEL, 0);
        SessionLedger.Session one = ledger.begun(0, 0);
        ledger.begun(0, 0);
        ledger.joined();
        assertEquals(0, ledger.holdings().free(0, TRAVEL));
        ledger.joined();
        ledger.arrived(one);
        ledger.arrived(one);
        assertEquals(1, ledger.holdings().free(0, TRAVEL));
    }
}
