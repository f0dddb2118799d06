// SPDX-License-Identifier: Apache-2.0
package calicostream.deployments;

import calicostream.mass.PlainRouter;
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
final class LeastLoaded extends PlainRouter {
    private static final long ASKS = 500_000; // us between reports of an engine that are asked for
    private static final long ASK_TOKEN = 0;
    private final Settings settings;
    private final Map<Long, Integer> own = new HashMap<>();
    private final Map<Long, Double> told = new HashMap<>();
    private final Map<Long, Query> out = new HashMap<>();
    private final Map<Long, ArrayDeque<Query>> lines = new HashMap<>();

    LeastLoaded(Settings settings, Actions actions) {
        super(actions);
        this.settings = settings;
    }

    @Override
    public void start(long now) {
        if (settings.rosterOnRequest()) {
            actions.subscribeRoster();
        }
        actions.timer(ASKS, ASK_TOKEN);
    }

    @Override
    public void roster(long now, RosterKind kind, java.util.List<Engine> engines) {
        super.roster(now, kind, engines);
        if (kind == RosterKind.FAILED) {
            actions.subscribeRoster();
        }
    }

    @Override
    public void timer(long now, long token) {
        if (token != ASK_TOKEN) {
            next(token - 1);
            return;
        }
        actions.timer(ASKS, ASK_TOKEN);
        if (settings.limits().probes() && settings.reporting() == Reporting.ON_PROBE) {
            ready.keySet().forEach(actions::probe);
        }
    }

    @Override
    public void query(long now, Query query) {
        if (settings.classes().get(query.queryClass()).inOrder() && query.key() != 0) {
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
        Engine to =
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
        actions.send(query.id(), to.id(), 0);
    }

    private double load(Engine e) {
        return own.getOrDefault(e.id(), 0) / settings.kinds().get(e.kind()).cores()
                + told.getOrDefault(e.id(), 0.0);
    }

    private long byChance(Engine e, Query query) {
        return new SplittableRandom(e.id() * 1_000_003 + query.id() + settings.index()).nextLong();
    }

    @Override
    public void ended(long now, AttemptEnd end) {
        Query query = out.remove(end.query());
        own.merge(end.engine(), -1, Integer::sum);
        heed(end.engine(), end.report());
        super.ended(now, end);
        boolean settled =
                end.outcome() == Outcome.OK
                        || end.outcome() == Outcome.ERROR
                        || !end.outcome().mayHaveRun;
        over(query, settled ? 0 : settings.rules().keyRestUs());
    }

    @Override
    public void abandoned(long now, long query) {
        for (ArrayDeque<Query> line : lines.values()) {
            Query first = line.peek();
            line.removeIf(each -> each.id() == query && each != first);
        }
    }

    /** What comes next of the same key may start after this rest. */
    private void over(Query query, long rest) {
        if (lines.containsKey(query.key()) && lines.get(query.key()).peek() == query) {
            actions.timer(rest + 1, query.key() + 1);
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

    private void heed(long engine, Report report) {
        if (report != null && ready.containsKey(engine)) {
            double cores = settings.kinds().get(ready.get(engine).kind()).cores();
            double full =
                    Double.isNaN(report.utilization()) ? report.saturation() : report.utilization();
            told.put(engine, Double.isNaN(report.running()) ? full : report.running() / cores);
        }
    }

    @Override
    public void probed(long now, long engine, Outcome outcome, Report report) {
        heed(engine, report);
    }
}
