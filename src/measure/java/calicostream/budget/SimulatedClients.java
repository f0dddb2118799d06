// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The clients of a {@link SimulatedProcess}: their requests start sessions as the process's grants
 * allow, are queued, or are rejected and retried. A decision and its act are apart, so that a stop
 * may come between them.
 */
final class SimulatedClients {
    private static final long MS = FleetSimulation.MS;
    private static final int MAX_QUEUED = 1_000;
    private static final long PATIENCE_NANOS = 300 * MS;

    /**
     * The load of one process.
     *
     * @param clients by tenant: requests that are always there at each engine, or wait
     * @param millis a session's length, about
     */
    record Load(int[] clients, int millis) {}

    private final FleetSimulation sim;
    private final SimulatedProcess process;
    private final Load load;

    /** By tenant: until when its clients send nothing. */
    private final long[] quietUntil;

    /** By tenant: session time so far. */
    private final long[] sessionNanos;

    private long sessionNanosAt;
    private final List<Runnable> unsent = new ArrayList<>();

    /** By request number: the slot of its engine. */
    private final Map<Long, Integer> queued = new HashMap<>();

    private long requests;
    private GrantedSessions sessions;
    private TenantQueues queues;

    /** By engine and tenant: clients that wait to retry. */
    private int[][] waitingToRetry;

    SimulatedClients(FleetSimulation sim, SimulatedProcess process, Load load) {
        this.sim = sim;
        this.process = process;
        this.load = load;
        this.quietUntil = new long[tenants()];
        this.sessionNanos = new long[tenants()];
    }

    int tenants() {
        return load.clients().length;
    }

    /** The process has started anew. */
    void restart(GrantedSessions newSessions) {
        sessions = newSessions;
        queues = new TenantQueues(sim.settings, MAX_QUEUED, sim.engines.size());
        waitingToRetry = new int[sim.engines.size()][tenants()];
        queued.clear();
        unsent.clear();
        sessionNanosAt = sim.now;
    }

    /** All clients of an engine send their first request. */
    void connected(int slot) {
        for (int tenant = 0; tenant < tenants(); tenant++) {
            for (int client = 0; client < load.clients()[tenant]; client++) {
                request(tenant, slot, process.session());
            }
        }
    }

    private void request(int tenant, int slot, long session) {
        if (!process.isRunning(session)) {
            return;
        }
        if (sim.faults.isEnabled() && sim.random.nextInt(200) == 0) {
            // A tenant's clients come and go together.
            quietUntil[tenant] = sim.now + sim.random.nextLong(1_000 * MS);
        }
        if (sim.now < quietUntil[tenant]) {
            process.schedule(quietUntil[tenant], session, () -> request(tenant, slot, session));
            return;
        }
        if (sessions.mayStart(tenant, slot, process.clock())) {
            startSession(tenant, slot);
            return;
        }
        requests++;
        try {
            queues.offer(tenant, slot, requests, process.clock(), PATIENCE_NANOS);
            queued.put(requests, slot);
        } catch (BudgetException.NoCapacity noCapacity) {
            retryLater(tenant, slot, noCapacity.retryAfterNanos());
        }
    }

    private void retryLater(int tenant, int slot, long after) {
        long session = process.session();
        waitingToRetry[slot][tenant]++;
        process.schedule(
                sim.now + after,
                session,
                () -> {
                    waitingToRetry[slot][tenant]--;
                    request(tenant, slot, session);
                });
    }

    /** Starts sessions for queued requests as far as the grants allow. */
    void serveQueued(int slot) {
        for (long request = queues.poll(slot, process.clock(), sessions);
                request >= 0;
                request = queues.poll(slot, process.clock(), sessions)) {
            startSession(queues.lastTenant(), slot);
            queued.remove(request);
        }
    }

