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

/** Tests which engines run the queries of a table group, and how affinity sets grow and shrink. */
class AffinityTest {
    private static final QueryClass LOOKUP = lookupClass(Idempotency.IDEMPOTENT);

    private static Set<Long> enginesUsed(RecordingActions gateway) {
        Set<Long> engines = new HashSet<>();
        gateway.attempts.forEach(attempt -> engines.add(attempt.engine()));
        return engines;
    }

    @Test
    void tableGroupKeepsItsEngineAcrossGateways() {
        RecordingActions first = RecordingActions.withEngines(6, LOOKUP);
        RecordingActions second = RecordingActions.withEngines(6, LOOKUP);
        for (int i = 0; i < 5; i++) {
            first.accept(i, 0, 0, 0, 9, 100 * MILLIS);
            first.endAttempt(first.lastAttempt(), AttemptOutcome.OK, 100, 50);
            second.accept(i, 0, 0, 0, 9, 100 * MILLIS);
            second.endAttempt(second.lastAttempt(), AttemptOutcome.OK, 100, 50);
        }
        assertEquals(1, enginesUsed(first).size());
        assertEquals(enginesUsed(first), enginesUsed(second));
    }

    /**
     * Queries of a transaction must not run on another engine, run twice, or start while their
     * engine drains.
     */
    @Test
    void stickyQueryRunsOnlyOnItsEngineAndNeverTwice() {
        RecordingActions gateway = RecordingActions.withEngines(6, LOOKUP);
        for (int i = 0; i < 12; i++) {
            long stickyEngine = 1 + i % 6;
            gateway.acceptSticky(i, 0, stickyEngine);
            assertEquals(stickyEngine, gateway.lastAttemptOf(i).engine());
            gateway.endAttempt(
                    gateway.lastAttemptOf(i),
                    i % 2 == 0 ? AttemptOutcome.ERROR : AttemptOutcome.OK);
        }
        assertEquals(12, gateway.attempts.size(), "a sticky query is not retried after an error");
        gateway.updateEndpoints(EndpointUpdate.INCREMENTAL, engine(3, 0, EngineLifecycle.DRAINING));
        gateway.acceptSticky(100, 0, 3);
        assertEquals(12, gateway.attempts.size(), "the sticky engine is draining");
        gateway.updateEndpoints(EndpointUpdate.INCREMENTAL, engine(3, 0, EngineLifecycle.READY));
        assertEquals(3, gateway.lastAttemptOf(100).engine());
        gateway.endAttempt(gateway.lastAttemptOf(100), AttemptOutcome.OVERLOADED);
        assertEquals(
                3,
                gateway.lastAttemptOf(100).engine(),
                "a query that did not run may be retried on its engine");
    }

    @Test
    void queryUsesOtherEngineWhenAffinityEngineIsBusy() {
        RecordingActions gateway = RecordingActions.withEngines(2, LOOKUP);
        for (int i = 100; i < 120; i++) {
            gateway.accept(i, 0, 0, 0, i, 100 * MILLIS);
            gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.OK, 100, 50);
        }
        for (int i = 0; i <= AffinitySelector.MAX_AFFINITY_RANK; i++) {
            gateway.accept(i, 0);
            gateway.now += 1;
        }
        long affinityEngine = gateway.lastAttemptOf(0).engine();
        for (int i = 0; i < AffinitySelector.MAX_AFFINITY_RANK; i++) {
            assertEquals(affinityEngine, gateway.lastAttemptOf(i).engine());
        }
        assertNotEquals(affinityEngine, gateway.lastAttempt().engine());
    }

    @Test
    void overloadedAffinitySetGainsLeastLoadedEngine() {
        RecordingActions gateway = RecordingActions.withEngines(3, LOOKUP);
        gateway.accept(1, 0);
        long affinityEngine = gateway.lastAttempt().engine();
        long busyEngine = affinityEngine == 1 ? 2 : 1;
        long idleEngine = 6 - affinityEngine - busyEngine;
        gateway.reportRunning(affinityEngine, 9);
        gateway.reportRunning(busyEngine, 6);
        gateway.reportRunning(idleEngine, 0);
        gateway.accept(2, 0);
        assertEquals(idleEngine, gateway.lastAttempt().engine());
    }

    @Test
    void unusedEngineIsRemovedFromAffinitySet() {
        RecordingActions gateway = RecordingActions.withEngines(4, LOOKUP);
        gateway.accept(1, 0);
        long affinityEngine = gateway.lastAttempt().engine();
        gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.OK);
        gateway.advance(21 * SECONDS);
        for (long engine = 1; engine <= 4; engine++) {
            gateway.reportRunning(engine, engine == affinityEngine ? 8 : 0);
        }
        gateway.accept(2, 0);
        assertNotEquals(affinityEngine, gateway.lastAttempt().engine());
    }

    @Test
    void ownZoneIsPreferredOnlyWithCrossZoneCost() {
        int[] ownZoneAttempts = new int[2];
        for (int i = 0; i < 2; i++) {
            RouterSettings defaults = RecordingActions.settings(1, LOOKUP);
            RecordingActions gateway =
                    RecordingActions.withEngines(
                            new RouterSettings(
                                    1,
                                    0,
                                    1,
                                    new RoutingCosts(i * 0.04, 0),
                                    defaults.engineKinds(),
                                    defaults.classes(),
                                    defaults.tenants(),
                                    1,
                                    defaults.attemptLimits(),
                                    defaults.protectionRules(),
                                    defaults.engineCapabilities(),
                                    defaults.loadReporting(),
                                    false,
                                    defaults.tickUs()),
                            8);
            for (int id = 0; id < 200; id++) {
                gateway.accept(id, 0, 0, 0, id, 100 * MILLIS);
                ownZoneAttempts[i] += gateway.lastAttempt().engine() % 2;
                gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.OK, 100, 50);
            }
        }
        assertTrue(
                ownZoneAttempts[0] > 70 && ownZoneAttempts[0] < 130,
                ownZoneAttempts[0] + " of 200 in the own zone without a cost");
        assertTrue(
                ownZoneAttempts[1] > 150,
                ownZoneAttempts[1] + " of 200 in the own zone with a cost");
    }

    @Test
    void idleTableGroupsAreRemoved() {
        RecordingActions gateway = RecordingActions.withEngines(4, LOOKUP);
        for (int i = 0; i < 3000; i++) {
            gateway.accept(i, 0, 0, 0, i, 100 * MILLIS);
            gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.OK, 100, 50);
            gateway.advance(100 * MILLIS);
        }
        assertTrue(
                gateway.router.tableGroups() <= 1300,
                gateway.router.tableGroups() + " of 3000 table groups kept after five minutes");
    }

    @Test
    void loadBlocksOtherLoadsAndWaitingQueries() {
        QueryClass load =
                queryClass(Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, false, 2, true);
        RecordingActions gateway = RecordingActions.withEngines(3, LOOKUP, load);
        gateway.accept(1, 1);
        gateway.accept(2, 0);
        assertNotEquals(gateway.lastAttemptOf(1).engine(), gateway.lastAttemptOf(2).engine());
        gateway.endAttempt(gateway.lastAttemptOf(1), AttemptOutcome.OK);
        gateway.accept(3, 1);
        gateway.accept(4, 1);
        assertNotEquals(gateway.lastAttemptOf(3).engine(), gateway.lastAttemptOf(4).engine());
    }
}
