// SPDX-License-Identifier: Apache-2.0
package calicostream.deployments;

import calicostream.deployments.GeneratedDeployment.Trouble;
import calicostream.mass.FleetClock;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import calicostream.routing.Idempotency;
import calicostream.routing.QueryRouter;
import calicostream.routing.RouterActions;
import calicostream.routing.RouterSettings;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** A draw played to its end in virtual time with one policy in each front end. */
final class DeploymentRun {
    /** Makes the policy of a front end from what its configuration says. */
    interface Maker {
        QueryRouter router(RouterSettings settings, RouterActions actions);
    }

    /**
     * What came of it; {@code served}: worth served within its time, and less after it, of the
     * worth asked for.
     */
    record Result(
            RuleViolations breaks,
            double served,
            double probesPerQuery,
            double overProbed,
            double refused,
            double failed,
            double coldPeak,
            long queries,
            String byLane) {}

    static final long ASK_WITHIN =
            10_000_000; // us within which a front end without a subscription asks for the list
    private static final long DIED =
            2_000_000; // us until the list's source knows that a process has died
    private static final long STEP = 500_000;
    private static final long LEAVING = 7_000_000; // us from draining to gone
    private static final double IMPATIENT = 0.005; // of clients leave early
    private static final long BACKOFF = 150_000;
    private static final long LONGEST_AWAY = 1_000_000;
    final FleetClock time = new FleetClock();
    final GeneratedDeployment draw;
    final RuleViolations breaks = new RuleViolations();
    final SplittableRandom random;
    final Map<Long, SimulatedMachine> machines = new LinkedHashMap<>();
    final Map<Long, SlowStartAccount> colds = new LinkedHashMap<>();
    final long farUs;
    private final Maker maker;
    private final List<FrontEndRun> fronts = new ArrayList<>();
    private final List<FrontEndRun> lives = new ArrayList<>();
    private final Map<Integer, Long> listAt = new TreeMap<>();
    private final List<GeneratedRequest> asks;
    private long listLateUs, nextQuery, nextEngine = 1;
    private int cutZone = -1, triesToCome;

    private DeploymentRun(GeneratedDeployment draw, Maker maker) {
        this.draw = draw;
        this.maker = maker;
        random = new SplittableRandom(draw.seed() * 13 + draw.number());
        farUs = random.nextLong(1_000, 3_000);
        listLateUs = draw.telling().listLateUs();
        for (int i = 0; i < draw.size().engines(); i++) {
            add(i % draw.size().zones(), draw.kindOf(i), 0);
        }
        for (int i = 0; i < draw.size().frontEnds(); i++) {
            Map<Long, EngineEndpoint> view = new TreeMap<>();
            machines.values().forEach(m -> view.put(m.id, m.entry()));
            FrontEndRun front = new FrontEndRun(this, i, view, maker);
            fronts.add(front);
            lives.add(front);
        }
        asks = Arrivals.of(draw, time.now());
        arrive(0);
        draw.troubles().forEach(trouble -> time.after(trouble.at(), () -> begin(trouble)));
        checkAsking();
    }

    static Result of(GeneratedDeployment draw, Maker maker) {
        DeploymentRun play = new DeploymentRun(draw, maker);
        long start = play.time.now();
        play.time.run(start + draw.size().lengthUs());
        long longest =
                draw.lanes().stream()
                        .mapToLong(GeneratedDeployment.Lane::deadlineUs)
                        .max()
                        .orElse(0);
        while (play.time.now() < start + draw.size().lengthUs() + 2 * longest
                && !play.isSettled()) {
            play.time.run(play.time.now() + STEP);
        }
        return play.result();
    }

    /** No client waits or will try again, and nothing is out. */
    private boolean isSettled() {
        return triesToCome == 0 && fronts.stream().allMatch(f -> f.alive && f.isSettled());
    }

