// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import java.util.List;

/**
 * The order of a planned stop: what waits is answered, the session is closed while this member may
 * still lead, the lead is handed over, and then it ends. Each step has its share of the time, so
 * that a member without a quorum ends as well. Pure, one thread, monotonic nanoseconds.
 */
final class PlannedStop {
    /** What to do now. */
    enum Step {
        WAIT,
        CLOSE_SESSION,
        TRANSFER_LEADERSHIP,
        END
    }

    private enum Phase {
        ANSWERS,
        SESSION,
        LEAD,
        LAST_WORDS
    }

    private static final int TRIES = 4; // of a hand-over in half of the time, each to another voter
    private final long sinceNanos;
    private final long graceNanos;
    private final long lastWordsNanos;
    private Phase phase = Phase.ANSWERS;
    private long phaseSince;
    private int tries;
    private int transferTarget;

    /**
     * @param lastWordsNanos for what was said last to go out
     */
    PlannedStop(long nowNanos, long graceNanos, long lastWordsNanos) {
        sinceNanos = nowNanos;
        phaseSince = nowNanos;
        this.graceNanos = graceNanos;
        this.lastWordsNanos = lastWordsNanos;
    }

    /**
     * @param waiting commands of the session without an answer; @param others who may lead, whom to
     *     ask first at the front
     */
    Step next(long nowNanos, int waiting, boolean leads, List<Integer> others) {
        long spent = nowNanos - sinceNanos;
        if (spent >= graceNanos) {
            return Step.END;
        }
        switch (phase) {
            case ANSWERS -> {
                if (waiting == 0 || spent >= graceNanos / 2) {
                    go(Phase.SESSION, nowNanos);
                    return Step.CLOSE_SESSION;
                }
            }
            case SESSION -> {
                if (nowNanos - phaseSince >= lastWordsNanos) {
                    go(Phase.LEAD, nowNanos);
                    return next(nowNanos, waiting, leads, others);
                }
            }
            case LEAD -> {
                if (!leads || others.isEmpty()) {
                    go(Phase.LAST_WORDS, nowNanos);
                } else if (nowNanos - phaseSince >= tries * (graceNanos / 2 / TRIES)) {
                    transferTarget = others.get(tries++ % others.size());
                    return Step.TRANSFER_LEADERSHIP;
                }
            }
            case LAST_WORDS -> {
                if (nowNanos - phaseSince >= lastWordsNanos) {
                    return Step.END;
                }
            }
        }
        return Step.WAIT;
    }

    /** Whom the last {@link Lookup#TRANSFER_LEADERSHIP} is to. */
    int transferTarget() {
        return transferTarget;
    }

    private void go(Phase next, long nowNanos) {
        phase = next;
        phaseSince = nowNanos;
    }
}
