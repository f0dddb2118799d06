// SPDX-License-Identifier: Apache-2.0
package calicostream.deployments;

import calicostream.routing.AttemptOutcome;
import calicostream.routing.AttemptResult;
import calicostream.routing.EndpointUpdate;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import calicostream.routing.LoadReport;
import calicostream.routing.LoadReporting;
import calicostream.routing.ProgressKind;
import calicostream.routing.QueryProgress;
import calicostream.routing.QueryRouter;
import calicostream.routing.RouterActions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One life of a front end: its policy, what it has out, and the ways to engines; a {@link
 * RuleChecker} hears all of it.
 */
final class FrontEndRun implements RouterActions {
    private static final long DIAL =
            250_000; // us until a connection that does not come up is given up
    private static final long PROBE_WAIT = 250_000;
    private static final long NEAR = 200;
    private static final long CALL = 5_000; // us for a call to the list's source
    private static final double CALL_FAILS = 0.1;

    private static final class Open {
        final GeneratedRequest ask;
        final long id;
        boolean open = true;
        double memoryMb;
        int priority = 1;
        int attempts;
        Attempt out;

        Open(GeneratedRequest ask, long id) {
            this.ask = ask;
            this.id = id;
        }
    }

    private static final class Attempt {
        final Open of;
        final int number;
        final SimulatedMachine to;
        final long sentAt;
        SimulatedMachine.Run run;

        Attempt(Open of, int number, SimulatedMachine to, long sentAt) {
            this.of = of;
            this.number = number;
            this.to = to;
            this.sentAt = sentAt;
        }
    }

    final int index;
    final int zone;
    final RuleChecker checker;
    private final DeploymentRun play;
    private final GeneratedDeployment draw;
    private final QueryRouter router;
    private final Map<Long, Open> queries = new HashMap<>();
    private final Set<Long> linked = new HashSet<>();
    private final List<EngineEndpoint> missed = new ArrayList<>();
    final Map<Long, EngineEndpoint> view;
    boolean alive = true;
    private boolean subscribed;
    private long askedAt;
    int probes, refused, failed, further, overProbed;

    /** {@code view}: the list as the front end last had it. */
    FrontEndRun(
            DeploymentRun play,
            int index,
            Map<Long, EngineEndpoint> view,
            DeploymentRun.Maker maker) {
        this.play = play;
        this.index = index;
        this.view = view;
        draw = play.draw;
        zone = index % draw.size().zones();
        subscribed = !draw.telling().onRequest();
        askedAt = play.time.now();
        checker = new RuleChecker(draw, play.breaks, index);
        router = maker.router(SettingsWriter.settings(draw, index, zone), this);
        router.start(now());
        told(EndpointUpdate.CACHED, List.copyOf(view.values()));
    }

    private long now() {
        return play.time.now();
    }

    private void later(long us, Runnable work) {
        play.time.after(
                us,
                () -> {
                    if (alive) {
                        work.run();
                    }
                });
    }

    // ---- The list
    // -----------------------------------------------------------------------------------------
    /** A change has reached this front end, or would have. */
    void change(EngineEndpoint entry) {
        if (subscribed) {
            view.put(entry.id(), entry);
            told(EndpointUpdate.INCREMENTAL, List.of(entry));
        } else {
            missed.add(entry);
        }
    }

    private void told(EndpointUpdate kind, List<EngineEndpoint> list) {
        checker.roster(now(), kind, list);
        router.endpointsChanged(now(), kind, list);
    }

    @Override
    public void watchEndpoints() {
        askedAt = now();
        later(
                CALL,
                () -> {
                    if (play.random.nextDouble() < CALL_FAILS) {
                        told(EndpointUpdate.FAILED, List.of());
                        return;
                    }
                    subscribed = true;
                    missed.forEach(e -> view.put(e.id(), e));
                    missed.clear();
                    told(
                            EndpointUpdate.COMPLETE,
                            view.values().stream()
                                    .filter(e -> e.lifecycle() != EngineLifecycle.REMOVED)
                                    .toList());
                });
    }

    /** The subscription breaks off. */
    void unsubscribe() {
        if (draw.telling().onRequest() && subscribed) {
            subscribed = false;
            askedAt = now();
            told(EndpointUpdate.FAILED, List.of());
        }
    }

    void checkAsking() {
        if (alive && !subscribed && now() - askedAt > DeploymentRun.ASK_WITHIN) {
            checker.unasked(now(), askedAt);
            askedAt = now();
        }
    }

    /** No answer is owed and no attempt is out. */
    boolean isSettled() {
        return queries.values().stream().allMatch(o -> !o.open && o.out == null);
    }

