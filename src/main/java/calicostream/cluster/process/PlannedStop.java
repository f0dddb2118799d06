// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import java.util.List;

/**
 * Orders the steps of a planned stop: pending commands are answered, the session is closed while
 * this member may still lead, the leadership is transferred, and the member ends. Each phase has
 * its share of the time, so that a member without a quorum ends as well. Pure, one thread,
 * monotonic nanoseconds.
 */
final class PlannedStop {
    /** What the member is to do now. */
    enum Step {
        WAIT,
        CLOSE_SESSION,
        TRANSFER_LEADERSHIP,
        END
    }

    private enum Phase {
        DRAINING_COMMANDS,
        CLOSING_SESSION,
        TRANSFERRING_LEADERSHIP,
        FLUSHING
    }

    /** Attempts in half of the whole time, each to another voter. */
    private static final int TRANSFER_ATTEMPTS = 4;

    private final long startedNanos;
    private final long graceNanos;
    private final long flushNanos;
    private Phase phase = Phase.DRAINING_COMMANDS;
    private long phaseStartedNanos;
    private int transferAttempts;
    private int transferTarget;

    /**
     * Starts the stop.
     *
     * @param graceNanos after which the member ends in any case
     * @param flushNanos for sent frames to leave the process
     */
    PlannedStop(long nowNanos, long graceNanos, long flushNanos) {
        startedNanos = nowNanos;
        phaseStartedNanos = nowNanos;
        this.graceNanos = graceNanos;
        this.flushNanos = flushNanos;
    }

    /**
     * The next step; to be called until it is {@link Step#END}.
     *
     * @param pendingCommands commands of the session without an answer
     * @param others members that may lead, the preferred one first
     */
    Step next(long nowNanos, int pendingCommands, boolean isLeader, List<Integer> others) {
        if (nowNanos - startedNanos >= graceNanos) {
            return Step.END;
        }
        if (phase == Phase.DRAINING_COMMANDS) {
            return drainCommands(nowNanos, pendingCommands);
        }
        if (phase == Phase.CLOSING_SESSION) {
            if (!isFlushed(nowNanos)) {
                return Step.WAIT;
            }
            enter(Phase.TRANSFERRING_LEADERSHIP, nowNanos);
        }
        if (phase == Phase.TRANSFERRING_LEADERSHIP) {
            return transferLeadership(nowNanos, isLeader, others);
        }
        return isFlushed(nowNanos) ? Step.END : Step.WAIT;
    }

    private Step drainCommands(long nowNanos, int pendingCommands) {
        if (pendingCommands > 0 && nowNanos - startedNanos < graceNanos / 2) {
            return Step.WAIT;
        }
        enter(Phase.CLOSING_SESSION, nowNanos);
        return Step.CLOSE_SESSION;
    }

    private Step transferLeadership(long nowNanos, boolean isLeader, List<Integer> others) {
        if (!isLeader || others.isEmpty()) {
            enter(Phase.FLUSHING, nowNanos);
            return Step.WAIT;
        }
        long attemptNanos = graceNanos / 2 / TRANSFER_ATTEMPTS;
        if (nowNanos - phaseStartedNanos < transferAttempts * attemptNanos) {
            return Step.WAIT;
        }
        transferTarget = others.get(transferAttempts % others.size());
        transferAttempts++;
        return Step.TRANSFER_LEADERSHIP;
    }

    /** The member that is to lead after the last {@link Lookup#TRANSFER_LEADERSHIP}. */
    int transferTarget() {
        return transferTarget;
    }

    private boolean isFlushed(long nowNanos) {
        return nowNanos - phaseStartedNanos >= flushNanos;
    }

    private void enter(Phase next, long nowNanos) {
        phase = next;
        phaseStartedNanos = nowNanos;
    }
}
