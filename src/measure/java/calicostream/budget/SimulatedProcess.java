// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import calicostream.cluster.CommandEffects;

/**
 * A process of a {@link FleetSimulation}: joins, connects to engines and reports, and may be
 * stopped, killed, or cut off. Its connections keep their order; a stopped process reads nothing
 * until it continues. What its clients do is in {@link SimulatedClients}.
 */
final class SimulatedProcess {
    private static final long MS = FleetSimulation.MS;

    /** Longer than any connection delays, on the fastest clock. */
    private static final long MAX_TRANSIT_NANOS = 4_020 * MS;

    private static final long JOIN_RETRY_NANOS = 300 * MS;
    private static final long REPORT_INTERVAL_NANOS = 200 * MS;
    private static final long PROMPT_REPORT_NANOS = MS;

    private final FleetSimulation sim;
    private final String name;
    private final SimulatedClients clients;
    private final double clockRate;
    private final long clockOffset;
    private boolean isUp;
    private long stoppedUntil;
    private long session;
    private SessionLedger ledger;
    private GrantedSessions sessions;
    private DemandEstimator demand;
    private long reports;
    private long stopAtNextReportNanos;
    private long cannotSendUntil;
    private long cannotReceiveUntil;

    SimulatedProcess(FleetSimulation sim, String name, SimulatedClients.Load load) {
        this.sim = sim;
        this.name = name;
        this.clockRate = 1 + (sim.random.nextDouble() * 2 - 1) * sim.settings.driftPpm() / 1e6;
        this.clockOffset = sim.random.nextLong(1L << 40);
        this.clients = new SimulatedClients(sim, this, load);
    }

    long clock() {
        return clockOffset + (long) (sim.now * clockRate);
    }

    boolean isStopped() {
        return sim.now < stoppedUntil;
    }

    boolean isUp() {
        return isUp;
    }

    /** Whether the incarnation that has that session runs, though it may be stopped. */
    boolean isRunning(long ofSession) {
        return isUp && session == ofSession;
    }

    long session() {
        return session;
    }

    SimulatedEngine.Owner owner() {
        return new SimulatedEngine.Owner(name, session);
    }

    void start() {
        isUp = true;
        session = sim.nextSession++;
        sessions = new GrantedSessions(sim.settings, name, sim.disabledSafeguards);
        ledger = new SessionLedger(sessions, MAX_TRANSIT_NANOS, clock());
        demand = new DemandEstimator(clients.tenants(), 500 * MS);
        clients.restart(sessions);
        for (SimulatedEngine engine : sim.engines) {
            sessions.registerEngine(engine.name, engine.pool);
            connect(engine, session);
        }
        join(session);
    }

    /** Schedules an action of the incarnation that has that session, once it is not stopped. */
    void schedule(long at, long ofSession, Runnable action) {
        sim.schedule(at, () -> run(ofSession, action));
    }

    private void run(long ofSession, Runnable action) {
        if (!isRunning(ofSession)) {
            return;
        }
        if (isStopped()) {
            schedule(stoppedUntil, ofSession, action);
        } else {
            action.run();
        }
    }

    /** One exchange with the log, which may be answered more than once or never. */
    private static final class Exchange {
        private boolean isAnswered;
    }

    private void join(long own) {
        Exchange exchange = new Exchange();
        sim.submit(
                own,
                new BudgetCommand.Join(name).encode(),
                effects ->
                        run(
                                own,
                                () -> {
                                    if (effects.isAccepted() && !exchange.isAnswered) {
                                        exchange.isAnswered = true;
                                        report(own);
                                    }
                                }));
        schedule(
                sim.now + JOIN_RETRY_NANOS,
                own,
                () -> {
                    if (!exchange.isAnswered) {
                        join(own);
                    }
                });
    }

    private void report(long own) {
        if (!isRunning(own)) {
            return;
        }
        clients.observe(demand);
        sim.engines.stream()
                .filter(engine -> !engine.countsByProcess)
                .forEach(engine -> requestCount(engine, own));
        reports++;
        long number = reports;
        Exchange exchange = new Exchange();
        sim.submit(
                own,
                sessions.nextReport(clock(), demand).encode(),
                effects -> run(own, () -> reportAnswered(own, effects, exchange, number)),
                cannotSendUntil,
                cannotReceiveUntil);
        if (stopAtNextReportNanos > 0) {
            long nanos = stopAtNextReportNanos;
            stopAtNextReportNanos = 0;
            stop(nanos, false);
        }
        schedule(
                sim.now + REPORT_INTERVAL_NANOS,
                own,
                () -> {
                    if (!exchange.isAnswered && number == reports) {
                        report(own);
                    }
                });
    }

