// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.ArrayList;
import java.util.List;

/** Drives a router by hand and records the actions it takes. */
final class RecordingActions implements RouterActions {
    static final long MILLIS = 1000;
    static final long SECONDS = 1_000_000;
    static final long START = 100 * SECONDS;

    record Attempt(long at, long query, long engine, int attempt) {}

    final List<Attempt> attempts = new ArrayList<>();
    final List<Long> rejected = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<Attempt> cancelled = new ArrayList<>();
    final List<Long> probed = new ArrayList<>();
    final List<double[]> resources = new ArrayList<>();
    final List<String> logged = new ArrayList<>();
    final List<long[]> timers = new ArrayList<>();
    int watchRequests;
    long now = START;
    final AffinityRouter router;

    RecordingActions(RouterSettings settings) {
        router = new AffinityRouter(settings, this);
        router.start(now);
    }

    static RecordingActions with(int engines, QueryClass... classes) {
        return with(settings(1, classes), engines);
    }

    static RecordingActions with(RouterSettings settings, int engines) {
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
            int attempts,
            double ration,
            boolean probes,
            List<TenantLimit> tenants,
            QueryClass... classes) {
        return settings(gateways, attempts, ration, probes, tenants, false, classes);
    }

    static RouterSettings settings(
            int gateways,
            int attempts,
            double ration,
            boolean probes,
            List<TenantLimit> tenants,
            boolean onRequest,
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
                new AttemptLimits(probes, true, attempts),
                new ProtectionRules(
                        0.3,
                        2.5,
                        2 * SECONDS,
                        10 * SECONDS,
                        300 * MILLIS,
                        3,
                        ration,
                        ration > 0 ? 5 * SECONDS : 0),
                new EngineCapabilities(true, true, 0.4, 500 * MILLIS),
                probes ? LoadReporting.ON_PROBE : LoadReporting.WITH_ANSWERS,
                onRequest,
                5 * MILLIS);
    }

    static QueryClass lookupClass(Idempotency effect) {
        return queryClass(effect, IdempotencyScope.ALL, false, 1, false);
    }

    static QueryClass queryClass(
            Idempotency effect,
            IdempotencyScope scope,
            boolean inOrder,
            int threads,
            boolean load) {
        return new QueryClass(
                2 * SECONDS,
                2,
                10 * SECONDS,
                1,
                0.3,
                effect,
                scope,
                3 * SECONDS,
                inOrder,
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
    static EngineEndpoint engine(long id, long born, EngineLifecycle state) {
        return new EngineEndpoint(id, 0, (int) (id % 2), (int) (id % 2), born, state);
    }

    void endpoints(EndpointUpdate kind, EngineEndpoint... engines) {
        router.endpointsChanged(now, kind, List.of(engines));
    }

    void accept(long id, int queryClass) {
        accept(id, queryClass, 0, 0, 0, 100 * MILLIS);
    }

    void accept(long id, int queryClass, int tenant, long key, int group, double cost) {
        router.queryAccepted(
                now,
                new Query(id, queryClass, tenant, key, 10 * SECONDS, cost, 100, group, false, 0));
    }

    /** A query that only this engine may run. */
    void acceptSticky(long id, int queryClass, long engine) {
        router.queryAccepted(
                now,
                new Query(id, queryClass, 0, 0, 10 * SECONDS, 100 * MILLIS, 100, 0, false, engine));
    }

    Attempt last() {
        return attempts.get(attempts.size() - 1);
    }

    boolean last(long query) {
        return !attempts.isEmpty() && last().query == query;
    }

    Attempt lastOf(long query) {
        return attempts.stream().filter(s -> s.query == query).reduce((a, b) -> b).orElse(null);
    }

    void end(Attempt s, AttemptOutcome outcome) {
        end(s, outcome, 0, 0);
    }

    void end(Attempt s, AttemptOutcome outcome, double workMs, double memoryMb) {
        router.attemptEnded(
                now,
                new AttemptResult(
                        s.query,
                        s.attempt,
                        s.engine,
                        outcome,
                        outcome == AttemptOutcome.OK,
                        now - s.at,
                        workMs,
                        memoryMb,
                        null));
    }

    void report(long engine, double running) {
        router.probeCompleted(now, engine, AttemptOutcome.OK, new LoadReport(running, Double.NaN));
    }

    /** Lets time pass, with every timer that falls due on the way. */
    void advance(long us) {
        long until = now + us;
        for (long[] due = next(until); due != null; due = next(until)) {
            timers.remove(due);
            now = Math.max(now, due[0]);
            router.timerFired(now, due[1]);
        }
        now = until;
    }

    private long[] next(long until) {
        return timers.stream()
                .filter(t -> t[0] <= until)
                .min((a, b) -> Long.compare(a[0], b[0]))
                .orElse(null);
    }

    long answers(long query) {
        return rejected.stream().filter(q -> q == query).count()
                + failed.stream().filter(q -> q == query).count();
    }

    @Override
    public void startAttempt(long query, long engine, long giveUpAt) {
        int attempt = (int) attempts.stream().filter(s -> s.query == query).count();
        attempts.add(new Attempt(now, query, engine, attempt));
    }

    @Override
    public void cancelAttempt(long query, int attempt) {
        cancelled.add(new Attempt(now, query, 0, attempt));
    }

    @Override
    public void reject(long query, long retryAfterUs) {
        rejected.add(query);
    }

    @Override
    public void fail(long query) {
        failed.add(query);
    }

    @Override
    public void assignResources(long query, double memoryMb, int priority) {
        resources.add(new double[] {query, memoryMb, priority});
    }

    @Override
    public void scheduleTimer(long delayUs, long token) {
        timers.add(new long[] {now + delayUs, token});
    }

    @Override
    public void probeLoad(long engine) {
        probed.add(engine);
    }

    @Override
    public void watchEndpoints() {
        watchRequests++;
    }

    @Override
    public void log(String text) {
        logged.add(text);
    }
}
