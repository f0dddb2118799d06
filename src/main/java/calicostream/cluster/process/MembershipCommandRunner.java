// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

/**
 * Schedules the steps of a command of operators and ends it. The command is one leader's: the next
 * leader knows nothing of it, and what is reached by then stays. Pure, one thread, monotonic
 * nanoseconds.
 */
final class MembershipCommandRunner {
    /** A step whose end was not reported for so many periods is repeated. */
    private static final int LOST_STEP_PERIODS = 10;

    private static final String UNDER_WAY = "under way";

    private final MembershipCommand command;
    private final long startedNanos;
    private final long stepPeriodNanos;
    private final long timeoutNanos;
    private boolean isStepRunning;
    private long nextStepNanos;
    private String lastError = "";
    private String result = "";

    /**
     * Starts a command.
     *
     * @param stepPeriodNanos between two steps
     * @param timeoutNanos after which the command is given up
     */
    MembershipCommandRunner(
            MembershipCommand command, long nowNanos, long stepPeriodNanos, long timeoutNanos) {
        this.command = command;
        startedNanos = nowNanos;
        nextStepNanos = nowNanos;
        this.stepPeriodNanos = stepPeriodNanos;
        this.timeoutNanos = timeoutNanos;
    }

    MembershipCommand command() {
        return command;
    }

    boolean isFinished() {
        return !result.isEmpty();
    }

    /**
     * Whether a step is to be taken now. The end of a step is to be reported to {@link
     * #onStepCompleted}, but for a leadership transfer, which reports none.
     *
     * @param leader its member number; 0 if none is known
     */
    boolean isDue(long nowNanos, boolean isLeader, int leader, Membership membership) {
        if (isFinished()) {
            return false;
        }
        if (isReached(leader, membership)) {
            result = "done";
        } else if (!isLeader && leader != 0) {
            result =
                    "member " + leader + " leads now: see what holds there, and say it there again";
        } else if (nowNanos - startedNanos > timeoutNanos) {
            result = "given up" + lastErrorSuffix();
        } else if (isLeader && isStepDue(nowNanos)) {
            isStepRunning = command instanceof MembershipCommand.ChangeVoters;
            nextStepNanos = nowNanos + stepPeriodNanos;
            return true;
        }
        return false;
    }

    private boolean isReached(int leader, Membership membership) {
        if (command instanceof MembershipCommand.ChangeVoters change) {
            return membership.voters().size() == change.wantedVoters().size()
                    && membership.voters().containsAll(change.wantedVoters())
                    && membership.learners().isEmpty();
        }
        return command instanceof MembershipCommand.TransferLeadership transfer
                && leader == transfer.target().member();
    }

    private boolean isStepDue(long nowNanos) {
        long overdueNanos = nowNanos - nextStepNanos;
        return overdueNanos >= 0
                && (!isStepRunning || overdueNanos > LOST_STEP_PERIODS * stepPeriodNanos);
    }

    /**
     * A step ended.
     *
     * @param error empty if it succeeded
     */
    void onStepCompleted(String error) {
        isStepRunning = false;
        lastError = error;
    }

    /** The command with its progress, one line for operators, who rely on its form. */
    String progress() {
        return command.text() + ": " + (isFinished() ? result : UNDER_WAY + lastErrorSuffix());
    }

    /** Whether a line of {@link #progress} is that of a command that has not finished. */
    static boolean isUnderWay(String progress) {
        return progress.contains(": " + UNDER_WAY);
    }

    private String lastErrorSuffix() {
        return lastError.isEmpty() ? "" : ", last: " + lastError;
    }
}