    /** One report leads to one next, however late its answer. */
    private void reportAnswered(long own, CommandEffects effects, Exchange exchange, long number) {
        if (effects.isAccepted()) {
            sessions.applyReply(BudgetCommand.RenewalReply.decode(effects.response()), clock());
        } else if (effects.rejectionCode().equals("budget-grant-over")) {
            sessions.expire();
        }
        for (int slot = 0; slot < sim.engines.size(); slot++) {
            clients.serveQueued(slot);
        }
        if (!exchange.isAnswered) {
            exchange.isAnswered = true;
            long pause = sessions.isReclaimed() ? PROMPT_REPORT_NANOS : REPORT_INTERVAL_NANOS;
            schedule(
                    sim.now + pause,
                    own,
                    () -> {
                        if (number == reports) {
                            report(own);
                        }
                    });
        }
    }

    /**
     * Connects to an engine, which first tells its incarnation and what earlier incarnations of
     * this process have there.
     */
    private void connect(SimulatedEngine engine, long own) {
        if (!isRunning(own)) {
            return;
        }
        long incarnation = engine.incarnation;
        boolean isFirst = engine.connections.putIfAbsent(owner(), sim.now) == null;
        sim.schedule(
                sim.now + sim.delay(),
                () -> {
                    if (engine.incarnation != incarnation) {
                        return;
                    }
                    int orphaned = engine.count(name, own, true);
                    boolean areOthersClosed = engine.allConnectionsClosed(name, own);
                    schedule(
                            sim.now + sim.delay(),
                            own,
                            () -> {
                                int slot = sim.engines.indexOf(engine);
                                sessions.engineConnected(slot, incarnation);
                                if (areOthersClosed && engine.countsByProcess) {
                                    sessions.boundOrphaned(slot, incarnation, orphaned);
                                }
                                if (isFirst) {
                                    clients.connected(slot);
                                } else {
                                    clients.serveQueued(slot);
                                }
                                if (!areOthersClosed || orphaned > 0) {
                                    schedule(
                                            sim.now + REPORT_INTERVAL_NANOS,
                                            own,
                                            () -> connect(engine, own));
                                }
                            });
                });
    }

    /** Asks an engine for its count of the sessions of all processes, if it is due. */
    private void requestCount(SimulatedEngine engine, long own) {
        int slot = sim.engines.indexOf(engine);
        long incarnation = sessions.incarnation(slot);
        long askedAt = clock();
        if (incarnation == 0 || !ledger.isCountDue(slot, askedAt)) {
            return;
        }
        sim.schedule(
                sim.now + sim.delay(),
                () -> {
                    int running = engine.running;
                    schedule(
                            sim.now + sim.delay(),
                            own,
                            () -> {
                                if (sessions.incarnation(slot) == incarnation) {
                                    ledger.engineCounted(slot, askedAt, running);
                                    clients.serveQueued(slot);
                                }
                            });
                });
    }

    /** The engine was replaced: its connections break. */
    void reset(SimulatedEngine engine) {
        long own = session;
        if (isUp) {
            schedule(sim.now + sim.delay(), own, () -> connect(engine, own));
        }
    }

    /**
     * Stops the process as by SIGSTOP; its clock goes on. What it decided last may not have been
     * acted on.
     *
     * @param atNextReport whether it stops after its next report, or at once
     */
    void stop(long nanos, boolean atNextReport) {
        if (atNextReport) {
            stopAtNextReportNanos = nanos;
        } else if (isUp && !isStopped()) {
            clients.startAll();
            stoppedUntil = sim.now + nanos;
        }
    }

    /**
     * Cuts the link to the log: what the process sends is lost for a while; what it receives is
     * lost or comes after the cut.
     */
    void cut(boolean sending, boolean receiving, long nanos) {
        cannotSendUntil = sending ? sim.now + nanos : cannotSendUntil;
        cannotReceiveUntil = receiving ? sim.now + nanos : cannotReceiveUntil;
    }

    /**
     * Kills the process as by SIGKILL: connections close behind what is on them, its sessions
     * continue; a while later it is restarted.
     */
    void crash() {
        if (!isUp) {
            return;
        }
        isUp = false;
        stoppedUntil = 0;
        SimulatedEngine.Owner owner = owner();
        for (SimulatedEngine engine : sim.engines) {
            long incarnation = engine.incarnation;
            long closes =
                    Math.max(
                            engine.connections.getOrDefault(owner, sim.now), sim.now + sim.delay());
            sim.schedule(
                    closes,
                    () -> {
                        if (engine.incarnation == incarnation) {
                            engine.connections.remove(owner);
                        }
                    });
        }
        sim.schedule(sim.now + sim.random.nextLong(1, 2_000 * MS), this::start);
    }

    /** Shuts the process down gracefully if it is idle, and restarts it later. */
    void leave() {
        if (isUp && !isStopped() && sessions.isIdle()) {
            SimulatedEngine.Owner owner = owner();
            isUp = false;
            sim.submit(session, new BudgetCommand.Leave().encode(), effects -> {});
            sim.engines.forEach(engine -> engine.connections.remove(owner));
            sim.schedule(sim.now + sim.random.nextLong(1, 1_000 * MS), this::start);
        }
    }

    /** The tenant's session time in this process since the start of the simulation. */
    long totalSessionNanos(int tenant) {
        return clients.sessionNanos(tenant);
    }
}
