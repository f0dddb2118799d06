// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The clients of a {@link SimulatedProcess}: their requests start sessions as the process's grants
 * allow, are queued, or are rejected and retried. The decision to start a session and its sending
 * are separate events, so that the process may be stopped in between.
 */
final class SimulatedClients {
    private static final long NANOS_PER_MILLI = FleetSimulation.NANOS_PER_MILLI;
    private static final int MAX_QUEUED = 1_000;
    private static final long MAX_WAIT_NANOS = 300 * NANOS_PER_MILLI;

    /**
     * The load of one process.
     *
     * @param clients by tenant: concurrent clients per engine, each with one request at a time
     * @param meanSessionMillis mean duration of most sessions
     */
    record Load(int[] clients, int meanSessionMillis) {}

    private final FleetSimulation sim;
    private final SimulatedProcess process;
    private final Load load;

    /** By tenant: time until which its clients send no requests. */
    private final long[] pausedUntil;

    /** By tenant: accumulated session time. */
    private final long[] sessionNanos;

    private long sessionNanosAt;
    private final List<Runnable> unsent = new ArrayList<>();

    /** By request number: the slot of its engine. */
    private final Map<Long, Integer> queued = new HashMap<>();

    private long lastRequestNumber;
    private GrantedSessions sessions;
    private TenantQueues queues;

    /** By engine and tenant: clients that wait to retry. */
    private int[][] waitingToRetry;

    SimulatedClients(FleetSimulation sim, SimulatedProcess process, Load load) {
        this.sim = sim;
        this.process = process;
        this.load = load;
        this.pausedUntil = new long[tenantCount()];
        this.sessionNanos = new long[tenantCount()];
    }

    int tenantCount() {
        return load.clients().length;
    }

    /** Resets the state after a restart of the process. */
    void restart(GrantedSessions newSessions) {
        sessions = newSessions;
        queues = new TenantQueues(sim.settings, MAX_QUEUED, sim.engines.size());
        waitingToRetry = new int[sim.engines.size()][tenantCount()];
        queued.clear();
        unsent.clear();
        sessionNanosAt = sim.now;
    }

    /** All clients of an engine send their first request. */
    void connected(int slot) {
        for (int tenant = 0; tenant < tenantCount(); tenant++) {
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
            // All clients of a tenant pause together.
            pausedUntil[tenant] = sim.now + sim.random.nextLong(1_000 * NANOS_PER_MILLI);
        }
        if (sim.now < pausedUntil[tenant]) {
            process.schedule(pausedUntil[tenant], session, () -> request(tenant, slot, session));
            return;
        }
        if (sessions.mayStart(tenant, slot, process.clockNanos())) {
            startSession(tenant, slot);
            return;
        }
        lastRequestNumber++;
        try {
            queues.offer(tenant, slot, lastRequestNumber, process.clockNanos(), MAX_WAIT_NANOS);
            queued.put(lastRequestNumber, slot);
        } catch (BudgetException.NoCapacity noCapacity) {
            retryLater(tenant, slot, noCapacity.retryAfterNanos());
        }
    }

    private void retryLater(int tenant, int slot, long delayNanos) {
        long session = process.session();
        waitingToRetry[slot][tenant]++;
        process.schedule(
                sim.now + delayNanos,
                session,
                () -> {
                    waitingToRetry[slot][tenant]--;
                    request(tenant, slot, session);
                });
    }

    /** Starts sessions for queued requests as far as the grants allow. */
    void serveQueued(int slot) {
        for (long request = queues.poll(slot, process.clockNanos(), sessions);
                request >= 0;
                request = queues.poll(slot, process.clockNanos(), sessions)) {
            startSession(queues.lastPolledTenant(), slot);
            queued.remove(request);
        }
    }

    /** Starts all sessions that the grants allow, regardless of the clients' requests. */
    void startAllAllowed() {
        for (int tenant = 0; tenant < tenantCount(); tenant++) {
            for (int slot = 0; slot < sim.engines.size(); slot++) {
                while (sessions.mayStart(tenant, slot, process.clockNanos())) {
                    startSession(tenant, slot);
                }
            }
        }
    }

    /** Rejects requests that have waited too long, and observes the demand. */
    void observe(DemandEstimator demand) {
        for (int tenant = 0; tenant < tenantCount(); tenant++) {
            for (long request : queues.removeTimedOut(tenant, process.clockNanos())) {
                long retryAfter = queues.rejection(tenant, process.clockNanos()).retryAfterNanos();
                retryLater(tenant, queued.remove(request), retryAfter);
            }
            for (int slot = 0; slot < sim.engines.size(); slot++) {
                int pending = queues.queued(tenant, slot) + waitingToRetry[slot][tenant];
                demand.observe(
                        tenant,
                        slot,
                        sessions.sessions(tenant, slot),
                        pending,
                        process.clockNanos());
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
        // The process may be stopped between the decision and the sending.
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
            return; // The connection broke when the engine was replaced.
        }
        SimulatedEngine.Owner owner = process.owner();
        long arrivesAt =
                Math.max(
                        engine.connections.getOrDefault(owner, sim.now),
                        sim.now + sim.randomDelay());
        engine.connections.put(owner, arrivesAt);
        sim.schedule(
                arrivesAt,
                () -> {
                    if (engine.incarnation == incarnation) {
                        runSession(engine, owner, tenant, slot);
                    }
                });
    }

    private void runSession(
            SimulatedEngine engine, SimulatedEngine.Owner owner, int tenant, int slot) {
        long incarnation = engine.incarnation;
        engine.addSessions(sim.now, owner, 1);
        long nanos =
                load.meanSessionMillis() * NANOS_PER_MILLI / 2
                        + sim.random.nextLong(load.meanSessionMillis() * NANOS_PER_MILLI);
        if (sim.faults.isEnabled() && sim.random.nextInt(12) == 0) {
            nanos *= 20;
        }
        process.schedule(
                sim.now + sim.randomDelay(),
                owner.session(),
                () -> {
                    sessions.sessionAcknowledged(slot, incarnation);
                    serveQueued(slot);
                });
        sim.schedule(
                sim.now + Math.max(nanos, 1),
                () -> {
                    if (engine.incarnation == incarnation) {
                        engine.addSessions(sim.now, owner, -1);
                        process.schedule(
                                sim.now + sim.randomDelay(),
                                owner.session(),
                                () -> sessionEnded(tenant, slot, incarnation));
                    }
                });
    }

    private void sessionEnded(int tenant, int slot, long incarnation) {
        addSessionNanos();
        sessions.sessionEnded(tenant, slot, incarnation);
        queues.sessionEnded(tenant, process.clockNanos());
        serveQueued(slot);
        request(tenant, slot, process.session());
    }

    private void addSessionNanos() {
        for (int tenant = 0; tenant < tenantCount(); tenant++) {
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
