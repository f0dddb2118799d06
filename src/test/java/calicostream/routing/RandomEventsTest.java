// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import static calicostream.routing.RecordingActions.MILLIS;
import static calicostream.routing.RecordingActions.SECONDS;
import static calicostream.routing.RecordingActions.queryClass;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Random days: whatever happens, the rules hold. The order of events comes from the seed alone. */
class RandomEventsTest {
    private static final int ENGINES = 6;
    private static final AttemptOutcome[] ENDS = {
        AttemptOutcome.OK,
        AttemptOutcome.OK,
        AttemptOutcome.OK,
        AttemptOutcome.ERROR,
        AttemptOutcome.OVERLOADED,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.RESET,
        AttemptOutcome.TIMEOUT
    };

    private final Map<Long, EngineLifecycle> states = new HashMap<>();
    private final Map<Long, Integer> classOf = new HashMap<>();
    private final Map<Long, Long> keyOf = new HashMap<>();
    private final Map<Long, Long> deadline = new HashMap<>();
    private final Set<Long> answered = new HashSet<>();
    private final Set<Long> mayHaveRun = new HashSet<>();
    private final Map<Long, RecordingActions.Attempt> out = new HashMap<>();
    private int seen;
    private int cancelsSeen;
    private int refusalsSeen;
    private int failuresSeen;

    private RecordingActions day() {
        RecordingActions r =
                RecordingActions.with(
                        RecordingActions.settings(
                                2,
                                3,
                                0.1,
                                false,
                                List.of(new TenantLimit(40)),
                                queryClass(
                                        Idempotency.IDEMPOTENT,
                                        IdempotencyScope.ALL,
                                        false,
                                        1,
                                        false),
                                queryClass(
                                        Idempotency.NON_IDEMPOTENT,
                                        IdempotencyScope.ALL,
                                        true,
                                        2,
                                        true),
                                queryClass(
                                        Idempotency.IDEMPOTENT_WITH_KEY,
                                        IdempotencyScope.CELL,
                                        false,
                                        3,
                                        false),
                                RecordingActions.placedClass(List.of(1), List.of())),
                        ENGINES);
        for (long e = 1; e <= ENGINES; e++) {
            states.put(e, EngineLifecycle.READY);
        }
        return r;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void rulesHoldOnARandomDay(long seed) {
        Random random = new Random(seed);
        RecordingActions r = day();
        for (int i = 1; i <= 1500; i++) {
            step(random, r, i);
            check(r);
        }
        for (int i = 0; i < 60; i++) {
            r.advance(500 * MILLIS);
            new ArrayList<>(out.values()).forEach(s -> end(r, s, AttemptOutcome.TIMEOUT));
            check(r);
        }
        assertEquals(classOf.keySet(), answered, "every query has its answer");
        assertTrue(seen > 400, "the day was not empty: " + seen);
    }

    private void step(Random random, RecordingActions r, long id) {
        int dice = random.nextInt(10);
        if (dice < 5) {
            int queryClass = random.nextInt(4);
            classOf.put(id, queryClass);
            keyOf.put(id, queryClass == 1 ? 1L + random.nextInt(4) : 0L);
            deadline.put(id, r.now + 10 * SECONDS);
            r.accept(
                    id,
                    queryClass,
                    0,
                    keyOf.get(id),
                    random.nextInt(5),
                    (20 + random.nextInt(400)) * MILLIS);
        } else if (dice < 8 && !out.isEmpty()) {
            List<RecordingActions.Attempt> all = new ArrayList<>(out.values());
            all.sort((a, b) -> Long.compare(a.query(), b.query()));
            end(r, all.get(random.nextInt(all.size())), ENDS[random.nextInt(ENDS.length)]);
        } else if (dice == 8) {
            long engine = 1 + random.nextInt(ENGINES);
            EngineLifecycle state =
                    random.nextInt(3) == 0
                            ? EngineLifecycle.values()[random.nextInt(3)]
                            : EngineLifecycle.READY;
            states.put(engine, state);
            r.endpoints(
                    EndpointUpdate.INCREMENTAL,
                    RecordingActions.engine(engine, random.nextInt(4) == 0 ? r.now : 0, state));
        } else {
            out.values().stream()
                    .min((a, b) -> Long.compare(a.query(), b.query()))
                    .ifPresent(
                            s ->
                                    r.router.progress(
                                            r.now,
                                            new QueryProgress(
                                                    s.query(),
                                                    s.attempt(),
                                                    ProgressKind.FRACTION_DONE,
                                                    random.nextDouble())));
            r.advance(random.nextInt(300) * MILLIS);
        }
    }

    private void end(RecordingActions r, RecordingActions.Attempt s, AttemptOutcome outcome) {
        out.remove(s.query());
        if (outcome.mayHaveRun) {
            mayHaveRun.add(s.query());
        }
        if (outcome == AttemptOutcome.OK && answered.add(s.query())) {
            r.end(s, outcome, 100, 50);
        } else {
            r.end(s, outcome);
        }
    }

    private void check(RecordingActions r) {
        boolean more = true;
        while (more) {
            more = false;
            for (; refusalsSeen < r.rejected.size(); refusalsSeen++) {
                long q = r.rejected.get(refusalsSeen);
                assertTrue(answered.add(q), "second answer");
                assertTrue(
                        classOf.get(q) == 0 || classOf.get(q) == 3 || !mayHaveRun.contains(q),
                        "false promise");
                assertTrue(r.now <= deadline.get(q) + SECONDS);
            }
            for (; failuresSeen < r.failed.size(); failuresSeen++) {
                assertTrue(answered.add(r.failed.get(failuresSeen)), "second answer");
            }
            for (; seen < r.attempts.size(); seen++) {
                checkSend(r.attempts.get(seen));
            }
            for (; cancelsSeen < r.cancelled.size(); cancelsSeen++) {
                RecordingActions.Attempt s = out.get(r.cancelled.get(cancelsSeen).query());
                if (s != null) {
                    more = true;
                    end(r, s, AttemptOutcome.CANCELLED);
                }
            }
        }
    }

    private void checkSend(RecordingActions.Attempt s) {
        int queryClass = classOf.get(s.query());
        assertEquals(
                EngineLifecycle.READY,
                states.get(s.engine()),
                "sent to an engine that is not ready");
        assertFalse(queryClass == 1 && mayHaveRun.contains(s.query()), "ran twice");
        assertTrue(s.attempt() < 3, "too many attempts");
        assertTrue(queryClass != 3 || s.engine() % 2 == 1, "out of place");
        if (keyOf.get(s.query()) != 0) {
            long key = keyOf.get(s.query());
            assertTrue(
                    out.keySet().stream().noneMatch(q -> keyOf.get(q) == key),
                    "two of one key at once");
            assertTrue(
                    classOf.keySet().stream()
                            .noneMatch(
                                    q ->
                                            q < s.query()
                                                    && keyOf.get(q) == key
                                                    && !answered.contains(q)),
                    "out of order");
        }
        assertEquals(null, out.put(s.query(), s), "two attempts at once");
    }
}
