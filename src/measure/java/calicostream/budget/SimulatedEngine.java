// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.HashMap;
import java.util.Map;

/**
 * A simulated engine, which runs what it is sent and counts it; it knows no grants and refuses
 * nothing.
 */
final class SimulatedEngine {
    /** One incarnation of a process, as the engine distinguishes them. */
    record Owner(String process, long session) {}

    final String name;
    final String pool;

    /**
     * Whether it reports to a process what its earlier incarnations have here, or only how many
     * sessions it runs in all.
     */
    final boolean countsByProcess;

    long incarnation = 1;
    int cap;
    int running;

    /** The cap that was last in force. */
    int capInForce;

    long sessionNanos;
    long sessionNanosAt;
    final Map<Owner, Integer> sessionsByOwner = new HashMap<>();

    /**
     * Connections that processes have to this incarnation: until when each is busy; removed once
     * the engine saw it closed.
     */
    final Map<Owner, Long> connections = new HashMap<>();

    SimulatedEngine(String name, String pool, int cap, boolean countsByProcess) {
        this.name = name;
        this.pool = pool;
        this.cap = cap;
        this.countsByProcess = countsByProcess;
        this.capInForce = cap;
    }

    void add(long now, Owner owner, int sessions) {
        sessionNanos += (now - sessionNanosAt) * running;
        sessionNanosAt = now;
        running += sessions;
        sessionsByOwner.merge(owner, sessions, Integer::sum);
    }

    void replace(long now) {
        add(now, new Owner("", 0), 0);
        incarnation++;
        running = 0;
        sessionsByOwner.clear();
        connections.clear();
        capInForce = cap;
    }

    int count(String process, long session, boolean former) {
        return sessionsByOwner.entrySet().stream()
                .filter(
                        each ->
                                each.getKey().process.equals(process)
                                        && (former
                                                ? each.getKey().session < session
                                                : each.getKey().session == session))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    boolean allConnectionsClosed(String process, long session) {
        return connections.keySet().stream()
                .noneMatch(owner -> owner.process.equals(process) && owner.session < session);
    }
}
