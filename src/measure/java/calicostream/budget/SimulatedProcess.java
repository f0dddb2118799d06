// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import calicostream.cluster.CommandEffects;

/**
 * A process of a {@link FleetSimulation}: joins, connects to engines and reports, and may be
 * stopped, killed, or cut off from the log. Its connections deliver messages in order; a stopped
 * process handles no event until it continues. {@link SimulatedClients} simulates its clients.
 */
final class SimulatedProcess {
    private static final long NANOS_PER_MILLI = FleetSimulation.NANOS_PER_MILLI;

    /** Exceeds the largest delay of a connection, measured on the fastest clock. */
    private static final long MAX_TRANSIT_NANOS = 4_020 * NANOS_PER_MILLI;

    private static final long JOIN_RETRY_NANOS = 300 * NANOS_PER_MILLI;
    private static final long REPORT_INTERVAL_NANOS = 200 * NANOS_PER_MILLI;
    private static final long PROMPT_REPORT_NANOS = NANOS_PER_MILLI;

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
    private long lastReportNumber;
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

    long clockNanos() {
        return clockOffset + (long) (sim.now * clockRate);
    }

    boolean isStopped() {
        return sim.now < stoppedUntil;
    }

    boolean isUp() {
        return isUp;
    }

    /** Whether the incarnation with this cluster session runs; it may be stopped. */
    boolean isRunning(long expectedSession) {
        return isUp && session == expectedSession;
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
        ledger = new SessionLedger(sessions, MAX_TRANSIT_NANOS, clockNanos());
        demand = new DemandEstimator(clients.tenantCount(), 500 * NANOS_PER_MILLI);
        clients.restart(sessions);
        for (SimulatedEngine engine : sim.engines) {
            sessions.registerEngine(engine.name, engine.pool);
            connect(engine, session);
        }
        join(session);
    }

    /** Schedules an action of the incarnation with this session; it is delayed during a stop. */
    void schedule(long at, long expectedSession, Runnable action) {
        sim.schedule(at, () -> run(expectedSession, action));
    }

    private void run(long expectedSession, Runnable action) {
        if (!isRunning(expectedSession)) {
            return;
        }
        if (isStopped()) {
            schedule(stoppedUntil, expectedSession, action);
        } else {
            action.run();
        }
    }

    /** A command sent to the log, which may get several responses or none. */
    private static final class SentCommand {
        private boolean isAnswered;
    }

    private void join(long ownSession) {
        SentCommand command = new SentCommand();
        sim.submit(
                ownSession,
                new BudgetCommand.Join(name).encode(),
                effects ->
                        run(
                                ownSession,
                                () -> {
                                    if (effects.isAccepted() && !command.isAnswered) {
                                        command.isAnswered = true;
                                        report(ownSession);
                                    }
                                }));
        schedule(
                sim.now + JOIN_RETRY_NANOS,
                ownSession,
                () -> {
                    if (!command.isAnswered) {
                        join(ownSession);
                    }
                });
    }

    private void report(long ownSession) {
        if (!isRunning(ownSession)) {
            return;
        }
        clients.observe(demand);
        sim.engines.stream()
                .filter(engine -> !engine.countsByProcess)
                .forEach(engine -> requestCount(engine, ownSession));
        lastReportNumber++;
        long reportNumber = lastReportNumber;
        SentCommand command = new SentCommand();
        sim.submit(
                ownSession,
                sessions.nextReport(clockNanos(), demand).encode(),
                effects ->
                        run(
                                ownSession,
                                () -> reportAnswered(ownSession, effects, command, reportNumber)),
                cannotSendUntil,
                cannotReceiveUntil);
        if (stopAtNextReportNanos > 0) {
            long nanos = stopAtNextReportNanos;
            stopAtNextReportNanos = 0;
            stop(nanos, false);
        }
        schedule(
                sim.now + REPORT_INTERVAL_NANOS,
                ownSession,
                () -> {
                    if (!command.isAnswered && reportNumber == lastReportNumber) {
                        report(ownSession);
                    }
                });
    }

    /** Each report is followed by exactly one other, however late its response is. */
    private void reportAnswered(
            long ownSession, CommandEffects effects, SentCommand command, long reportNumber) {
        if (effects.isAccepted()) {
            sessions.applyReply(
                    BudgetCommand.RenewalReply.decode(effects.response()), clockNanos());
        } else if (effects.rejectionCode().equals("budget-grant-over")) {
            sessions.expire();
        }
        for (int slot = 0; slot < sim.engines.size(); slot++) {
            clients.serveQueued(slot);
        }
        if (!command.isAnswered) {
            command.isAnswered = true;
            long delay = sessions.wasGrantLowered() ? PROMPT_REPORT_NANOS : REPORT_INTERVAL_NANOS;
            schedule(
                    sim.now + delay,
                    ownSession,
                    () -> {
                        if (reportNumber == lastReportNumber) {
                            report(ownSession);
                        }
                    });
        }
    }