    // ---- Queries
    // ------------------------------------------------------------------------------------------
    void query(GeneratedRequest ask, long id) {
        Open o = new Open(ask, id);
        queries.put(id, o);
        checker.query(now(), id, ask.lane, ask.key, ask.deadline);
        later(
                ask.deadline - now(),
                () -> {
                    if (o.out != null) {
                        end(o.out, AttemptOutcome.TIMEOUT, 0);
                    }
                });
        later(
                ask.deadline - now() + draw.figures().graceUs(),
                () -> {
                    checker.overdue(now(), id);
                    if (o.open) {
                        leave(o);
                    }
                });
        router.queryAccepted(now(), ask.query(id, now(), draw.allowed().clientRetries()));
    }

    /** The client leaves early. */
    void leave(long id) {
        Open o = queries.get(id);
        if (o != null && o.open) {
            leave(o);
        }
    }

    private void leave(Open o) {
        o.open = false;
        checker.abandoned(o.id);
        router.queryAbandoned(now(), o.id);
    }

    @Override
    public void startAttempt(long id, long engine, long timeoutAt) {
        checker.send(now(), id, engine);
        Open o = queries.get(id);
        SimulatedMachine m = play.machines.get(engine);
        if (o == null || m == null) {
            return;
        }
        Attempt a = new Attempt(o, o.attempts++, m, now());
        further += a.number > 0 ? 1 : 0;
        if (!o.open || o.out != null || o.attempts > draw.allowed().maxAttempts()) {
            o.attempts--;
            later(1, () -> report(a, AttemptOutcome.NOT_STARTED, null));
            return;
        }
        o.out = a;
        if (timeoutAt > 0 && timeoutAt < o.ask.deadline) {
            later(timeoutAt - now(), () -> end(a, AttemptOutcome.TIMEOUT, 0));
        }
        boolean isNew = linked.add(engine);
        if (play.cutOff(zone, m.zone)) {
            if (isNew) {
                linked.remove(engine);
                later(DIAL, () -> end(a, AttemptOutcome.CONNECT_FAILED, 0));
            }
            return; // On an open connection it is lost without a word.
        }
        play.time.after(way(m) * (isNew ? 3 : 1), () -> arrive(a));
    }

    private long way(SimulatedMachine m) {
        return m.zone == zone ? NEAR : play.farUs;
    }

    private void arrive(Attempt a) {
        SimulatedMachine m = a.to;
        if (!alive) {
            return;
        }
        if (m.state == EngineLifecycle.REMOVED) {
            linked.remove(m.id);
            end(a, AttemptOutcome.CONNECT_FAILED, way(m));
            return;
        }
        if (m.warmth() < 1) {
            double work = draw.lanes().get(a.of.ask.lane).workUs();
            if (play.colds
                    .get(m.id)
                    .add(now(), m, work, checker.knows(m.id, m.bornUs), play.breaks)) {
                play.fall(m);
                end(a, AttemptOutcome.RESET, way(m));
                return;
            }
        }
        if (m.state == EngineLifecycle.DRAINING || m.hangs) {
            if (!m.hangs) {
                end(a, AttemptOutcome.OVERLOADED, way(m));
            }
            return;
        }
        GeneratedRequest ask = a.of.ask;
        double most = draw.allowed().mostGrant() * draw.kinds().get(m.kind).memoryMb();
        boolean granted = draw.allowed().grants() && a.of.memoryMb > 0;
        GeneratedDeployment.Lane lane = draw.lanes().get(ask.lane);
        a.run =
                new SimulatedMachine.Run(
                        ask,
                        lane,
                        Math.min(most, granted ? a.of.memoryMb : ask.guessedMb(lane.memoryMb())),
                        a.of.priority,
                        ask.deadline,
                        outcome -> ran(a, outcome));
        if (a.of.out != a) {
            return; // Called off before it came.
        }
        if (!m.take(a.run)) {
            end(a, AttemptOutcome.OVERLOADED, way(m));
        } else if (draw.telling().noteUs() > 0) {
            later(draw.telling().noteUs(), () -> note(a));
        }
    }

    private void ran(Attempt a, AttemptOutcome outcome) {
        boolean errs =
                outcome == AttemptOutcome.OK && play.random.nextDouble() < draw.machines().errors();
        if (outcome == AttemptOutcome.RESET) {
            linked.remove(a.to.id);
        }
        if (outcome == AttemptOutcome.RESET || !a.to.hangs && !play.cutOff(zone, a.to.zone)) {
            end(a, errs ? AttemptOutcome.ERROR : outcome, way(a.to));
        }
    }