    /** Starts all sessions that the grants allow, whether clients want them or not. */
    void startAll() {
        for (int tenant = 0; tenant < tenants(); tenant++) {
            for (int slot = 0; slot < sim.engines.size(); slot++) {
                while (sessions.mayStart(tenant, slot, process.clock())) {
                    startSession(tenant, slot);
                }
            }
        }
    }

    /** Rejects requests that have waited too long, and observes the demand. */
    void observe(DemandEstimator demand) {
        for (int tenant = 0; tenant < tenants(); tenant++) {
            for (long request : queues.removeTimedOut(tenant, process.clock())) {
                long retryAfter = queues.rejection(tenant, process.clock()).retryAfterNanos();
                retryLater(tenant, queued.remove(request), retryAfter);
            }
            for (int slot = 0; slot < sim.engines.size(); slot++) {
                int pending = queues.queued(tenant, slot) + waitingToRetry[slot][tenant];
                demand.observe(
                        tenant, slot, sessions.sessions(tenant, slot), pending, process.clock());
            }
        }
    }

    private void startSession(int tenant, int slot) {
        addSessionNanos();
        sessions.sessionStarted(tenant, slot);
        SimulatedEngine engine = sim.engines.get(slot);
        long incarnation = sessions.incarnation(slot);
        long session = process.session();
        unsent.add(() -> send(engine, tenant, slot, incarnation, session));
        // A stop may come between the decision and this.
        process.schedule(sim.now, session, this::sendAll);
    }

    private void sendAll() {
        List<Runnable> sends = List.copyOf(unsent);
        unsent.clear();
        sends.forEach(Runnable::run);
    }

    private void send(
            SimulatedEngine engine, int tenant, int slot, long incarnation, long session) {
        if (engine.incarnation != incarnation) {
            return; // The connection has broken with its engine.
        }
        SimulatedEngine.Owner owner = process.owner();
        long arrives =
                Math.max(engine.connections.getOrDefault(owner, sim.now), sim.now + sim.delay());
        engine.connections.put(owner, arrives);
        sim.schedule(
                arrives,
                () -> {
                    if (engine.incarnation == incarnation) {
                        runSession(engine, owner, tenant, slot);
                    }
                });
    }

    private void runSession(
            SimulatedEngine engine, SimulatedEngine.Owner owner, int tenant, int slot) {
        long incarnation = engine.incarnation;
        engine.add(sim.now, owner, 1);
        long nanos = load.millis() * MS / 2 + sim.random.nextLong(load.millis() * MS);
        if (sim.faults.isEnabled() && sim.random.nextInt(12) == 0) {
            nanos *= 20;
        }
        process.schedule(
                sim.now + sim.delay(),
                owner.session(),
                () -> {
                    sessions.sessionAcknowledged(slot, incarnation);
                    serveQueued(slot);
                });
        sim.schedule(
                sim.now + Math.max(nanos, 1),
                () -> {
                    if (engine.incarnation == incarnation) {
                        engine.add(sim.now, owner, -1);
                        process.schedule(
                                sim.now + sim.delay(),
                                owner.session(),
                                () -> sessionEnded(tenant, slot, incarnation));
                    }
                });
    }

    private void sessionEnded(int tenant, int slot, long incarnation) {
        addSessionNanos();
        sessions.sessionEnded(tenant, slot, incarnation);
        queues.sessionEnded(tenant, process.clock());
        serveQueued(slot);
        request(tenant, slot, process.session());
    }

    private void addSessionNanos() {
        for (int tenant = 0; tenant < tenants(); tenant++) {
            for (int slot = 0; slot < sim.engines.size(); slot++) {
                sessionNanos[tenant] +=
                        (sim.now - sessionNanosAt) * sessions.sessions(tenant, slot);
            }
        }
        sessionNanosAt = sim.now;
    }

    /** The tenant's session time since the start of the simulation. */
    long sessionNanos(int tenant) {
        addSessionNanos();
        return sessionNanos[tenant];
    }
}
