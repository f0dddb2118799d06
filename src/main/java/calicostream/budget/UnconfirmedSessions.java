// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Sessions that were abandoned without the engine's confirmation of their end. They count as in use
 * until the engine's counts prove that they have ended. An engine's count covers the sessions of
 * all processes, so it is an upper bound on this process's own. Owned by one thread; times are in
 * nanoseconds of the process's clock.
 */
public final class UnconfirmedSessions {
    /**
     * An abandoned session.
     *
     * @param joinNumber number of this process's join under which it was started
     * @param abandonedAt when it was abandoned
     */
    public record UnconfirmedSession(
            int joinNumber, int tenant, int engine, long incarnation, long abandonedAt) {}

    private final long maxTransitNanos;

    /** By engine, oldest first. */
    private final Map<Integer, ArrayDeque<UnconfirmedSession>> byEngine = new HashMap<>();

    /**
     * Creates an empty collection.
     *
     * @param maxTransitNanos time after which an abandoned session is no longer in transit: by then
     *     its connection has delivered it or is closed
     */
    public UnconfirmedSessions(long maxTransitNanos) {
        this.maxTransitNanos = maxTransitNanos;
    }

    /** Adds a session; the sessions of one engine must be added in order of their times. */
    public void add(UnconfirmedSession session) {
        byEngine.computeIfAbsent(session.engine(), engine -> new ArrayDeque<>()).add(session);
    }

    /**
     * Applies an engine's count of the sessions of all processes.
     *
     * @param requestedAt when the count was requested
     * @return the sessions that the count proves to have ended; they are removed
     */
    public List<UnconfirmedSession> engineCounted(int engine, long requestedAt, int running) {
        ArrayDeque<UnconfirmedSession> sessions = byEngine.getOrDefault(engine, new ArrayDeque<>());
        long notInTransitCount =
                sessions.stream()
                        .filter(session -> requestedAt - session.abandonedAt() >= maxTransitNanos)
                        .count();
        List<UnconfirmedSession> ended = new ArrayList<>();
        // Which of the sessions still run is unknown and makes no difference, so the oldest are
        // taken as ended.
        for (long excess = notInTransitCount - running; excess > 0; excess--) {
            ended.add(sessions.poll());
        }
        return ended;
    }

    /** Removes the sessions of a replaced engine, which have ended with it. */
    public void engineReplaced(int engine) {
        byEngine.remove(engine);
    }

    /** The number of unconfirmed sessions at all engines. */
    public int size() {
        return byEngine.values().stream().mapToInt(ArrayDeque::size).sum();
    }
}
