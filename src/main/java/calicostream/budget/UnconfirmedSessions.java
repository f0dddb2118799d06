// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Sessions given up without their engine's word that they have ended: they count until it tells.
 * Engines that can't tell sessions by process tell how many run in all, which is more than any
 * process's own. Owned by one thread; nanoseconds of the process's clock.
 */
public final class UnconfirmedSessions {
    /**
     * @param start under which of this process's sessions at the cluster it was begun, by number
     */
    public record UnconfirmedSession(
            int joinNumber, int tenant, int engine, long incarnation, long abandonedAt) {}

    private final long travelNanos;
    private final Map<Integer, ArrayDeque<UnconfirmedSession>> byEngine = new HashMap<>();

    /**
     * @param travelNanos after which what was given up is no longer on its way: its connection is
     *     closed or carried the word before then
     */
    public UnconfirmedSessions(long travelNanos) {
        this.travelNanos = travelNanos;
    }

    public void add(UnconfirmedSession doubt) {
        byEngine.computeIfAbsent(doubt.engine, engine -> new ArrayDeque<>()).add(doubt);
    }

    /**
     * The engine counted that many sessions of all processes, in answer to a question of that time.
     *
     * @return those that have ended by now for sure; each is told once
     */
    public List<UnconfirmedSession> engineCounted(int engine, long askedAt, int running) {
        ArrayDeque<UnconfirmedSession> doubts = byEngine.getOrDefault(engine, new ArrayDeque<>());
        List<UnconfirmedSession> ended = new ArrayList<>();
        long old =
                doubts.stream().filter(doubt -> askedAt - doubt.abandonedAt >= travelNanos).count();
        for (;
                old > running;
                old--) { // Which of them runs on is not known, and does not matter: the oldest are
            // taken first.
            ended.add(doubts.poll());
        }
        return ended;
    }

    /** The engine was replaced: nothing runs on. */
    public void engineReplaced(int engine) {
        byEngine.remove(engine);
    }

    public int size() {
        return byEngine.values().stream().mapToInt(ArrayDeque::size).sum();
    }
}
