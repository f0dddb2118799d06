// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import static calicostream.routing.RecordingActions.MILLIS;
import static calicostream.routing.RecordingActions.SECONDS;
import static calicostream.routing.RecordingActions.engine;
import static calicostream.routing.RecordingActions.lookupClass;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Endpoint lists that fail or repeat, unknown indexes and a clock that stands still. */
class UnusualEventsTest {
    private static final QueryClass LOOKUP = lookupClass(Idempotency.IDEMPOTENT);

    @Test
    void endpointListIsRequestedWhereNeededAndAgainAfterAFailure() {
        RecordingActions pushed = RecordingActions.with(1, LOOKUP);
        pushed.endpoints(EndpointUpdate.FAILED);
        pushed.advance(5 * SECONDS);
        assertEquals(0, pushed.watchRequests);
        RecordingActions gateway =
                RecordingActions.with(
                        RecordingActions.settings(1, 3, 0, false, List.of(), true, LOOKUP), 1);
        assertEquals(1, gateway.watchRequests);
        gateway.endpoints(EndpointUpdate.FAILED);
        gateway.advance(500 * MILLIS);
        assertEquals(1, gateway.watchRequests);
        gateway.advance(5 * SECONDS);
        assertEquals(2, gateway.watchRequests);
        gateway.accept(1, 0);
        assertEquals(1, gateway.last().engine(), "the old list still applies");
    }

    @Test
    void clockThatStandsStillAndRepeatedListsChangeNothing() {
        RecordingActions gateway = RecordingActions.with(2, LOOKUP);
        for (int i = 0; i < 50; i++) {
            gateway.endpoints(
                    EndpointUpdate.COMPLETE,
                    engine(1, 0, EngineLifecycle.READY),
                    engine(2, 0, EngineLifecycle.READY));
            gateway.router.timerFired(gateway.now, RouterTimers.TICK_TOKEN);
            gateway.accept(i, 0);
            gateway.end(gateway.last(), AttemptOutcome.OK, 100, 50);
        }
        assertEquals(50, gateway.attempts.size());
        assertEquals(0, gateway.rejected.size() + gateway.failed.size());
    }

    @Test
    void unknownClassGroupAndTenantAndNoEnginesAreHandled() {
        RecordingActions gateway = RecordingActions.with(2, LOOKUP);
        gateway.accept(1, 9);
        assertEquals(List.of(1L), gateway.rejected);
        gateway.accept(2, 0, 44, 0, -3, 0);
        assertEquals(2, gateway.last().query());
        gateway.endpoints(EndpointUpdate.COMPLETE);
        gateway.endpoints(EndpointUpdate.COMPLETE);
        gateway.accept(3, 0);
        gateway.endpoints(EndpointUpdate.INCREMENTAL, engine(5, 0, EngineLifecycle.READY));
        assertEquals(3, gateway.last().query());
        assertEquals(5, gateway.last().engine());
    }
}
