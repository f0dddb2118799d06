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

/** Random events: whatever happens, the rules hold. Their order comes from the seed alone. */
class RandomEventsTest {
    private static final int ENGINES = 6;
    private static final AttemptOutcome[] OUTCOMES = {
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
    private int rejectionsSeen;
    private int failuresSeen;

    private RecordingActions startRouter() {
        RecordingActions gateway =
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
        return gateway;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void rulesHoldForRandomEvents(long seed) {
        Random random = new Random(seed);
        RecordingActions gateway = startRouter();
        for (int i = 1; i <= 1500; i++) {
            step(random, gateway, i);
            check(gateway);
        }
        for (int i = 0; i < 60; i++) {
            gateway.advance(500 * MILLIS);
            new ArrayList<>(out.values()).forEach(s -> end(gateway, s, AttemptOutcome.TIMEOUT));
            check(gateway);
        }
        assertEquals(classOf.keySet(), answered, "every query has its answer");
        assertTrue(seen > 400, "too few attempts: " + seen);
    }

    private void step(Random random, RecordingActions gateway, long id) {
        int dice = random.nextInt(10);
        if (dice < 5) {
            int queryClass = random.nextInt(4);
            classOf.put(id, queryClass);
            keyOf.put(id, queryClass == 1 ? 1L + random.nextInt(4) : 0L);
            deadline.put(id, gateway.now + 10 * SECONDS);
            gateway.accept(
                    id,
                    queryClass,
                    0,
                    keyOf.get(id),
                    random.nextInt(5),
                    (20 + random.nextInt(400)) * MILLIS);
        } else if (dice < 8 && !out.isEmpty()) {
            List<RecordingActions.Attempt> all = new ArrayList<>(out.values());
            all.sort((a, b) -> Long.compare(a.query(), b.query()));
            end(
                    gateway,
                    all.get(random.nextInt(all.size())),
                    OUTCOMES[random.nextInt(OUTCOMES.length)]);
        } else if (dice == 8) {
            long engine = 1 + random.nextInt(ENGINES);
            EngineLifecycle state =
                    random.nextInt(3) == 0
                            ? EngineLifecycle.values()[random.nextInt(3)]
                            : EngineLifecycle.READY;
            states.put(engine, state);
            gateway.endpoints(
                    EndpointUpdate.INCREMENTAL,
                    RecordingActions.engine(
                            engine, random.nextInt(4) == 0 ? gateway.now : 0, state));
        } else {
            out.values().stream()
                    .min((a, b) -> Long.compare(a.query(), b.query()))
                    .ifPresent(
                            s ->
                                    gateway.router.progress(
                                            gateway.now,
                                            new QueryProgress(
                                                    s.query(),
                                                    s.attempt(),
                                                    ProgressKind.FRACTION_DONE,
                                                    random.nextDouble())));
            gateway.advance(random.nextInt(300) * MILLIS);
        }
    }

    private void end(RecordingActions gateway, RecordingActions.Attempt s, AttemptOutcome outcome) {
        out.remove(s.query());
        if (outcome.mayHaveRun) {
            mayHaveRun.add(s.query());
        }
        if (outcome == AttemptOutcome.OK && answered.add(s.query())) {
            gateway.end(s, outcome, 100, 50);
        } else {
            gateway.end(s, outcome);
        }
    }

    private void check(RecordingActions gateway) {
        boolean more = true;
        while (more) {
            more = false;
            for (; rejectionsSeen < gateway.rejected.size(); rejectionsSeen++) {
                long q = gateway.rejected.get(rejectionsSeen);
                assertTrue(answered.add(q), "second answer");
                assertTrue(
                        classOf.get(q) == 0 || classOf.get(q) == 3 || !mayHaveRun.contains(q),
                        "false promise");
                assertTrue(gateway.now <= deadline.get(q) + SECONDS);
            }
            for (; failuresSeen < gateway.failed.size(); failuresSeen++) {
                assertTrue(answered.add(gateway.failed.get(failuresSeen)), "second answer");
            }
            for (; seen < gateway.attempts.size(); seen++) {
                checkSend(gateway.attempts.get(seen));
            }
            for (; cancelsSeen < gateway.cancelled.size(); cancelsSeen++) {
                RecordingActions.Attempt s = out.get(gateway.cancelled.get(cancelsSeen).query());
                if (s != null) {
                    more = true;
                    end(gateway, s, AttemptOutcome.CANCELLED);
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