    private Result result() {
        double asked = asks.stream().mapToDouble(a -> a.worth).sum();
        double served = asks.stream().mapToDouble(a -> a.served * a.worth).sum();
        double queries = Math.max(1, lives.stream().mapToLong(f -> f.checker.queries).sum());
        double probes = lives.stream().mapToLong(f -> f.probes).sum();
        double over = lives.stream().mapToLong(f -> f.overProbed).sum() / Math.max(1, probes);
        return new Result(
                breaks,
                served / asked,
                probes / queries,
                over,
                lives.stream().mapToLong(f -> f.refused).sum() / queries,
                lives.stream().mapToLong(f -> f.failed).sum() / queries,
                colds.values().stream().mapToDouble(c -> c.peak).max().orElse(0),
                (long) queries,
                byLane());
    }

    /** Of each class, the part of its worth that was served. */
    private String byLane() {
        return IntStream.range(0, draw.lanes().size())
                .mapToObj(
                        lane -> {
                            double worth =
                                    asks.stream()
                                            .filter(a -> a.lane == lane)
                                            .mapToDouble(a -> a.worth)
                                            .sum();
                            double got =
                                    asks.stream()
                                            .filter(a -> a.lane == lane)
                                            .mapToDouble(a -> a.served * a.worth)
                                            .sum();
                            return String.format(
                                    Locale.ROOT,
                                    "%s %.2f of %.0f",
                                    draw.lanes().get(lane).name(),
                                    got / Math.max(1e-9, worth),
                                    worth);
                        })
                .collect(Collectors.joining(", "));
    }

    // ---- Clients
    // ------------------------------------------------------------------------------------------
    private void arrive(int number) {
        if (number < asks.size()) {
            time.after(
                    asks.get(number).at - time.now(),
                    () -> {
                        ask(asks.get(number));
                        arrive(number + 1);
                    });
        }
    }

    private void ask(GeneratedRequest ask) {
        FrontEndRun front = fronts.get(ask.frontEnd);
        for (int i = 1; !front.alive && i < fronts.size(); i++) {
            front = fronts.get((ask.frontEnd + i) % fronts.size());
        }
        if (front.alive && time.now() < ask.deadline) {
            ask.tries++;
            long id = ++nextQuery;
            FrontEndRun to = front;
            if (new SplittableRandom(ask.at + ask.group).nextDouble() < IMPATIENT) {
                time.after(
                        (ask.deadline - time.now()) / 3,
                        () -> {
                            if (to.alive) {
                                to.leave(id);
                            }
                        });
            }
            to.query(ask, id);
        }
    }

    void served(GeneratedRequest ask) {
        boolean late = time.now() > ask.at + ask.aimUs;
        ask.served =
                time.now() > ask.deadline ? 0 : late ? draw.lanes().get(ask.lane).lateWorth() : 1;
    }

    /**
     * A client tries once more where that is harmless; what a killed front end held it tries, too.
     */
    void unserved(GeneratedRequest ask, long away, boolean refused) {
        boolean harmless = refused || draw.lanes().get(ask.lane).effect() == Idempotency.IDEMPOTENT;
        if (draw.allowed().clientRetries() && ask.tries < 2 && harmless) {
            triesToCome++;
            time.after(
                    Math.max(BACKOFF, Math.min(away, LONGEST_AWAY)),
                    () -> {
                        triesToCome--;
                        ask(ask);
                    });
        }
    }

    // ---- Engines and their list
    // ---------------------------------------------------------------------------
    private SimulatedMachine add(int zone, int kind, long bornUs) {
        SimulatedMachine m = new SimulatedMachine(time, draw, nextEngine++, kind, zone, bornUs);
        machines.put(m.id, m);
        colds.put(m.id, new SlowStartAccount(draw));
        tell(m.entry());
        return m;
    }

    /** Changes reach each front end late and in order. */
    private void tell(EngineEndpoint entry) {
        for (int i = 0; i < fronts.size(); i++) {
            int index = i;
            long at =
                    Math.max(
                            listAt.getOrDefault(i, 0L),
                            time.now() + (long) (listLateUs * (0.3 + 0.7 * random.nextDouble())));
            listAt.put(i, at);
            time.after(
                    at - time.now(),
                    () -> {
                        if (fronts.get(index).alive) {
                            fronts.get(index).change(entry);
                        } else {
                            fronts.get(index).view.put(entry.id(), entry);
                        }
                    });
        }
    }

    private void checkAsking() {
        fronts.forEach(FrontEndRun::checkAsking);
        time.after(1_000_000, this::checkAsking);
    }

