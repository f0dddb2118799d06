// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import calicostream.cluster.CommandEffects;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A process with its clients: decides each request from its holdings alone, reports, and may be
 * stopped between a decision and its act, killed, or cut off. Its links to engines keep their
 * order; a stopped process reads nothing until it goes on.
 */
final class SimulatedProcess {
    /**
     * @param clients by tenant: requests that are always there at each engine, or wait
     * @param millis a session's length, about
     */
    record Load(int[] clients, int millis) {}

    /** Longer than any link delays, on the fastest clock. */
    private static final long TRAVEL = 4_020 * FleetSimulation.MS;

    private final FleetSimulation sim;
    private final String name;
    private final Load load;
    private final double rate;
    private final long offset;
    private boolean up;
    private long stoppedUntil;
    private long session;
    private SessionLedger ledger;
    private GrantedSessions holdings;
    private DemandEstimator demand;
    private TenantQueues queues;
    private int[][] idle;
    private long requests;
    private long reports;
    private final Map<Long, Integer> waiting = new HashMap<>();
    private final List<Runnable> later = new ArrayList<>();
    private final long[] quietUntil;
    private long stopWhenAsked;
    private long dumbUntil;
    private long deafUntil;
    long[] sessionNanos;
    private long areaSince;
    long begun;
    long refused;

    SimulatedProcess(FleetSimulation sim, String name, Load load) {
        this.sim = sim;
        this.name = name;
        this.load = load;
        this.rate = 1 + (sim.random.nextDouble() * 2 - 1) * sim.settings.driftPpm() / 1e6;
        this.offset = sim.random.nextLong(1L << 40);
        this.sessionNanos = new long[load.clients.length];
        this.quietUntil = new long[load.clients.length];
    }

    private long clock() {
        return offset + (long) (sim.now * rate);
    }

    boolean isStopped() {
        return sim.now < stoppedUntil;
    }

    boolean isUp() {
        return up;
    }

    long session() {
        return session;
    }

    void start() {
        up = true;
        session = sim.nextSession++;
        holdings = new GrantedSessions(sim.settings, name, sim.disabledSafeguards);
        ledger = new SessionLedger(holdings, TRAVEL, clock());
        demand = new DemandEstimator(load.clients.length, 500 * FleetSimulation.MS);
        queues = new TenantQueues(sim.settings, 1_000, sim.engines.size());
        idle = new int[sim.engines.size()][load.clients.length];
        waiting.clear();
        later.clear();
        areaSince = sim.now;
        long mine = session;
        for (SimulatedEngine engine : sim.engines) {
            holdings.registerEngine(engine.name, engine.pool);
            connect(engine, mine);
        }
        join(mine);
    }

    /** Runs in this start of the process, once it is not stopped. */
    private void here(long mine, Runnable run) {
        if (up && session == mine) {
            if (isStopped()) {
                sim.schedule(stoppedUntil, () -> here(mine, run));
            } else {
                run.run();
            }
        }
    }

    private void join(long mine) {
        boolean[] joined = new boolean[1];
        sim.submit(
                mine,
                new BudgetCommand.Join(name).encode(),
                effects ->
                        here(
                                mine,
                                () -> {
                                    if (effects.isAccepted() && !joined[0]) {
                                        joined[0] = true;
                                        report(mine);
                                    }
                                }));
        sim.schedule(
                sim.now + 300 * FleetSimulation.MS,
                () ->
                        here(
                                mine,
                                () -> {
                                    if (!joined[0]) {
                                        join(mine);
                                    }
                                }));
    }

    private void report(long mine) {
        if (!up || session != mine) {
            return;
        }
        look();
        sim.engines.stream()
                .filter(engine -> !engine.countsByProcess)
                .forEach(engine -> askForAll(engine, mine));
        long number = ++reports; // one report leads to one next, however late its answer
        boolean[] answered = new boolean[1];
        sim.submit(
                mine,
                holdings.nextReport(clock(), demand).encode(),
                effects -> here(mine, () -> answered(mine, effects, answered, number)),
                dumbUntil,
                deafUntil);
        if (stopWhenAsked > 0) {
            long nanos = stopWhenAsked;
            stopWhenAsked = 0;
            stop(nanos, false);
        }
        sim.schedule(
                sim.now + 200 * FleetSimulation.MS,
                () ->
                        here(
                                mine,
                                () -> {
                                    if (!answered[0] && number == reports) {
                                        report(mine);
                                    }
                                }));
    }

    private void answered(long mine, CommandEffects effects, boolean[] answered, long number) {
        if (effects.isAccepted()) {
            holdings.applyReply(BudgetCommand.RenewalReply.decode(effects.response()), clock());
        } else if (effects.rejectionCode().equals("budget-grant-over")) {
            holdings.expire();
        }
        for (int e = 0; e < sim.engines.size(); e++) {
            serve(e);
        }
        if (!answered[0]) {
            answered[0] = true;
            sim.schedule(
                    sim.now + (holdings.isReclaimed() ? 1 : 200) * FleetSimulation.MS,
                    () ->
                            here(
                                    mine,
                                    () -> {
                                        if (number == reports) {
                                            report(mine);
                                        }
                                    }));
        }
    }

