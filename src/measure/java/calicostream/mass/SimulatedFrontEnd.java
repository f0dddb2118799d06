// SPDX-License-Identifier: Apache-2.0
package calicostream.mass;

import calicostream.routing.AttemptOutcome;
import calicostream.routing.AttemptResult;
import calicostream.routing.EndpointUpdate;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import calicostream.routing.Query;
import calicostream.routing.QueryRouter;
import calicostream.routing.RouterActions;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;

/**
 * One front end: a module, what it has out, its connections, and a check of each thing that it
 * does.
 */
final class SimulatedFrontEnd implements RouterActions {
    private static final class Open {
        final Query query;
        final long deadline;
        int attempts;
        boolean answered, mayHaveRun;
        FleetEngineModel.Run run;
        FleetEngineModel at;
        long sentAt;
        boolean counted;

        Open(Query query, long deadline) {
            this.query = query;
            this.deadline = deadline;
        }
    }

    private final SimulatedFleet fleet;
    private final int index;
    final int zone;
    private final Map<Long, Open> open = new HashMap<>();
    private final Map<Long, Long> linkUsed = new HashMap<>();
    private final Map<Long, Integer> linkOut = new HashMap<>();
    private final Set<Long> told = new HashSet<>(); // engines known to be ready
    private final Map<Long, Long> withdrawnAt = new HashMap<>(); // when this front end was told
    private final QueryRouter router;
    long handshakes, crossed, served, failed, refused, asked;
    boolean alive = true;
    SimulatedDiscovery.Reader reader;

    SimulatedFrontEnd(
            SimulatedFleet fleet,
            int index,
            int zone,
            BiFunction<Integer, RouterActions, QueryRouter> maker) {
        this.fleet = fleet;
        this.index = index;
        this.zone = zone;
        router = maker.apply(index, this);
        router.start(fleet.time.now());
    }

    void roster(EndpointUpdate kind, List<EngineEndpoint> list) {
        for (EngineEndpoint e : list) {
            if (e.lifecycle() == EngineLifecycle.READY) {
                told.add(e.id());
                withdrawnAt.remove(e.id());
            } else if (told.remove(e.id())) {
                withdrawnAt.put(e.id(), fleet.time.now());
            }
        }
        router.endpointsChanged(fleet.time.now(), kind, list);
    }

    void ask(int queryClass, int tableGroup) {
        asked++;
        Query query =
                new Query(
                        fleet.nextQuery(),
                        queryClass,
                        0,
                        0,
                        fleet.shape.deadlineUs(),
                        0,
                        0,
                        tableGroup,
                        false,
                        0);
        Open o = new Open(query, fleet.time.now() + fleet.shape.deadlineUs());
        open.put(query.id(), o);
        fleet.time.after(
                fleet.shape.deadlineUs() + SimulatedFleet.LATE,
                () -> {
                    if (alive && !o.answered) {
                        fleet.violation("no answer in time");
                    }
                });
        router.queryAccepted(fleet.time.now(), query);
    }

    @Override
    public void startAttempt(long id, long engine, long timeoutAt) {
        Open o = open.get(id);
        FleetEngineModel e = fleet.engine(engine);
        int attempt = o.attempts++;
        if (o.at != null || o.answered) {
            fleet.violation("two attempts at once");
        }
        if (o.mayHaveRun && fleet.isOnce(o.query.queryClass())) {
            fleet.violation("a second run of a load");
        }
        if (!told.contains(engine)) {
            fleet.violation("sent to an engine that is not listed as ready");
        }
        if (attempt >= SimulatedFleet.ATTEMPTS) {
            fleet.violation("too many attempts");
        }
        o.at = e;
        o.sentAt = fleet.time.now();
        boolean isNew = !linkUsed.containsKey(engine);
        if (isNew) {
            handshakes++;
            e.connect(index, 1);
        }
        linkUsed.put(engine, fleet.time.now());
        linkOut.merge(engine, 1, Integer::sum);
        crossed += e.zone == zone ? 0 : 1;
        long way = (e.zone == zone ? SimulatedFleet.NEAR : SimulatedFleet.FAR) * (isNew ? 3 : 1);
        fleet.time.after(way, () -> arrive(o, attempt, e));
    }

