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

/** Tests which engines a {@link Gateway} uses after endpoint updates and operators' commands. */
class EngineAdministrationTest {
    private final GatewayHarness harness =
            new GatewayHarness(GatewayHarness.LOOKUP_AND_LOAD_SETTINGS);
    private final Gateway gateway = harness.gateway;
    private final List<Attempt> sent = harness.sent;
    private final List<String> recordedCalls = harness.recordedCalls;
    private int endedAttemptCount;
    private long failingEngine;
    private long observedEngine;

    private long accept(int queryClass, long tag, long timeLeftMicros) {
        return gateway.accept(
                IncomingRequest.of(
                        harness, tag, "id" + tag, queryClass, 1, timeLeftMicros, new byte[0]));
    }

    private void advance(long micros) {
        harness.advance(micros);
    }

    @BeforeEach
    void start() {
        harness.start(7, 8);
    }

    /**
     * An engine is used only if it is listed as ready and no operator has disabled it. Disabling
     * immediately notifies the engine client, so that an attempt that waits for a connection ends
     * and its request is sent to another engine.
     */
    @Test
    void engineIsUsedOnlyIfListedAsReadyAndNotDisabled() {
        advance(2_100_000); // A gateway that has just started sends nothing to cold engines.
        gateway.disable(7);
        assertEquals(List.of("draining 7"), recordedCalls);
        gateway.endpointsChanged(
                EndpointUpdate.INCREMENTAL,
                List.of(engine(7, EngineLifecycle.DRAINING), engine(8, EngineLifecycle.DRAINING)));
        gateway.enable(7, harness.time);
        accept(0, 1, 4_000_000);
        assertEquals(List.of(), sent, "the engine is still listed as draining");
        gateway.disable(7);
        gateway.endpointsChanged(
                EndpointUpdate.INCREMENTAL, List.of(engine(7, EngineLifecycle.READY)));
        advance(10_000);
        assertEquals(List.of(), sent, "an operator has disabled the engine");
        assertEquals(2, gateway.listedEngines());
        assertEquals(1, gateway.excludedEngines());
        gateway.enable(7, harness.time);
        assertEquals(7, sent.get(0).engine());
        assertFalse(gateway.isKnownEngine(9), "no engine has this id");
    }

    /**
     * Accepts a lookup every 50 ms for a time. Attempts fail on the failing engine and succeed on
     * the others.
     *
     * @return the number of attempts that were sent to the observed engine
     */
    private int countSentToObservedEngine(long micros, Runnable beforeLookup) {
        int sentBefore = sent.size();
        for (long endTime = harness.time + micros; harness.time < endTime; advance(50_000)) {
            beforeLookup.run();
            accept(0, harness.time, 1_000_000);
            while (sent.size() > endedAttemptCount) {
                Attempt attempt = sent.get(endedAttemptCount++);
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
                sent.subList(sentBefore, sent.size()).stream()
                        .filter(attempt -> attempt.engine() == observedEngine)
                        .count();
    }

    @Test
    void ejectionHintsPostponeOrHastenProbesButNeverEject() {
        gateway.endpointsChanged(
                EndpointUpdate.COMPLETE,
                List.of(
                        engine(7, EngineLifecycle.READY),
                        engine(8, EngineLifecycle.READY),
                        engine(9, EngineLifecycle.READY)));
        countSentToObservedEngine(1_000_000, () -> {});
        failingEngine = sent.get(0).engine();
        observedEngine = failingEngine;
        assertTrue(
                countSentToObservedEngine(30_000_000, () -> {}) >= 3,
                "without hints, the front end probes the engine");
        assertEquals(
                List.of(failingEngine), Arrays.stream(gateway.readyEngines(true)).boxed().toList());
        assertEquals(2, gateway.readyEngines(false).length);
        gateway.applyEjectionHint(failingEngine, false);
        assertEquals(
                0,
                countSentToObservedEngine(
                        30_000_000, () -> gateway.applyEjectionHint(failingEngine, false)));
        assertTrue(
                countSentToObservedEngine(9_000_000, () -> {}) >= 1,
                "after the hints have ended, the front end probes again");
        gateway.applyEjectionHint(failingEngine, true);
        failingEngine = 0;
        assertTrue(
                countSentToObservedEngine(500_000, () -> {}) >= 1,
                "the reinstated engine is sent a query soon");
        assertEquals(0, gateway.readyEngines(true).length);
        gateway.applyEjectionHint(7, false);
        gateway.applyEjectionHint(8, false);
        assertEquals(0, gateway.readyEngines(true).length, "a hint does not eject an engine");
    }

    @Test
    void drainingEngineGetsNoAttempts() {
        gateway.endpointsChanged(
                EndpointUpdate.INCREMENTAL, List.of(engine(7, EngineLifecycle.DRAINING)));
        assertEquals(List.of("draining 7"), recordedCalls);
        for (int i = 1; i <= 10; i++) {
            accept(0, i, 4_000_000);
        }
        assertTrue(sent.stream().allMatch(attempt -> attempt.engine() == 8));
        long handle = sent.get(0).request().handle();
        gateway.attemptEnded(sent.get(0), AttemptOutcome.OVERLOADED, null, null);
        int sentBefore = sent.size();
        gateway.startAttempt(handle, 7, 0);
        assertEquals(sentBefore, sent.size());
    }
}