    /** What is used and waits, for the demand; and who has waited too long. */
    private void look() {
        for (int t = 0; t < load.clients.length; t++) {
            for (long request : queues.removeTimedOut(t, clock())) {
                refused(t, waiting.remove(request), queues.rejection(t, clock()).retryAfterNanos());
            }
            for (int e = 0; e < sim.engines.size(); e++) {
                demand.observe(
                        t, e, holdings.sessions(t, e), queues.queued(t, e) + idle[e][t], clock());
            }
        }
    }

    /**
     * The link's first word: the engine's incarnation, and what earlier starts of this process have
     * there.
     */
    private void connect(SimulatedEngine engine, long mine) {
        if (!up || session != mine) {
            return;
        }
        SimulatedEngine.Owner owner = new SimulatedEngine.Owner(name, mine);
        long incarnation = engine.incarnation;
        int slot = sim.engines.indexOf(engine);
        boolean first = !engine.connections.containsKey(owner);
        engine.connections.putIfAbsent(owner, sim.now);
        sim.schedule(
                sim.now + sim.delay(),
                () -> {
                    if (engine.incarnation == incarnation) {
                        int left = engine.count(name, mine, true);
                        boolean closed = engine.allConnectionsClosed(name, mine);
                        sim.schedule(
                                sim.now + sim.delay(),
                                () ->
                                        here(
                                                mine,
                                                () -> {
                                                    holdings.engineConnected(slot, incarnation);
                                                    if (closed && engine.countsByProcess) {
                                                        holdings.boundOrphaned(
                                                                slot, incarnation, left);
                                                    }
                                                    if (first) {
                                                        for (int t = 0;
                                                                t < load.clients.length;
                                                                t++) {
                                                            for (int i = 0;
                                                                    i < load.clients[t];
                                                                    i++) {
                                                                arrive(t, slot, mine);
                                                            }
                                                        }
                                                    } else {
                                                        serve(slot);
                                                    }
                                                    if (!closed || left > 0) {
                                                        sim.schedule(
                                                                sim.now + 200 * FleetSimulation.MS,
                                                                () ->
                                                                        here(
                                                                                mine,
                                                                                () ->
                                                                                        connect(
                                                                                                engine,
                                                                                                mine)));
                                                    }
                                                }));
                    }
                });
    }

    /** Its count of all sessions, whoever's. */
    private void askForAll(SimulatedEngine engine, long mine) {
        int slot = sim.engines.indexOf(engine);
        long incarnation = holdings.incarnation(slot);
        long asked = clock();
        if (incarnation != 0 && ledger.isCountDue(slot, asked)) {
            sim.schedule(
                    sim.now + sim.delay(),
                    () -> {
                        int running = engine.running;
                        sim.schedule(
                                sim.now + sim.delay(),
                                () ->
                                        here(
                                                mine,
                                                () -> {
                                                    if (holdings.incarnation(slot) == incarnation) {
                                                        ledger.engineCounted(slot, asked, running);
                                                        serve(slot);
                                                    }
                                                }));
                    });
        }
    }

    /** The engine was replaced: its connections break. */
    void reset(SimulatedEngine engine) {
        long mine = session;
        if (up) {
            sim.schedule(sim.now + sim.delay(), () -> here(mine, () -> connect(engine, mine)));
        }
    }

    private void arrive(int tenant, int slot, long mine) {
        if (!up || session != mine) {
            return;
        }
        if (sim.faults.isEnabled()
                && sim.random.nextInt(200) == 0) { // a tenant's clients come and go together
            quietUntil[tenant] = sim.now + sim.random.nextLong(1_000 * FleetSimulation.MS);
        }
        if (sim.now < quietUntil[tenant]) {
            sim.schedule(quietUntil[tenant], () -> here(mine, () -> arrive(tenant, slot, mine)));
            return;
        }
        if (holdings.mayStart(tenant, slot, clock())) {
            begin(tenant, slot);
            return;
        }
        try {
            queues.offer(tenant, slot, ++requests, clock(), 300 * FleetSimulation.MS);
            waiting.put(requests, slot);
        } catch (BudgetException.NoCapacity noCapacity) {
            refused(tenant, slot, noCapacity.retryAfterNanos());
        }
    }

    private void refused(int tenant, int slot, long after) {
        refused++;
        long mine = session;
        idle[slot][tenant]++;
        sim.schedule(
                sim.now + after,
                () ->
                        here(
                                mine,
                                () -> {
                                    idle[slot][tenant]--;
                                    arrive(tenant, slot, mine);
                                }));
    }

    private void serve(int slot) {
        for (long request = next(slot); request >= 0; request = next(slot)) {
            waiting.remove(request);
        }
    }

    private long next(int slot) {
        long request = queues.poll(slot, clock(), holdings);
        if (request >= 0) {
            begin(queues.lastTenant(), slot);
        }
        return request;
    }