    /**
     * Connects to an engine, which first reports its incarnation and the number of sessions of this
     * process's earlier incarnations.
     */
    private void connect(SimulatedEngine engine, long ownSession) {
        if (!isRunning(ownSession)) {
            return;
        }
        long incarnation = engine.incarnation;
        boolean isFirst = engine.connections.putIfAbsent(owner(), sim.now) == null;
        sim.schedule(
                sim.now + sim.randomDelay(),
                () -> {
                    if (engine.incarnation != incarnation) {
                        return;
                    }
                    int orphaned = engine.countSessions(name, ownSession, true);
                    boolean areOthersClosed = engine.allConnectionsClosed(name, ownSession);
                    schedule(
                            sim.now + sim.randomDelay(),
                            ownSession,
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
                                            ownSession,
                                            () -> connect(engine, ownSession));
                                }
                            });
                });
    }

    /** Requests an engine's count of the sessions of all processes if it is due. */
    private void requestCount(SimulatedEngine engine, long ownSession) {
        int slot = sim.engines.indexOf(engine);
        long incarnation = sessions.incarnation(slot);
        long requestedAt = clockNanos();
        if (incarnation == 0 || !ledger.isCountDue(slot, requestedAt)) {
            return;
        }
        sim.schedule(
                sim.now + sim.randomDelay(),
                () -> {
                    int running = engine.running;
                    schedule(
                            sim.now + sim.randomDelay(),
                            ownSession,
                            () -> {
                                if (sessions.incarnation(slot) == incarnation) {
                                    ledger.engineCounted(slot, requestedAt, running);
                                    clients.serveQueued(slot);
                                }
                            });
                });
    }

    /** Reconnects to a replaced engine, whose connections have broken. */
    void engineReplaced(SimulatedEngine engine) {
        long ownSession = session;
        if (isUp) {
            schedule(sim.now + sim.randomDelay(), ownSession, () -> connect(engine, ownSession));
        }
    }

    /**
     * Stops the process like SIGSTOP does; its clock keeps running. Sessions that it has decided to
     * start may not have been sent yet.
     *
     * @param atNextReport whether it stops right after its next report instead of at once
     */
    void stop(long nanos, boolean atNextReport) {
        if (atNextReport) {
            stopAtNextReportNanos = nanos;
        } else if (isUp && !isStopped()) {
            clients.startAllAllowed();
            stoppedUntil = sim.now + nanos;
        }
    }

    /**
     * Cuts the link to the log for a time: commands are lost, responses are lost or arrive after
     * the cut.
     */
    void cutLink(boolean sending, boolean receiving, long nanos) {
        cannotSendUntil = sending ? sim.now + nanos : cannotSendUntil;
        cannotReceiveUntil = receiving ? sim.now + nanos : cannotReceiveUntil;
    }

    /**
     * Kills the process like SIGKILL does: its connections close after delivering what is in
     * transit, and its sessions keep running. It is restarted later.
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
            long closesAt =
                    Math.max(
                            engine.connections.getOrDefault(owner, sim.now),
                            sim.now + sim.randomDelay());
            sim.schedule(
                    closesAt,
                    () -> {
                        if (engine.incarnation == incarnation) {
                            engine.connections.remove(owner);
                        }
                    });
        }
        sim.schedule(sim.now + sim.random.nextLong(1, 2_000 * NANOS_PER_MILLI), this::start);
    }

    /** Shuts the process down gracefully if it is idle, and restarts it later. */
    void leave() {
        if (isUp && !isStopped() && sessions.isIdle()) {
            SimulatedEngine.Owner owner = owner();
            isUp = false;
            sim.submit(session, new BudgetCommand.Leave().encode(), effects -> {});
            sim.engines.forEach(engine -> engine.connections.remove(owner));
            sim.schedule(sim.now + sim.random.nextLong(1, 1_000 * NANOS_PER_MILLI), this::start);
        }
    }

    /** The tenant's session time in this process since the start of the simulation. */
    long totalSessionNanos(int tenant) {
        return clients.sessionNanos(tenant);
    }
}
