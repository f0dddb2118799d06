// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds, at the leader, the sessions whose members were silent for their time to live. The monitor
 * measures from when it sees a renewal, which is never before the member sent it, and adds a bound
 * on clock drift. So its measurement ends after the member's own ({@link #safeLifetimeNanos}) has
 * ended. A new epoch discards all measurements. Pure; used by one thread, beside a {@link
 * ReplicatedState}.
 */
public final class SessionExpiryMonitor {
    /** Clocks drift by at most 500 ppm; each side sets aside twice that, a 1000th. */
    private static final long DRIFT_DIVISOR = 1000;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Time since the renewal at {@code renewedIndex} was first seen. */
    private record Silence(long renewedIndex, long sinceNanos) {}

    private final ReplicatedState state;
    private final long periodNanos;
    private final Map<Long, Silence> silences = new HashMap<>();
    private long epoch;
    private long lastNanos;

    /**
     * Starts without measurements.
     *
     * @param state read only
     * @param periodNanos at which {@link #expiredSessions} is called unless this process is paused
     */
    public SessionExpiryMonitor(ReplicatedState state, long periodNanos) {
        this.state = state;
        this.periodNanos = periodNanos;
    }

    /**
     * For how long a member may rely on its session, measured from when it sent the request that
     * was then answered.
     */
    public static long safeLifetimeNanos(int ttlMillis) {
        long ttlNanos = ttlMillis * NANOS_PER_MILLI;
        return ttlNanos - ttlNanos / DRIFT_DIVISOR;
    }

    /**
     * Finds the sessions that have expired.
     *
     * @param nowNanos of a monotonic clock
     * @return entries to propose; may repeat ones that are not applied yet
     */
    public List<ReplicatedEntry.ExpireSession> expiredSessions(long nowNanos) {
        if (epoch != state.epoch()) {
            epoch = state.epoch();
            silences.clear();
            lastNanos = nowNanos;
        }
        // While this process was paused it could receive no renewal: its own silence is not theirs.
        long pausedNanos = Math.max(0, nowNanos - lastNanos - 2 * periodNanos);
        lastNanos = nowNanos;
        silences.keySet().removeIf(id -> !state.isAlive(id));
        List<ReplicatedEntry.ExpireSession> expired = new ArrayList<>();
        for (SessionTable.Session session : state.sessions().alive()) {
            if (isExpired(session, nowNanos, pausedNanos)) {
                expired.add(
                        new ReplicatedEntry.ExpireSession(
                                epoch, session.id(), session.renewedIndex()));
            }
        }
        return expired;
    }

    private boolean isExpired(SessionTable.Session session, long nowNanos, long pausedNanos) {
        Silence silence = silences.get(session.id());
        if (silence == null || silence.renewedIndex != session.renewedIndex()) {
            silences.put(session.id(), new Silence(session.renewedIndex(), nowNanos));
            return false;
        }
        if (pausedNanos > 0) {
            silence = new Silence(silence.renewedIndex, silence.sinceNanos + pausedNanos);
            silences.put(session.id(), silence);
        }
        long ttlNanos = session.ttlMillis() * NANOS_PER_MILLI;
        return nowNanos - silence.sinceNanos > ttlNanos + ttlNanos / DRIFT_DIVISOR;
    }
}
