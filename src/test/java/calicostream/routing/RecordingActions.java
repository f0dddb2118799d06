// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.ArrayList;
import java.util.List;

/** Drives a router with events and records the actions that it requests. */
final class RecordingActions implements RouterActions {
    // Units of the router's clock, in microseconds.
    static final long MILLIS = 1000;
    static final long SECONDS = 1_000_000;
    static final long START_MICROS = 100 * SECONDS;

    record Attempt(long startedAt, long query, long engine, int number) {}

    final List<Attempt> attempts = new ArrayList<>();
    final List<Long> rejectedQueries = new ArrayList<>();
    final List<Long> failedQueries = new ArrayList<>();
    final List<Attempt> cancelledAttempts = new ArrayList<>();
    final List<Long> probedEngines = new ArrayList<>();
    final List<double[]> assignedResources = new ArrayList<>();
    final List<String> logLines = new ArrayList<>();
    final List<long[]> timers = new ArrayList<>();
    int watchRequests;
    long now = START_MICROS;
    final AffinityRouter router;

    RecordingActions(RouterSettings settings) {
        router = new AffinityRouter(settings, this);
        router.start(now);
    }

    static RecordingActions withEngines(int engines, QueryClass... classes) {
        return withEngines(settings(1, classes), engines);
    }

    static RecordingActions withEngines(RouterSettings settings, int engines) {
        RecordingActions gateway = new RecordingActions(settings);
        List<EngineEndpoint> list = new ArrayList<>();
        for (int i = 1; i <= engines; i++) {
            list.add(engine(i, 0, EngineLifecycle.READY));
        }
        gateway.router.endpointsChanged(gateway.now, EndpointUpdate.COMPLETE, list);
        return gateway;
    }

    static RouterSettings settings(int gateways, QueryClass... classes) {
        return settings(gateways, 3, 0, false, List.of(), classes);
    }

    static RouterSettings settings(
            int gateways,
            int maxAttempts,
            double retryRatio,
            boolean probes,
            List<TenantLimit> tenants,
            QueryClass... classes) {
        return settings(gateways, maxAttempts, retryRatio, probes, tenants, false, classes);
    }

    static RouterSettings settings(
            int gateways,
            int maxAttempts,
            double retryRatio,
            boolean probes,
            List<TenantLimit> tenants,
            boolean watchOnRequest,
            QueryClass... classes) {
        return new RouterSettings(
                gateways,
                0,
                0,
                new RoutingCosts(0, 0),
                List.of(new EngineKind(8, 16384)),
                List.of(classes),
                tenants,
                0.05,
                new AttemptLimits(probes, true, maxAttempts),
                new ProtectionRules(
                        0.3,
                        2.5,
                        2 * SECONDS,
                        10 * SECONDS,
                        300 * MILLIS,
                        3,
                        retryRatio,
                        retryRatio > 0 ? 5 * SECONDS : 0),
                new EngineCapabilities(true, true, 0.4, 500 * MILLIS),
                probes ? LoadReporting.ON_PROBE : LoadReporting.WITH_ANSWERS,
                watchOnRequest,
                5 * MILLIS);
    }

    static QueryClass lookupClass(Idempotency idempotency) {
        return queryClass(idempotency, IdempotencyScope.ALL, false, 1, false);
    }

    static QueryClass queryClass(
            Idempotency idempotency,
            IdempotencyScope scope,
            boolean orderedByKey,
            int threads,
            boolean load) {
        return new QueryClass(
                2 * SECONDS,
                2,
                10 * SECONDS,
                1,
                0.3,
                idempotency,
                scope,
                3 * SECONDS,
                orderedByKey,
                false,
                threads,
                load,
                !load,
                List.of(),
                List.of());
    }

    static QueryClass placedClass(List<Integer> zones, List<Integer> kinds) {
        return new QueryClass(
                2 * SECONDS,
                2,
                10 * SECONDS,
                1,
                0.3,
                Idempotency.IDEMPOTENT,
                IdempotencyScope.ALL,
                3 * SECONDS,
                false,
                false,
                1,
                false,
                false,
                zones,
                kinds);
    }

