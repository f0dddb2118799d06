// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import static calicostream.routing.RecordingActions.MILLIS;
import static calicostream.routing.RecordingActions.SECONDS;
import static calicostream.routing.RecordingActions.engine;
import static calicostream.routing.RecordingActions.lookupClass;
import static calicostream.routing.RecordingActions.queryClass;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which engines queries of a table group go to, and when a group gains or loses one. */
class AffinityTest {
    private static final QueryClass LOOKUP = lookupClass(Idempotency.IDEMPOTENT);

    private static Set<Long> engines(RecordingActions gateway) {
        Set<Long> out = new HashSet<>();
        gateway.attempts.forEach(s -> out.add(s.engine()));
        return out;
    }

    @Test
    void groupStaysOnItsEngineAndAnotherGatewayPrefersTheSame() {
        RecordingActions a = RecordingActions.with(6, LOOKUP);
        RecordingActions b = RecordingActions.with(6, LOOKUP);
        for (int i = 0; i < 5; i++) {
            a.accept(i, 0, 0, 0, 9, 100 * MILLIS);
            a.end(a.last(), AttemptOutcome.OK, 100, 50);
            b.accept(i, 0, 0, 0, 9, 100 * MILLIS);
            b.end(b.last(), AttemptOutcome.OK, 100, 50);
        }
        assertEquals(1, engines(a).size());
        assertEquals(engines(a), engines(b));
    }

    /** Nothing of a transaction goes to another engine, nor twice, nor against the rules. */
    @Test
    void stickyQueryGoesToItsEngineOnceOrNowhere() {
        RecordingActions gateway = RecordingActions.with(6, LOOKUP);
        for (int i = 0; i < 12; i++) {
            long pin = 1 + i % 6;
            gateway.acceptSticky(i, 0, pin);
            assertEquals(pin, gateway.lastOf(i).engine());
            gateway.end(gateway.lastOf(i), i % 2 == 0 ? AttemptOutcome.ERROR : AttemptOutcome.OK);
        }
        assertEquals(12, gateway.attempts.size(), "an error is no reason to try again");
        gateway.endpoints(EndpointUpdate.INCREMENTAL, engine(3, 0, EngineLifecycle.DRAINING));
        gateway.acceptSticky(100, 0, 3);
        assertEquals(12, gateway.attempts.size(), "its engine drains");
        gateway.endpoints(EndpointUpdate.INCREMENTAL, engine(3, 0, EngineLifecycle.READY));
        assertEquals(3, gateway.lastOf(100).engine());
        gateway.end(gateway.lastOf(100), AttemptOutcome.OVERLOADED);
        assertEquals(
                3, gateway.lastOf(100).engine(), "what never ran may wait for the same engine");
    }

    @Test
    void queryLeavesTheAffinitySetWhenTooManyAreDueBeforeItThere() {
        RecordingActions gateway = RecordingActions.with(2, LOOKUP);
        for (int i = 100; i < 120; i++) {
            gateway.accept(i, 0, 0, 0, i, 100 * MILLIS);
            gateway.end(gateway.last(), AttemptOutcome.OK, 100, 50);
        }
        for (int i = 0; i <= AffinitySelector.MAX_AFFINITY_RANK; i++) {
            gateway.accept(i, 0);
            gateway.now += 1;
        }
        long home = gateway.lastOf(0).engine();
        for (int i = 0; i < AffinitySelector.MAX_AFFINITY_RANK; i++) {
            assertEquals(home, gateway.lastOf(i).engine());
        }
        assertNotEquals(home, gateway.last().engine());
    }

    @Test
    void loadedGroupGainsTheEngineThatReportsLeast() {
        RecordingActions gateway = RecordingActions.with(3, LOOKUP);
        gateway.accept(1, 0);
        long home = gateway.last().engine();
        long busy = home == 1 ? 2 : 1;
        long idle = 6 - home - busy;
        gateway.report(home, 9);
        gateway.report(busy, 6);
        gateway.report(idle, 0);
        gateway.accept(2, 0);
        assertEquals(idle, gateway.last().engine());
    }

    @Test
    void unusedEngineLeavesTheAffinitySet() {
        RecordingActions gateway = RecordingActions.with(4, LOOKUP);
        gateway.accept(1, 0);
        long home = gateway.last().engine();
        gateway.end(gateway.last(), AttemptOutcome.OK);
        gateway.advance(21 * SECONDS);
        for (long e = 1; e <= 4; e++) {
            gateway.report(e, e == home ? 8 : 0);
        }
        gateway.accept(2, 0);
        assertNotEquals(home, gateway.last().engine());
    }

    @Test
    void ownZoneIsPreferredOnlyWhereCrossingZonesCosts() {
        int[] home = new int[2];
        for (int i = 0; i < 2; i++) {
            RouterSettings s = RecordingActions.settings(1, LOOKUP);
            RecordingActions gateway =
                    RecordingActions.with(
                            new RouterSettings(
                                    1,
                                    0,
                                    1,
                                    new RoutingCosts(i * 0.04, 0),
                                    s.engineKinds(),
                                    s.classes(),
                                    s.tenants(),
                                    1,
                                    s.attemptLimits(),
                                    s.protectionRules(),
                                    s.engineCapabilities(),
                                    s.loadReporting(),
                                    false,
                                    s.tickUs()),
                            8);
            for (int q = 0; q < 200; q++) {
                gateway.accept(q, 0, 0, 0, q, 100 * MILLIS);
                home[i] += gateway.last().engine() % 2;
                gateway.end(gateway.last(), AttemptOutcome.OK, 100, 50);
            }
        }
        assertTrue(home[0] > 70 && home[0] < 130, home[0] + " of 200 at home without a price");
        assertTrue(home[1] > 150, home[1] + " of 200 at home with one");
    }

    @Test
    void unusedTableGroupsAreForgotten() {
        RecordingActions gateway = RecordingActions.with(4, LOOKUP);
        for (int i = 0; i < 3000; i++) {
            gateway.accept(i, 0, 0, 0, i, 100 * MILLIS);
            gateway.end(gateway.last(), AttemptOutcome.OK, 100, 50);
            gateway.advance(100 * MILLIS);
        }
        assertTrue(
                gateway.router.tableGroups() <= 1300,
                gateway.router.tableGroups() + " of 3000 in five minutes");
    }

    @Test
    void loadAndQueriesThatWaitForItAreKeptApart() {
        QueryClass load =
                queryClass(Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, false, 2, true);
        RecordingActions gateway = RecordingActions.with(3, LOOKUP, load);
        gateway.accept(1, 1);
        gateway.accept(2, 0);
        assertNotEquals(gateway.lastOf(1).engine(), gateway.lastOf(2).engine());
        gateway.end(gateway.lastOf(1), AttemptOutcome.OK);
        gateway.accept(3, 1);
        gateway.accept(4, 1);
        assertNotEquals(gateway.lastOf(3).engine(), gateway.lastOf(4).engine());
    }
}
