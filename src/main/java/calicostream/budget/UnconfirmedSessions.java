// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Sessions that were given up without their engine's confirmation that they have ended: they count
 * until its counts prove it. Engines tell how many sessions they run in all, which is at least any
 * process's own. Owned by one thread; nanoseconds of the process's clock.
 */
public final class UnconfirmedSessions {
    /**
     * A session that was given up.
     *
     * @param joinNumber under which of this process's joins it was started
     * @param abandonedAt when it was given up
     */
    public record UnconfirmedSession(
            int joinNumber, int tenant, int engine, long incarnation, long abandonedAt) {}

    private final long maxTransitNanos;

    /** Oldest first, by engine. */
    private final Map<Integer, ArrayDeque<UnconfirmedSession>> byEngine = new HashMap<>();

    /**
     * No unconfirmed sessions.
     *
     * @param maxTransitNanos after which what was given up is no longer in transit: its connection
     *     is closed or has delivered the session before then
     */
    public UnconfirmedSessions(long maxTransitNanos) {
        this.maxTransitNanos = maxTransitNanos;
    }

    /** Adds a session; those of one engine are added in the order of their times. */
    public void add(UnconfirmedSession session) {
        byEngine.computeIfAbsent(session.engine(), engine -> new ArrayDeque<>()).add(session);
    }

    /**
     * The engine counted that many sessions of all processes, in answer to a question of that time.
     *
     * @return the sessions that are known by this to have ended; each is returned once
     */
    public List<UnconfirmedSession> engineCounted(int engine, long askedAt, int running) {
        ArrayDeque<UnconfirmedSession> sessions = byEngine.getOrDefault(engine, new ArrayDeque<>());
        long notInTransit =
                sessions.stream()
                        .filter(each -> askedAt - each.abandonedAt() >= maxTransitNanos)
                        .count();
        List<UnconfirmedSession> ended = new ArrayList<>();
        // Which of them still run is not known and makes no difference: the oldest are returned.
        for (long excess = notInTransit - running; excess > 0; excess--) {
            ended.add(sessions.poll());
        }
        return ended;
    }

    /** The engine was replaced: none of its sessions run any more. */
    public void engineReplaced(int engine) {
        byEngine.remove(engine);
    }

    /** How many sessions are unconfirmed, at all engines. */
    public int size() {
        return byEngine.values().stream().mapToInt(ArrayDeque::size).sum();
    }
}
