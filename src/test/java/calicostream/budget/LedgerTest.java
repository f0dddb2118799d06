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
        return new BudgetSettings(List.of(new BudgetSettings.Pool("pool", floor, 100)),
                List.of(new BudgetSettings.Tenant("s", 1, Map.of()), new BudgetSettings.Tenant("t", 1, Map.of())), List.of("a"), TRAVEL, 500, inHand);
    }

    private static Ledger ledger(int floor, int inHand, long now) {
        Ledger ledger = new Ledger(settings(floor, inHand), "a", TRAVEL, now);
        ledger.holdings().engine("e", "pool");
        ledger.connected(0, 1);
        return ledger;
    }

    @Test
    void aFloorWiderThanWhatMayBeOnTheWayOpensWithTheFirstCount() {
        Ledger ledger = ledger(6, 2, 0);
        assertTrue(ledger.isDue(0, 0), "asked at first sight");
        ledger.counted(0, 0, 1);
        assertEquals(2, ledger.holdings().free(0, MS), "of six, three may have been left, and two may be on their way at once");
        assertEquals(3, ledger.holdings().room(0));
    }

    @Test
    void aNarrowerOneOpensWithTheCountThatWasAskedForATravelTimeAfterTheStart() {
        Ledger ledger = ledger(2, 8, 5 * MS);
        List<Long> asked = new ArrayList<>();
        for (long now = 5 * MS; now < 3 * TRAVEL && ledger.holdings().free(0, now) == 0; now += MS) {
            if (ledger.isDue(0, now)) {
                asked.add(now / MS);
                ledger.counted(0, now, 0);
            }
        }
        assertEquals(List.of(5L, 205L, 405L, 605L, 805L, 1005L), asked);
        assertEquals(2, ledger.holdings().free(0, TRAVEL + 5 * MS));
        assertFalse(ledger.isDue(0, 9 * TRAVEL), "there is nothing more to learn");
    }

    @Test
    void whereOthersKeepTheEngineBusyTheFewestEverCountedOpenIt() {
        Ledger ledger = ledger(2, 8, 0);
        for (int running : new int[] {5, 1, 7}) {
            ledger.counted(0, TRAVEL, running);
        }
        assertEquals(1, ledger.holdings().free(0, TRAVEL));
    }

    /** The break that the wait avoids: four sessions of a process that was killed reach the engine after its next start has asked it. */
    @Test
    void whatTheDeadProcessHadSentArrivesAfterTheCountAndTheCapHolds() {
        for (long travel : new long[] {0, TRAVEL}) {
            Ledger dead = ledger(CAP, 4, 0);
            dead.counted(0, TRAVEL, 0);
            int onTheWay = 0;
            while (dead.holdings().mayUse(0, 0, TRAVEL)) {
                dead.begun(0, 0);
                onTheWay++;
            }
            assertEquals(4, onTheWay);
            Ledger next = new Ledger(settings(CAP, 4), "a", travel, 2 * TRAVEL);
            next.holdings().engine("e", "pool");
            next.connected(0, 1);
            next.counted(0, 2 * TRAVEL, 0);
            int running = onTheWay;
            while (next.holdings().mayUse(0, 0, 2 * TRAVEL)) {
                next.arrived(next.begun(0, 0));
                running++;
            }
            assertEquals(travel == 0 ? CAP + 4 : CAP, running, "travel time " + travel);
        }
    }

    @Test
    void underANewJoinACountSaysNothingOfWhatThisProcessItselfHasOnTheWay() {
        Ledger ledger = ledger(2, 8, 0);
        ledger.joined();
        ledger.counted(0, TRAVEL, 0);
        Ledger.Session one = ledger.begun(0, 0);
        Ledger.Session other = ledger.begun(1, 0);
        ledger.joined();
        assertFalse(ledger.isDue(0, 3 * TRAVEL));
        ledger.counted(0, 3 * TRAVEL, 0);
        assertEquals(0, ledger.holdings().free(0, 3 * TRAVEL));
        assertTrue(ledger.over(one, true, 3 * TRAVEL));
        assertEquals(1, ledger.holdings().free(0, 3 * TRAVEL));
        assertFalse(ledger.over(other, false, 3 * TRAVEL));
        assertEquals(1, ledger.inDoubt());
        assertEquals(List.of(), ledger.counted(0, 3 * TRAVEL, 0));
        assertEquals(List.of(1), ledger.counted(0, 4 * TRAVEL, 0), "its place comes with a count from a travel time later");
        assertEquals(2, ledger.holdings().free(0, 4 * TRAVEL));
    }
}
