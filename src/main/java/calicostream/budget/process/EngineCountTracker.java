// SPDX-License-Identifier: Apache-2.0
package calicostream.budget.process;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Matches engines' session counts to the load probes in flight and to the coordinator's count
 * requests. Must be used on the front end's loop; times are in nanoseconds of its clock.
 */
final class EngineCountTracker {
    private record PendingRequest(BudgetMailbox.CountRequest request, long receivedAt) {}

    private final BudgetMailbox mailbox;

    /** By engine id: when each probe in flight was sent, oldest first. */
    private final Map<Long, ArrayDeque<Long>> probesSentAt = new HashMap<>();

    /** By engine id: the coordinator's latest request. */
    private final Map<Long, PendingRequest> requests = new HashMap<>();

    EngineCountTracker(BudgetMailbox mailbox) {
        this.mailbox = mailbox;
    }

    void probeSent(long engine, long now) {
        probesSentAt.computeIfAbsent(engine, id -> new ArrayDeque<>()).add(now);
    }

    /**
     * Records that a probe of the engine has ended. Which one is unknown, so the oldest time is
     * assumed.
     *
     * @return when the oldest probe in flight was sent; null if there is none
     */
    Long probeEnded(long engine) {
        ArrayDeque<Long> probesInFlight = probesSentAt.get(engine);
        if (probesInFlight == null) {
            return null;
        }
        Long oldestSentAt = probesInFlight.peekFirst();
        probesInFlight.pollLast();
        return oldestSentAt;
    }

    /** Records a coordinator's request: a count of the engine requested at this time or later. */
    void countRequested(long engine, BudgetMailbox.CountRequest request, long now) {
        requests.put(engine, new PendingRequest(request, now));
    }

    /**
     * Publishes an engine's count if it satisfies the coordinator's request.
     *
     * @param requestedAt when the count was requested; a count requested before the coordinator's
     *     request may miss sessions that started in between
     */
    void countReceived(long engine, long incarnation, int running, long requestedAt) {
        PendingRequest pending = requests.get(engine);
        if (pending != null && requestedAt >= pending.receivedAt()) {
            requests.remove(engine);
            mailbox.publishCount(
                    BudgetedEngines.engineName(engine),
                    new BudgetMailbox.EngineCount(
                            incarnation, running, pending.request().appliedIndex()));
        }
    }
}
