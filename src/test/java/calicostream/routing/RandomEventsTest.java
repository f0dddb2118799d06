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

/** Checks the routing rules under random events. The seed determines the sequence of events. */
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

    private final Map<Long, EngineLifecycle> lifecycles = new HashMap<>();
    private final Map<Long, Integer> classByQuery = new HashMap<>();
    private final Map<Long, Long> keyByQuery = new HashMap<>();
    private final Map<Long, Long> deadlineByQuery = new HashMap<>();
    private final Set<Long> answeredQueries = new HashSet<>();
    private final Set<Long> queriesThatMayHaveRun = new HashSet<>();
    private final Map<Long, RecordingActions.Attempt> runningAttempts = new HashMap<>();
    private int checkedAttempts;
    private int checkedCancels;
    private int checkedRejections;
    private int checkedFailures;

    private RecordingActions startRouter() {
        RecordingActions gateway =
                RecordingActions.withEngines(
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
        for (long engine = 1; engine <= ENGINES; engine++) {
            lifecycles.put(engine, EngineLifecycle.READY);
        }
        return gateway;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void rulesHoldForRandomEvents(long seed) {
        Random random = new Random(seed);
        RecordingActions gateway = startRouter();
        for (int i = 1; i <= 1500; i++) {
            applyRandomEvent(random, gateway, i);
            checkRules(gateway);
        }
        for (int i = 0; i < 60; i++) {
            gateway.advance(500 * MILLIS);
            new ArrayList<>(runningAttempts.values())
                    .forEach(attempt -> endAttempt(gateway, attempt, AttemptOutcome.TIMEOUT));
            checkRules(gateway);
        }
        assertEquals(classByQuery.keySet(), answeredQueries, "every query has a final answer");
        assertTrue(checkedAttempts > 400, "too few attempts: " + checkedAttempts);
    }

    private void applyRandomEvent(Random random, RecordingActions gateway, long id) {
        int event = random.nextInt(10);
        if (event < 5) {
            int queryClass = random.nextInt(4);
            classByQuery.put(id, queryClass);
            keyByQuery.put(id, queryClass == 1 ? 1L + random.nextInt(4) : 0L);
            deadlineByQuery.put(id, gateway.now + 10 * SECONDS);
            gateway.accept(
                    id,
                    queryClass,
                    0,
                    keyByQuery.get(id),
                    random.nextInt(5),
                    (20 + random.nextInt(400)) * MILLIS);
        } else if (event < 8 && !runningAttempts.isEmpty()) {
            List<RecordingActions.Attempt> attempts = new ArrayList<>(runningAttempts.values());
            attempts.sort((first, second) -> Long.compare(first.query(), second.query()));
            endAttempt(
                    gateway,
                    attempts.get(random.nextInt(attempts.size())),
                    OUTCOMES[random.nextInt(OUTCOMES.length)]);
        } else if (event == 8) {
            long engine = 1 + random.nextInt(ENGINES);
            EngineLifecycle lifecycle =
                    random.nextInt(3) == 0
                            ? EngineLifecycle.values()[random.nextInt(3)]
                            : EngineLifecycle.READY;
            lifecycles.put(engine, lifecycle);
            gateway.updateEndpoints(
                    EndpointUpdate.INCREMENTAL,
                    RecordingActions.engine(
                            engine, random.nextInt(4) == 0 ? gateway.now : 0, lifecycle));
        } else {
            runningAttempts.values().stream()
                    .min((first, second) -> Long.compare(first.query(), second.query()))
                    .ifPresent(
                            attempt ->
                                    gateway.router.progress(
                                            gateway.now,
                                            new QueryProgress(
                                                    attempt.query(),
                                                    attempt.number(),
                                                    ProgressKind.FRACTION_DONE,
                                                    random.nextDouble())));
            gateway.advance(random.nextInt(300) * MILLIS);
        }
    }

    private void endAttempt(
            RecordingActions gateway, RecordingActions.Attempt attempt, AttemptOutcome outcome) {
        runningAttempts.remove(attempt.query());
        if (outcome.mayHaveRun) {
            queriesThatMayHaveRun.add(attempt.query());
        }
        if (outcome == AttemptOutcome.OK && answeredQueries.add(attempt.query())) {
            gateway.endAttempt(attempt, outcome, 100, 50);
        } else {
            gateway.endAttempt(attempt, outcome);
        }
    }

    private void checkRules(RecordingActions gateway) {
        boolean hasNewEvents = true;
        while (hasNewEvents) {
            hasNewEvents = false;
            for (; checkedRejections < gateway.rejectedQueries.size(); checkedRejections++) {
                long query = gateway.rejectedQueries.get(checkedRejections);
                assertTrue(answeredQueries.add(query), "second final answer");
                assertTrue(
                        classByQuery.get(query) == 0
                                || classByQuery.get(query) == 3
                                || !queriesThatMayHaveRun.contains(query),
                        "rejected although it may have run");
                assertTrue(gateway.now <= deadlineByQuery.get(query) + SECONDS);
            }
            for (; checkedFailures < gateway.failedQueries.size(); checkedFailures++) {
                assertTrue(
                        answeredQueries.add(gateway.failedQueries.get(checkedFailures)),
                        "second final answer");
            }
            for (; checkedAttempts < gateway.attempts.size(); checkedAttempts++) {
                checkAttempt(gateway.attempts.get(checkedAttempts));
            }
            for (; checkedCancels < gateway.cancelledAttempts.size(); checkedCancels++) {
                RecordingActions.Attempt attempt =
                        runningAttempts.get(gateway.cancelledAttempts.get(checkedCancels).query());
                if (attempt != null) {
                    hasNewEvents = true;
                    endAttempt(gateway, attempt, AttemptOutcome.CANCELLED);
                }
            }
        }
    }

    private void checkAttempt(RecordingActions.Attempt attempt) {
        int queryClass = classByQuery.get(attempt.query());
        assertEquals(
                EngineLifecycle.READY,
                lifecycles.get(attempt.engine()),
                "sent to an engine that is not ready");
        assertFalse(
                queryClass == 1 && queriesThatMayHaveRun.contains(attempt.query()),
                "non-idempotent query may run twice");
        assertTrue(attempt.number() < 3, "too many attempts");
        assertTrue(
                queryClass != 3 || attempt.engine() % 2 == 1, "sent to a zone outside its class");
        if (keyByQuery.get(attempt.query()) != 0) {
            long key = keyByQuery.get(attempt.query());
            assertTrue(
                    runningAttempts.keySet().stream()
                            .noneMatch(query -> keyByQuery.get(query) == key),
                    "two running queries of one ordered key");
            assertTrue(
                    classByQuery.keySet().stream()
                            .noneMatch(
                                    query ->
                                            query < attempt.query()
                                                    && keyByQuery.get(query) == key
                                                    && !answeredQueries.contains(query)),
                    "queries of an ordered key out of order");
        }
        assertEquals(
                null,
                runningAttempts.put(attempt.query(), attempt),
                "two running attempts of one query");
    }
}