    private void sessionNanos() {
        for (int t = 0; t < sessionNanos.length; t++) {
            for (int e = 0; e < sim.engines.size(); e++) {
                sessionNanos[t] += (sim.now - areaSince) * holdings.sessions(t, e);
            }
        }
        areaSince = sim.now;
    }

    private void begin(int tenant, int slot) {
        sessionNanos();
        begun++;
        holdings.sessionStarted(tenant, slot);
        SimulatedEngine engine = sim.engines.get(slot);
        long incarnation = holdings.incarnation(slot);
        long mine = session;
        later.add(() -> send(engine, tenant, slot, incarnation, mine));
        sim.schedule(
                sim.now,
                () -> here(mine, this::flush)); // a stop may come between the decision and this
    }

    private void flush() {
        List<Runnable> acts = List.copyOf(later);
        later.clear();
        acts.forEach(Runnable::run);
    }

    private void send(SimulatedEngine engine, int tenant, int slot, long incarnation, long mine) {
        SimulatedEngine.Owner owner = new SimulatedEngine.Owner(name, mine);
        if (engine.incarnation != incarnation) {
            return; // the connection has broken with its engine
        }
        long arrives =
                Math.max(engine.connections.getOrDefault(owner, sim.now), sim.now + sim.delay());
        engine.connections.put(owner, arrives);
        sim.schedule(
                arrives,
                () -> {
                    if (engine.incarnation != incarnation) {
                        return;
                    }
                    engine.add(sim.now, owner, 1);
                    long lasts =
                            load.millis * FleetSimulation.MS / 2
                                    + sim.random.nextLong(load.millis * FleetSimulation.MS);
                    if (sim.faults.isEnabled() && sim.random.nextInt(12) == 0) {
                        lasts *= 20;
                    }
                    sim.schedule(
                            sim.now + sim.delay(),
                            () ->
                                    here(
                                            mine,
                                            () -> {
                                                holdings.sessionAcknowledged(slot, incarnation);
                                                serve(slot);
                                            }));
                    long ends = sim.now + Math.max(lasts, 1);
                    sim.schedule(
                            ends,
                            () -> {
                                if (engine.incarnation == incarnation) {
                                    engine.add(sim.now, owner, -1);
                                    sim.schedule(
                                            sim.now + sim.delay(),
                                            () ->
                                                    here(
                                                            mine,
                                                            () -> {
                                                                sessionNanos();
                                                                holdings.sessionEnded(
                                                                        tenant, slot, incarnation);
                                                                queues.sessionEnded(
                                                                        tenant, clock());
                                                                serve(slot);
                                                                arrive(tenant, slot, mine);
                                                            }));
                                }
                            });
                });
    }

    /** As by SIGSTOP; its clock goes on. Whatever it decided last may not have been acted on. */
    void stop(long nanos, boolean havingAsked) {
        if (havingAsked) {
            stopWhenAsked = nanos;
        } else if (up && !isStopped()) {
            for (int t = 0; t < load.clients.length; t++) {
                for (int slot = 0; slot < sim.engines.size(); slot++) {
                    while (holdings.mayStart(t, slot, clock())) {
                        begin(t, slot);
                    }
                }
            }
            stoppedUntil = sim.now + nanos;
        }
    }

    /**
     * What it sends to the log is lost for a while; what comes back is lost, or comes after the
     * cut.
     */
    void cut(boolean out, boolean back, long nanos) {
        dumbUntil = out ? sim.now + nanos : dumbUntil;
        deafUntil = back ? sim.now + nanos : deafUntil;
    }

    /**
     * As by SIGKILL: links close behind what is on them, what it began runs on; a while later it is
     * started anew.
     */
    void crash() {
        if (up) {
            up = false;
            stoppedUntil = 0;
            long mine = session;
            for (SimulatedEngine engine : sim.engines) {
                long incarnation = engine.incarnation;
                SimulatedEngine.Owner owner = new SimulatedEngine.Owner(name, mine);
                long closes =
                        Math.max(
                                engine.connections.getOrDefault(owner, sim.now),
                                sim.now + sim.delay());
                sim.schedule(
                        closes,
                        () -> {
                            if (engine.incarnation == incarnation) {
                                engine.connections.remove(owner);
                            }
                        });
            }
            sim.schedule(sim.now + sim.random.nextLong(1, 2_000 * FleetSimulation.MS), this::start);
        }
    }

    /** A planned stop: takes nothing more, waits until all has ended, says so, ends. */
    void leave() {
        if (up && !isStopped() && holdings.isIdle()) {
            long mine = session;
            up = false;
            sim.submit(mine, new BudgetCommand.Leave().encode(), effects -> {});
            sim.engines.forEach(
                    engine -> engine.connections.remove(new SimulatedEngine.Owner(name, mine)));
            sim.schedule(sim.now + sim.random.nextLong(1, 1_000 * FleetSimulation.MS), this::start);
        }
    }

    long totalSessionNanos(int tenant) {
        sessionNanos();
        return sessionNanos[tenant];
    }

    boolean isLive() {
        return holdings.hasActiveGrants();
    }
}
