// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that the embedding example of the README runs. */
class EmbeddingTest {
    private long now = 5_000_000;

    private long clock() {
        return now++;
    }

    @Test
    void readmeExampleRuns() {
        RecordingActions actions =
                new RecordingActions(
                        RecordingActions.settings(
                                1, RecordingActions.lookupClass(Idempotency.IDEMPOTENT)));
        List<EngineEndpoint> enginesLastKnown =
                List.of(new EngineEndpoint(7, 0, 0, 0, 0, EngineLifecycle.READY));
        QueryRouter router =
                new AffinityRouter(
                        RecordingActions.settings(
                                1, RecordingActions.lookupClass(Idempotency.IDEMPOTENT)),
                        actions);
        router.start(clock());
        router.endpointsChanged(clock(), EndpointUpdate.CACHED, enginesLastKnown);
        router.queryAccepted(clock(), new Query(1, 0, 0, 0, 1_000_000, 50_000, 100, 3, false, 0));
        router.progress(clock(), new QueryProgress(1, 0, ProgressKind.FRACTION_DONE, 0.4));
        router.attemptEnded(
                clock(), new AttemptResult(1, 0, 7, AttemptOutcome.OK, true, 60_000, 50, 90, null));
        router.timerFired(clock(), 2);
        assertEquals(1, actions.attempts.size());
        assertEquals(7, actions.attempts.get(0).engine());
        assertEquals(0, actions.finalAnswerCount(1));
    }
}