    private void arrive(Open o, int attempt, FleetEngineModel e) {
        if (!alive || o.at != e || o.attempts != attempt + 1) {
            return;
        }
        if (e.state == EngineLifecycle.REMOVED) {
            end(o, attempt, AttemptOutcome.CONNECT_FAILED);
            return;
        }
        if (fleet.time.now() - withdrawnAt.getOrDefault(e.id, fleet.time.now())
                > SimulatedFleet.LONGEST_WAY) {
            fleet.violation("sent after word that the engine drains");
        }
        o.counted = true;
        o.run =
                new FleetEngineModel.Run(
                        fleet.work(o.query.queryClass()),
                        fleet.threads(o.query.queryClass()),
                        ok -> end(o, attempt, ok ? AttemptOutcome.OK : AttemptOutcome.RESET));
        e.start(o.run, fleet.usualWork(o.query.queryClass()));
    }

    private void end(Open o, int attempt, AttemptOutcome outcome) {
        if (!alive || o.at == null || o.attempts != attempt + 1) {
            return;
        }
        FleetEngineModel e = o.at;
        o.at = null;
        o.run = null;
        o.mayHaveRun |= outcome.mayHaveRun;
        linkOut.merge(e.id, -1, Integer::sum);
        linkUsed.put(e.id, fleet.time.now());
        if (outcome == AttemptOutcome.OK && !o.answered) {
            o.answered = true;
            served++;
        }
        boolean over = o.answered;
        if (over) {
            open.remove(o.query.id());
        }
        router.attemptEnded(
                fleet.time.now(),
                new AttemptResult(
                        o.query.id(),
                        attempt,
                        e.id,
                        outcome,
                        over,
                        fleet.time.now() - o.sentAt,
                        0,
                        0,
                        outcome == AttemptOutcome.OK ? e.report() : null));
    }

    /** Connections that rest for long are closed, as the daemon does. */
    void closeIdle() {
        linkUsed.entrySet()
                .removeIf(
                        link -> {
                            boolean idle =
                                    linkOut.getOrDefault(link.getKey(), 0) == 0
                                            && fleet.time.now() - link.getValue()
                                                    > SimulatedFleet.IDLE;
                            if (idle) {
                                fleet.engine(link.getKey()).connect(index, -1);
                            }
                            return idle;
                        });
    }

    /** Killed: its connections end, and what they carried is given up. */
    void kill() {
        alive = false;
        reader.close();
        open.values().stream().filter(o -> o.run != null).forEach(o -> o.at.stop(o.run));
        linkUsed.keySet().forEach(engine -> fleet.engine(engine).connect(index, -1));
    }

    @Override
    public void cancelAttempt(long id, int attempt) {
        Open o = open.get(id);
        if (o != null && o.at != null && o.attempts == attempt + 1) {
            fleet.time.after(
                    1,
                    () -> {
                        if (alive && o.at != null && o.attempts == attempt + 1) {
                            if (o.run != null) {
                                o.at.stop(o.run);
                            }
                            end(o, attempt, AttemptOutcome.CANCELLED);
                        }
                    });
        }
    }

    @Override
    public void reject(long id, long retryAfterUs) {
        refused++;
        answer(id);
    }

    @Override
    public void fail(long id) {
        failed++;
        answer(id);
    }

    private void answer(long id) {
        Open o = open.remove(id);
        if (o == null || o.answered) {
            fleet.violation("a second final answer");
            return;
        }
        o.answered = true;
        if (o.at != null) {
            open.put(id, o); // Until its attempt has been given up.
            cancelAttempt(id, o.attempts - 1);
        }
    }

    @Override
    public void scheduleTimer(long delayUs, long token) {
        fleet.time.after(
                delayUs,
                () -> {
                    if (alive) {
                        router.timerFired(fleet.time.now(), token);
                    }
                });
    }

    @Override
    public void assignResources(long query, double memoryMb, int priority) {}

    @Override
    public void probeLoad(long engine) {
        fleet.violation("a probe, which is not allowed");
    }

    @Override
    public void watchEndpoints() {}

    @Override
    public void log(String text) {}
}
