// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The leader's count of the members' silence; pure, one thread, beside a {@link ReplicatedState}.
 * It starts each count when it sees that a member was heard, which is never before the member
 * spoke, and adds a bound on drift: so it comes to an end after the member's own count ({@link
 * #surelyAliveNanos}) did. A new era forgets all counts.
 */
public final class SessionExpiryMonitor {
    /** Clocks differ by at most 500 ppm; both sides set aside twice that. */
    private static final long DRIFT = 1000;

    private record Count(long renewed, long sinceNanos) {}

    private final ReplicatedState state;
    private final long periodNanos;
    private final Map<Long, Count> counts = new HashMap<>();
    private long era;
    private long lastNanos;

    /**
     * @param periodNanos at which {@link #due} is called when this process is not stopped
     */
    public SessionExpiryMonitor(ReplicatedState state, long periodNanos) {
        this.state = state;
        this.periodNanos = periodNanos;
    }

    /**
     * For how long after it sent what was then answered a member may take its session for alive.
     */
    public static long safeLifetimeNanos(int ttlMillis) {
        long ttl = ttlMillis * 1_000_000L;
        return ttl - ttl / DRIFT;
    }

    /**
     * What to propose now: sessions whose members were silent for all of their time. May repeat
     * itself.
     */
    public List<ReplicatedEntry.ExpireSession> expiredSessions(long nowNanos) {
        if (era != state.epoch()) {
            era = state.epoch();
            counts.clear();
            lastNanos = nowNanos;
        }
        // While this process was stopped nobody could be heard by it; its own silence is not
        // theirs.
        long stopped = Math.max(0, nowNanos - lastNanos - 2 * periodNanos);
        lastNanos = nowNanos;
        List<ReplicatedEntry.ExpireSession> due = new ArrayList<>();
        counts.keySet().removeIf(id -> !state.isAlive(id));
        for (SessionTable.Session session : state.sessions().alive()) {
            Count count = counts.get(session.id);
            if (count == null || count.renewed != session.renewed()) {
                counts.put(session.id, new Count(session.renewed(), nowNanos));
                continue;
            }
            if (stopped > 0) {
                count = new Count(count.renewed, count.sinceNanos + stopped);
                counts.put(session.id, count);
            }
            long ttl = session.ttlMillis * 1_000_000L;
            if (nowNanos - count.sinceNanos > ttl + ttl / DRIFT) {
                due.add(new ReplicatedEntry.ExpireSession(era, session.id, session.renewed()));
            }
        }
        return due;
    }
}
