// SPDX-License-Identifier: Apache-2.0
package calicostream.deployments;

import calicostream.mass.LeastLoadedRouter;
import calicostream.routing.AttemptOutcome;
import calicostream.routing.AttemptResult;
import calicostream.routing.EndpointUpdate;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.LoadReport;
import calicostream.routing.LoadReporting;
import calicostream.routing.Query;
import calicostream.routing.QueryClass;
import calicostream.routing.RouterActions;
import calicostream.routing.RouterSettings;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The plainest policy of least load: each query goes once, at once, to the engine with the least
 * own queries a core plus what its last report told. It keeps to placement and to order by key, and
 * asks for reports where they only come so.
 */
final class LeastLoaded extends LeastLoadedRouter {
    private static final long ASKS = 500_000; // us between reports of an engine that are asked for
    private static final long ASK_TOKEN = 0;
    private final RouterSettings settings;
    private final Map<Long, Integer> own = new HashMap<>();
    private final Map<Long, Double> told = new HashMap<>();
    private final Map<Long, Query> out = new HashMap<>();
    private final Map<Long, ArrayDeque<Query>> lines = new HashMap<>();

    LeastLoaded(RouterSettings settings, RouterActions actions) {
        super(actions);
        this.settings = settings;
    }

    @Override
    public void start(long now) {
        if (settings.watchEndpointsOnRequest()) {
            actions.watchEndpoints();
        }
        actions.scheduleTimer(ASKS, ASK_TOKEN);
    }

    @Override
    public void endpointsChanged(
            long now, EndpointUpdate kind, java.util.List<EngineEndpoint> engines) {
        super.endpointsChanged(now, kind, engines);
        if (kind == EndpointUpdate.FAILED) {
            actions.watchEndpoints();
        }
    }

    @Override
    public void timerFired(long now, long token) {
        if (token != ASK_TOKEN) {
            next(token - 1);
            return;
        }
        actions.scheduleTimer(ASKS, ASK_TOKEN);
        if (settings.attemptLimits().probes()
                && settings.loadReporting() == LoadReporting.ON_PROBE) {
            ready.keySet().forEach(actions::probeLoad);
        }
    }

    @Override
    public void queryAccepted(long now, Query query) {
        if (settings.classes().get(query.queryClass()).orderedByKey() && query.key() != 0) {
            ArrayDeque<Query> line = lines.computeIfAbsent(query.key(), k -> new ArrayDeque<>());
            line.add(query);
            if (line.size() > 1) {
                return;
            }
        }
        send(query);
    }

    private void send(Query query) {
        QueryClass spec = settings.classes().get(query.queryClass());
        EngineEndpoint to =
                ready.values().stream()
                        .filter(e -> spec.zones().isEmpty() || spec.zones().contains(e.zone()))
                        .filter(e -> spec.kinds().isEmpty() || spec.kinds().contains(e.kind()))
                        .min(
                                Comparator.comparingDouble(this::load)
                                        .thenComparingLong(e -> byChance(e, query)))
                        .orElse(null);
        if (to == null) {
            actions.fail(query.id());
            over(query, 0);
            return;
        }
        own.merge(to.id(), 1, Integer::sum);
        out.put(query.id(), query);
        actions.startAttempt(query.id(), to.id(), 0);
    }

    private double load(EngineEndpoint e) {
        return own.getOrDefault(e.id(), 0) / settings.engineKinds().get(e.kind()).cores()
                + told.getOrDefault(e.id(), 0.0);
    }

    private long byChance(EngineEndpoint e, Query query) {
        return new SplittableRandom(e.id() * 1_000_003 + query.id() + settings.index()).nextLong();
    }

    @Override
    public void attemptEnded(long now, AttemptResult end) {
        Query query = out.remove(end.query());
        own.merge(end.engine(), -1, Integer::sum);
        heed(end.engine(), end.loadReport());
        super.attemptEnded(now, end);
        boolean settled =
                end.outcome() == AttemptOutcome.OK
                        || end.outcome() == AttemptOutcome.ERROR
                        || !end.outcome().mayHaveRun;
        over(query, settled ? 0 : settings.protectionRules().keyQuietPeriodUs());
    }

    @Override
    public void queryAbandoned(long now, long query) {
        for (ArrayDeque<Query> line : lines.values()) {
            Query first = line.peek();
            line.removeIf(each -> each.id() == query && each != first);
        }
    }

    /** What comes next of the same key may start after this rest. */
    private void over(Query query, long rest) {
        if (lines.containsKey(query.key()) && lines.get(query.key()).peek() == query) {
            actions.scheduleTimer(rest + 1, query.key() + 1);
        }
    }

    private void next(long key) {
        ArrayDeque<Query> line = lines.get(key);
        line.poll();
        if (line.isEmpty()) {
            lines.remove(key);
        } else {
            send(line.peek());
        }
    }

    private void heed(long engine, LoadReport report) {
        if (report != null && ready.containsKey(engine)) {
            double cores = settings.engineKinds().get(ready.get(engine).kind()).cores();
            double full =
                    Double.isNaN(report.utilization()) ? report.saturation() : report.utilization();
            told.put(engine, Double.isNaN(report.running()) ? full : report.running() / cores);
        }
    }

    @Override
    public void probeCompleted(long now, long engine, AttemptOutcome outcome, LoadReport report) {
        heed(engine, report);
    }
}