    boolean cutOff(int a, int b) {
        return a != b && (a == cutZone || b == cutZone);
    }

    // ---- Troubles
    // -----------------------------------------------------------------------------------------
    private List<SimulatedMachine> some(double part) {
        List<SimulatedMachine> ready =
                new ArrayList<>(
                        machines.values().stream()
                                .filter(m -> m.state == EngineLifecycle.READY)
                                .toList());
        List<SimulatedMachine> out = new ArrayList<>();
        for (int i = (int) Math.max(1, Math.round(part * ready.size()));
                i > 0 && !ready.isEmpty();
                i--) {
            out.add(ready.remove(random.nextInt(ready.size())));
        }
        return out;
    }

    private void begin(Trouble trouble) {
        long us = trouble.lengthUs();
        switch (trouble.what()) {
            case ROLL:
                roll(some(trouble.part()), us);
                break;
            case HANG:
                {
                    List<SimulatedMachine> hung = some(trouble.part());
                    hung.forEach(m -> m.hangs = true);
                    time.after(us, () -> hung.forEach(m -> m.hangs = false));
                    break;
                }
            case CRASH:
                some(trouble.part()).forEach(m -> crash(m, us));
                break;
            case SLOW:
                {
                    List<SimulatedMachine> slow = some(trouble.part());
                    slow.forEach(m -> m.slow(true));
                    time.after(us, () -> slow.forEach(m -> m.slow(false)));
                    break;
                }
            case CUT:
                {
                    cutZone = draw.size().zones() - 1;
                    time.after(us, () -> cutZone = -1);
                    break;
                }
            case REPORTS_LATE:
                {
                    machines.values().forEach(m -> m.reportsLateUs = (long) (trouble.part() * 1e6));
                    time.after(us, () -> machines.values().forEach(m -> m.reportsLateUs = 0));
                    break;
                }
            case LIST_LATE:
                {
                    listLateUs += (long) (trouble.part() * 1e6);
                    fronts.stream().filter(f -> f.alive).forEach(FrontEndRun::unsubscribe);
                    time.after(us, () -> listLateUs = draw.telling().listLateUs());
                    break;
                }
            default:
                restart(us, trouble.part());
        }
    }

    /** Each is replaced by a cold one, which begins a little before it drains. */
    private void roll(List<SimulatedMachine> old, long us) {
        for (int i = 0; i < old.size(); i++) {
            SimulatedMachine m = old.get(i);
            time.after(
                    i * us / old.size(),
                    () -> {
                        add(m.zone, m.kind, time.now());
                        time.after(1_000_000, () -> drain(m));
                    });
        }
    }

    private void drain(SimulatedMachine m) {
        if (m.state == EngineLifecycle.READY) {
            m.state = EngineLifecycle.DRAINING;
            tell(m.entry());
            time.after(
                    LEAVING,
                    () -> {
                        m.die();
                        tell(m.entry());
                    });
        }
    }

    /** Its process dies, which the list tells late, and comes back cold. */
    private void crash(SimulatedMachine m, long backAfter) {
        m.die();
        time.after(DIED, () -> tell(m.entry()));
        time.after(
                backAfter,
                () -> {
                    m.bornUs = time.now();
                    m.state = EngineLifecycle.READY;
                    m.hangs = false;
                    colds.get(m.id).forget();
                    tell(m.entry());
                });
    }

    /** It stays down. */
    void fall(SimulatedMachine m) {
        m.die();
        time.after(DIED, () -> tell(m.entry()));
    }

    /**
     * Some front ends are killed, never all, and start again knowing the list as they last had it.
     */
    private void restart(long us, double part) {
        int killed = (int) Math.min(fronts.size() - 1, Math.round(part * fronts.size()));
        for (int i = 0; i < killed; i++) {
            int index = i;
            FrontEndRun front = fronts.get(i);
            if (front.alive) {
                front.kill();
                time.after(
                        us,
                        () -> {
                            FrontEndRun next =
                                    new FrontEndRun(this, index, new TreeMap<>(front.view), maker);
                            fronts.set(index, next);
                            lives.add(next);
                        });
            }
        }
    }
}