    /** Engines with odd ids are in zone 1 and cell 1, the others in zone 0 and cell 0. */
    static EngineEndpoint engine(long id, long startedAtUs, EngineLifecycle lifecycle) {
        return new EngineEndpoint(id, 0, (int) (id % 2), (int) (id % 2), startedAtUs, lifecycle);
    }

    void updateEndpoints(EndpointUpdate kind, EngineEndpoint... engines) {
        router.endpointsChanged(now, kind, List.of(engines));
    }

    void accept(long id, int queryClass) {
        accept(id, queryClass, 0, 0, 0, 100 * MILLIS);
    }

    void accept(long id, int queryClass, int tenant, long key, int group, double workUs) {
        router.queryAccepted(
                now,
                new Query(id, queryClass, tenant, key, 10 * SECONDS, workUs, 100, group, false, 0));
    }

    /** Accepts a query that only the given engine may run. */
    void acceptSticky(long id, int queryClass, long engine) {
        router.queryAccepted(
                now,
                new Query(id, queryClass, 0, 0, 10 * SECONDS, 100 * MILLIS, 100, 0, false, engine));
    }

    Attempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    /** Returns whether the latest attempt belongs to the query. */
    boolean isLastAttemptOf(long query) {
        return !attempts.isEmpty() && lastAttempt().query == query;
    }

    /** Returns the latest attempt of the query, or null if it was not sent. */
    Attempt lastAttemptOf(long query) {
        return attempts.stream()
                .filter(attempt -> attempt.query == query)
                .reduce((earlier, later) -> later)
                .orElse(null);
    }

    void endAttempt(Attempt attempt, AttemptOutcome outcome) {
        endAttempt(attempt, outcome, 0, 0);
    }

    void endAttempt(Attempt attempt, AttemptOutcome outcome, double workMs, double memoryMb) {
        router.attemptEnded(
                now,
                new AttemptResult(
                        attempt.query,
                        attempt.number,
                        attempt.engine,
                        outcome,
                        outcome == AttemptOutcome.OK,
                        now - attempt.startedAt,
                        workMs,
                        memoryMb,
                        null));
    }

    void reportRunning(long engine, double running) {
        router.probeCompleted(now, engine, AttemptOutcome.OK, new LoadReport(running, Double.NaN));
    }

    /** Advances the clock and fires each timer that expires on the way. */
    void advance(long micros) {
        long until = now + micros;
        for (long[] due = nextTimer(until); due != null; due = nextTimer(until)) {
            timers.remove(due);
            now = Math.max(now, due[0]);
            router.timerFired(now, due[1]);
        }
        now = until;
    }

    private long[] nextTimer(long until) {
        return timers.stream()
                .filter(timer -> timer[0] <= until)
                .min((a, b) -> Long.compare(a[0], b[0]))
                .orElse(null);
    }

    /** Returns how often the router rejected or failed the query. */
    long finalAnswerCount(long query) {
        return rejectedQueries.stream().filter(id -> id == query).count()
                + failedQueries.stream().filter(id -> id == query).count();
    }

    @Override
    public void startAttempt(long query, long engine, long timeoutAt) {
        int number = (int) attempts.stream().filter(attempt -> attempt.query == query).count();
        attempts.add(new Attempt(now, query, engine, number));
    }

    @Override
    public void cancelAttempt(long query, int attempt) {
        cancelledAttempts.add(new Attempt(now, query, 0, attempt));
    }

    @Override
    public void reject(long query, long retryAfterUs) {
        rejectedQueries.add(query);
    }

    @Override
    public void fail(long query) {
        failedQueries.add(query);
    }

    @Override
    public void assignResources(long query, double memoryMb, int priority) {
        assignedResources.add(new double[] {query, memoryMb, priority});
    }

    @Override
    public void scheduleTimer(long delayUs, long token) {
        timers.add(new long[] {now + delayUs, token});
    }

    @Override
    public void probeLoad(long engine) {
        probedEngines.add(engine);
    }

    @Override
    public void watchEndpoints() {
        watchRequests++;
    }

    @Override
    public void log(String text) {
        logLines.add(text);
    }
}