    private void note(Attempt a) {
        if (a.of.out != a) {
            return;
        }
        SimulatedMachine.Run run = a.run;
        if (!a.to.hangs && !play.cutOff(zone, a.to.zone)) {
            ProgressKind what =
                    run.waitsForMemory()
                            ? ProgressKind.WAITING_FOR_MEMORY
                            : run.waitsForLoad()
                                    ? ProgressKind.WAITING_FOR_LOAD
                                    : ProgressKind.FRACTION_DONE;
            double amount =
                    what == ProgressKind.FRACTION_DONE
                            ? run.share() * (0.9 + 0.2 * play.random.nextDouble())
                            : 0;
            router.progress(now(), new QueryProgress(a.of.id, a.number, what, amount));
            if (run.missingMb() > 0 && a.of.out == a) {
                router.progress(
                        now(),
                        new QueryProgress(
                                a.of.id, a.number, ProgressKind.SPILLING, run.missingMb()));
            }
        }
        later(draw.telling().noteUs(), () -> note(a));
    }

    private void end(Attempt a, AttemptOutcome outcome, long after) {
        LoadReport told =
                outcome == AttemptOutcome.OK && draw.telling().how() == LoadReporting.WITH_ANSWERS
                        ? a.to.report()
                        : null;
        later(
                after,
                () -> {
                    if (a.of.out == a) {
                        report(a, outcome, told);
                    }
                });
    }

    private void report(Attempt a, AttemptOutcome outcome, LoadReport told) {
        Open o = a.of;
        o.out = o.out == a ? null : o.out;
        boolean stops = outcome == AttemptOutcome.TIMEOUT || outcome == AttemptOutcome.CANCELLED;
        if (stops && draw.allowed().stops() && a.run != null) {
            a.to.stop(a.run);
        }
        if (outcome == AttemptOutcome.OK && o.open) {
            o.open = false;
            play.served(o.ask);
        }
        boolean tells = outcome == AttemptOutcome.OK && draw.telling().tellsCost();
        checker.ended(now(), o.id, a.number, outcome, !o.open);
        router.attemptEnded(
                now(),
                new AttemptResult(
                        o.id,
                        a.number,
                        a.to.id,
                        outcome,
                        !o.open,
                        now() - a.sentAt,
                        tells ? o.ask.workUs / 1000 : 0,
                        tells ? o.ask.memoryMb : 0,
                        told));
    }

    /** Killed: its connections end, and what they carried is given up. */
    void kill() {
        alive = false;
        for (Open o : queries.values()) {
            if (o.out != null && o.out.run != null && draw.allowed().stops()) {
                o.out.to.stop(o.out.run);
            }
            if (o.open) {
                play.unserved(o.ask, 0, true);
            }
        }
    }

    // ---- What the policy asks
    // ----------------------------------------------------------------------------
    @Override
    public void cancelAttempt(long id, int attempt) {
        checker.cancel(now(), id, attempt);
        Open o = queries.get(id);
        if (o != null && o.out != null && o.out.number == attempt) {
            Attempt a = o.out;
            end(a, AttemptOutcome.CANCELLED, 1);
        }
    }

    @Override
    public void reject(long id, long retryAfterUs) {
        refused++;
        checker.refuse(now(), id);
        close(id, retryAfterUs, true);
    }

    @Override
    public void fail(long id) {
        failed++;
        checker.answer(now(), id);
        close(id, 0, false);
    }

    private void close(long id, long away, boolean refused) {
        Open o = queries.get(id);
        if (o != null && o.open) {
            o.open = false;
            play.unserved(o.ask, away, refused);
        }
    }

    @Override
    public void assignResources(long id, double memoryMb, int priority) {
        checker.terms(now(), id, memoryMb, priority);
        Open o = queries.get(id);
        o.memoryMb = memoryMb;
        o.priority = priority;
        if (o.out != null && o.out.run != null) {
            o.out.run.priority = priority;
        }
    }

    @Override
    public void scheduleTimer(long delayUs, long token) {
        later(Math.max(1, delayUs), () -> router.timerFired(now(), token));
    }

    @Override
    public void probeLoad(long engine) {
        probes++;
        checker.probe(now(), engine);
        SimulatedMachine m = play.machines.get(engine);
        if (m.state == EngineLifecycle.REMOVED) {
            later(
                    way(m),
                    () ->
                            router.probeCompleted(
                                    now(), engine, AttemptOutcome.CONNECT_FAILED, null));
        } else if (m.hangs || play.cutOff(zone, m.zone)) {
            later(
                    PROBE_WAIT,
                    () -> router.probeCompleted(now(), engine, AttemptOutcome.TIMEOUT, null));
        } else if (!m.answersProbe()) {
            overProbed++;
            later(
                    2 * way(m),
                    () -> router.probeCompleted(now(), engine, AttemptOutcome.OVERLOADED, null));
        } else {
            boolean tells = draw.telling().how() != LoadReporting.NONE;
            later(
                    2 * way(m),
                    () ->
                            router.probeCompleted(
                                    now(), engine, AttemptOutcome.OK, tells ? m.report() : null));
        }
    }

    @Override
    public void log(String text) {}
}
