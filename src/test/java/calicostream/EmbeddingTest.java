// SPDX-License-Identifier: Apache-2.0
package calicostream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The example of the README, as an embedder would write it. */
class EmbeddingTest {
    private long now = 5_000_000;

    private long clock() {
        return now++;
    }

    @Test
    void readmeExampleRuns() {
        Recorder actions =
                new Recorder(Recorder.settings(1, Recorder.look(QueryRouter.Effect.REPEATABLE)));
        List<QueryRouter.Engine> enginesLastKnown =
                List.of(new QueryRouter.Engine(7, 0, 0, 0, 0, QueryRouter.EngineState.READY));
        QueryRouter router =
                new Logic(
                        Recorder.settings(1, Recorder.look(QueryRouter.Effect.REPEATABLE)),
                        actions);
        router.start(clock());
        router.roster(clock(), QueryRouter.RosterKind.CACHED, enginesLastKnown);
        router.query(clock(), new QueryRouter.Query(1, 0, 0, 0, 1_000_000, 50_000, 100, 3, false));
        router.progress(
                clock(), new QueryRouter.Progress(1, 0, QueryRouter.Notice.SHARE_DONE, 0.4));
        router.ended(
                clock(),
                new QueryRouter.AttemptEnd(
                        1, 0, 7, QueryRouter.Outcome.OK, true, 60_000, 50, 90, null));
        router.timer(clock(), 2);
        assertEquals(1, actions.sent.size());
        assertEquals(7, actions.sent.get(0).engine());
        assertEquals(0, actions.answers(1));
    }
}
