// SPDX-License-Identifier: Apache-2.0
package calicostream.budget.process;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Relates engines' counts of sessions to the questions that they answer: load probes that are open,
 * and the coordinator's requests for a count. Front end's loop only; nanoseconds of its clock.
 */
final class EngineCountTracker {
    private record PendingRequest(BudgetMailbox.CountRequest request, long receivedAt) {}

    private final BudgetMailbox mailbox;

    /** By engine id: when each open probe was sent, oldest first. */
    private final Map<Long, ArrayDeque<Long>> probesSentAt = new HashMap<>();

    /** By engine id. */
    private final Map<Long, PendingRequest> requests = new HashMap<>();

    EngineCountTracker(BudgetMailbox mailbox) {
        this.mailbox = mailbox;
    }

    void probeSent(long engine, long now) {
        probesSentAt.computeIfAbsent(engine, id -> new ArrayDeque<>()).add(now);
    }

    /**
     * A probe of the engine has ended; which one is not known, so it may have been the oldest.
     *
     * @return when the oldest open one was sent; null if none is open
     */
    Long probeEnded(long engine) {
        ArrayDeque<Long> open = probesSentAt.get(engine);
        if (open == null) {
            return null;
        }
        Long oldest = open.peekFirst();
        open.pollLast();
        return oldest;
    }

    /** The coordinator wants a count of the engine that is asked for from now on. */
    void countRequested(long engine, BudgetMailbox.CountRequest request, long now) {
        requests.put(engine, new PendingRequest(request, now));
    }

    /**
     * The engine has counted its sessions.
     *
     * @param askedAt when the question was sent; one from before the coordinator's request proves
     *     nothing of what started since
     */
    void counted(long engine, long incarnation, int running, long askedAt) {
        PendingRequest pending = requests.get(engine);
        if (pending != null && askedAt >= pending.receivedAt()) {
            requests.remove(engine);
            mailbox.publishCount(
                    BudgetedEngines.name(engine),
                    new BudgetMailbox.EngineCount(
                            incarnation, running, pending.request().knownIndex()));
        }
    }
}
