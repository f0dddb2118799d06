// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.HashMap;
import java.util.Map;

/**
 * A simulated engine, which runs and counts all sessions that it is sent. It has no information
 * about grants and rejects nothing.
 */
final class SimulatedEngine {
    /** One incarnation of a process, identified by its cluster session. */
    record Owner(String process, long session) {}

    final String name;
    final String pool;

    /**
     * Whether the engine can count the sessions of a process's earlier incarnations; otherwise it
     * only reports the number of all its sessions.
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
     * Open connections of processes to this incarnation, with the arrival time of the last message
     * on each. Removed once the engine has seen the connection closed.
     */
    final Map<Owner, Long> connections = new HashMap<>();

    SimulatedEngine(String name, String pool, int cap, boolean countsByProcess) {
        this.name = name;
        this.pool = pool;
        this.cap = cap;
        this.countsByProcess = countsByProcess;
        this.capInForce = cap;
    }

    void addSessions(long now, Owner owner, int sessions) {
        sessionNanos += (now - sessionNanosAt) * running;
        sessionNanosAt = now;
        running += sessions;
        sessionsByOwner.merge(owner, sessions, Integer::sum);
    }

    void replace(long now) {
        addSessions(now, new Owner("", 0), 0);
        incarnation++;
        running = 0;
        sessionsByOwner.clear();
        connections.clear();
        capInForce = cap;
    }

    int countSessions(String process, long session, boolean forPredecessors) {
        return sessionsByOwner.entrySet().stream()
                .filter(
                        entry ->
                                entry.getKey().process.equals(process)
                                        && (forPredecessors
                                                ? entry.getKey().session < session
                                                : entry.getKey().session == session))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    boolean allConnectionsClosed(String process, long session) {
        return connections.keySet().stream()
                .noneMatch(owner -> owner.process.equals(process) && owner.session < session);
    }
}
