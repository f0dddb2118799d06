// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import static calicostream.core.GatewayHarness.engine;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.routing.AttemptOutcome;
import calicostream.routing.EndpointUpdate;
import calicostream.routing.EngineLifecycle;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Which engines a {@link Gateway} uses after endpoint updates and administrative commands. */
class EngineAdministrationTest {
    private final GatewayHarness harness = new GatewayHarness(GatewayHarness.TWO_CLASSES);
    private final Gateway gateway = harness.gateway;
    private final List<Attempt> sent = harness.sent;
    private final List<String> notifications = harness.notifications;
    private int endedCount;
    private long failingEngine;
    private long preferredEngine;

    private long accept(int queryClass, long tag, long budgetUs) {
        return gateway.accept(
                IncomingRequest.of(harness, tag, "id" + tag, queryClass, 1, budgetUs, new byte[0]));
    }

    private void advance(long us) {
        harness.advance(us);
    }

    @BeforeEach
    void start() {
        harness.start(7, 8);
    }

    /**
     * An attempt that waits for a connection when an operator disables the engine ends there, and
     * the request goes elsewhere.
     */
    @Test
    void engineIsUsedOnlyWhereNeitherTheListNorAnOperatorForbidsIt() {
        advance(2_100_000); // A gateway that has just started sends cold engines nothing.
        gateway.disable(7);
        assertEquals(List.of("draining 7"), notifications);
        gateway.endpointsChanged(
                EndpointUpdate.INCREMENTAL,
                List.of(engine(7, EngineLifecycle.DRAINING), engine(8, EngineLifecycle.DRAINING)));
        gateway.enable(7, harness.time);
        accept(0, 1, 4_000_000);
        assertEquals(List.of(), sent, "the list still forbids it");
        gateway.disable(7);
        gateway.endpointsChanged(
                EndpointUpdate.INCREMENTAL, List.of(engine(7, EngineLifecycle.READY)));
        advance(10_000);
        assertEquals(List.of(), sent, "an operator forbids it");
        assertEquals(2, gateway.listedEngines());
        assertEquals(1, gateway.excludedEngines());
        gateway.enable(7, harness.time);
        assertEquals(7, sent.get(0).engine());
        assertFalse(gateway.isKnownEngine(9), "nobody has this id");
    }

    /** Sends a lookup every 50 ms for so long; returns how many went to the preferred engine. */
    private int sentWhileFailing(long us, Runnable each) {
        int before = sent.size();
        for (long end = harness.time + us; harness.time < end; advance(50_000)) {
            each.run();
            accept(0, harness.time, 1_000_000);
            while (sent.size() > endedCount) {
                Attempt attempt = sent.get(endedCount++);
                gateway.attemptEnded(
                        attempt,
                        attempt.engine() == failingEngine
                                ? AttemptOutcome.CONNECT_FAILED
                                : AttemptOutcome.OK,
                        null,
                        new TextResult(new byte[0]));
            }
        }
        return (int)
                sent.subList(before, sent.size()).stream()
                        .filter(attempt -> attempt.engine() == preferredEngine)
                        .count();
    }

    @Test
    void probesOfAnotherFrontEndPostponeOnesOwnAndItsSuccessHastensThem() {
        gateway.endpointsChanged(
                EndpointUpdate.COMPLETE,
                List.of(
                        engine(7, EngineLifecycle.READY),
                        engine(8, EngineLifecycle.READY),
                        engine(9, EngineLifecycle.READY)));
        sentWhileFailing(1_000_000, () -> {});
        failingEngine = sent.get(0).engine();
        preferredEngine = failingEngine;
        assertTrue(
                sentWhileFailing(30_000_000, () -> {}) >= 3, "without hints it probes by itself");
        assertEquals(
                List.of(failingEngine), Arrays.stream(gateway.readyEngines(true)).boxed().toList());
        assertEquals(2, gateway.readyEngines(false).length);
        gateway.applyEjectionHint(failingEngine, false);
        assertEquals(
                0,
                sentWhileFailing(
                        30_000_000, () -> gateway.applyEjectionHint(failingEngine, false)));
        assertTrue(
                sentWhileFailing(9_000_000, () -> {}) >= 1,
                "the hints have ended, and it probes by itself");
        gateway.applyEjectionHint(failingEngine, true);
        failingEngine = 0;
        assertTrue(sentWhileFailing(500_000, () -> {}) >= 1, "it gets a query soon");
        assertEquals(0, gateway.readyEngines(true).length);
        gateway.applyEjectionHint(7, false);
        gateway.applyEjectionHint(8, false);
        assertEquals(0, gateway.readyEngines(true).length, "a hint ejects nothing");
    }

    @Test
    void nothingIsSentToAnEngineThatDrains() {
        gateway.endpointsChanged(
                EndpointUpdate.INCREMENTAL, List.of(engine(7, EngineLifecycle.DRAINING)));
        assertEquals(List.of("draining 7"), notifications);
        for (int i = 1; i <= 10; i++) {
            accept(0, i, 4_000_000);
        }
        assertTrue(sent.stream().allMatch(a -> a.engine() == 8));
        long handle = sent.get(0).request().handle();
        gateway.attemptEnded(sent.get(0), AttemptOutcome.OVERLOADED, null, null);
        int before = sent.size();
        gateway.startAttempt(handle, 7, 0);
        assertEquals(before, sent.size());
    }
}
