// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.HashMap;
import java.util.Map;

/**
 * A stand-in engine, which runs what it is sent and counts it; it knows no grant and refuses
 * nothing.
 */
final class SimulatedEngine {
    /** One start of a process, as the engine tells them apart. */
    record Owner(String process, long session) {}

    final String name;
    final String pool;

    /**
     * Whether it tells a process what that process's earlier starts have there, or only how many
     * sessions it has in all.
     */
    final boolean countsByProcess;

    long incarnation = 1;
    int cap;
    int running;

    /** What the checker last saw to be in force. */
    int capInForce;

    long sessionNanos;
    long sessionNanosAt;
    final Map<Owner, Integer> sessionsByOwner = new HashMap<>();

    /**
     * Links that processes have to this incarnation: until when each is busy; gone once the engine
     * saw it closed.
     */
    final Map<Owner, Long> connections = new HashMap<>();

    SimulatedEngine(String name, String pool, int cap, boolean tellsByProcess) {
        this.name = name;
        this.pool = pool;
        this.cap = cap;
        this.countsByProcess = tellsByProcess;
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
