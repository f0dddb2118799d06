// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import static calicostream.routing.RecordingActions.MILLIS;
import static calicostream.routing.RecordingActions.SECONDS;
import static calicostream.routing.RecordingActions.engine;
import static calicostream.routing.RecordingActions.lookupClass;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests failed and repeated endpoint lists, unknown indexes and a clock that does not advance. */
class UnusualEventsTest {
    private static final QueryClass LOOKUP = lookupClass(Idempotency.IDEMPOTENT);

    @Test
    void endpointListRequestIsRetriedAfterFailure() {
        RecordingActions withPushedList = RecordingActions.withEngines(1, LOOKUP);
        withPushedList.updateEndpoints(EndpointUpdate.FAILED);
        withPushedList.advance(5 * SECONDS);
        assertEquals(0, withPushedList.watchRequests);
        RecordingActions gateway =
                RecordingActions.withEngines(
                        RecordingActions.settings(1, 3, 0, false, List.of(), true, LOOKUP), 1);
        assertEquals(1, gateway.watchRequests);
        gateway.updateEndpoints(EndpointUpdate.FAILED);
        gateway.advance(500 * MILLIS);
        assertEquals(1, gateway.watchRequests);
        gateway.advance(5 * SECONDS);
        assertEquals(2, gateway.watchRequests);
        gateway.accept(1, 0);
        assertEquals(1, gateway.lastAttempt().engine(), "the previous list stays in effect");
    }

    @Test
    void stoppedClockAndRepeatedListsHaveNoEffect() {
        RecordingActions gateway = RecordingActions.withEngines(2, LOOKUP);
        for (int i = 0; i < 50; i++) {
            gateway.updateEndpoints(
                    EndpointUpdate.COMPLETE,
                    engine(1, 0, EngineLifecycle.READY),
                    engine(2, 0, EngineLifecycle.READY));
            gateway.router.timerFired(gateway.now, RouterTimers.TICK_TOKEN);
            gateway.accept(i, 0);
            gateway.endAttempt(gateway.lastAttempt(), AttemptOutcome.OK, 100, 50);
        }
        assertEquals(50, gateway.attempts.size());
        assertEquals(0, gateway.rejectedQueries.size() + gateway.failedQueries.size());
    }

    @Test
    void unknownIndexesAndEmptyListsAreHandled() {
        RecordingActions gateway = RecordingActions.withEngines(2, LOOKUP);
        gateway.accept(1, 9);
        assertEquals(List.of(1L), gateway.rejectedQueries);
        gateway.accept(2, 0, 44, 0, -3, 0);
        assertEquals(2, gateway.lastAttempt().query());
        gateway.updateEndpoints(EndpointUpdate.COMPLETE);
        gateway.updateEndpoints(EndpointUpdate.COMPLETE);
        gateway.accept(3, 0);
        gateway.updateEndpoints(EndpointUpdate.INCREMENTAL, engine(5, 0, EngineLifecycle.READY));
        assertEquals(3, gateway.lastAttempt().query());
        assertEquals(5, gateway.lastAttempt().engine());
    }
}
