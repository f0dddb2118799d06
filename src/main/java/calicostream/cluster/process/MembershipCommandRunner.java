// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

/**
 * A wish of operators on its way: when the next step is due, and when it is over. It is one
 * leader's; who leads next knows nothing of it, and what is reached by then stays. Pure, one
 * thread, monotonic nanoseconds.
 */
final class MembershipCommandRunner {
    private final MembershipCommand command;
    private final long sinceNanos;
    private final long stepNanos;
    private final long longestNanos;
    private boolean out;
    private long stepAt;
    private String last = "";
    private String end = "";

    /**
     * @param stepNanos between two steps; @param longestNanos after which it is given up
     */
    MembershipCommandRunner(
            MembershipCommand wish, long nowNanos, long stepNanos, long longestNanos) {
        this.command = wish;
        sinceNanos = nowNanos;
        stepAt = nowNanos;
        this.stepNanos = stepNanos;
        this.longestNanos = longestNanos;
    }

    MembershipCommand command() {
        return command;
    }

    boolean isFinished() {
        return !end.isEmpty();
    }

    /**
     * Whether a step is to be taken now; its end is to be told, unless it is a hand-over, which has
     * none.
     */
    boolean isDue(long nowNanos, boolean leads, int leader, Membership group) {
        if (isFinished()) {
            return false;
        }
        if (command instanceof MembershipCommand.ChangeVoters change
                        && group.voters().size() == change.wantedVoters().size()
                        && group.voters().containsAll(change.wantedVoters())
                        && group.learners().isEmpty()
                || command instanceof MembershipCommand.TransferLeadership lead
                        && leader == lead.target().member()) {
            end = "done";
        } else if (!leads && leader != 0) {
            end = "member " + leader + " leads now: see what holds there, and say it there again";
        } else if (nowNanos - sinceNanos > longestNanos) {
            end = "given up" + (last.isEmpty() ? "" : ", last: " + last);
        } else if (leads
                && (!out || nowNanos - stepAt > 10 * stepNanos)
                && nowNanos - stepAt >= 0) {
            out = command instanceof MembershipCommand.ChangeVoters;
            stepAt = nowNanos + stepNanos;
            return true;
        }
        return false;
    }

    /** A step ended; {@code error} is empty if it went well. */
    void onStepCompleted(String error) {
        out = false;
        last = error;
    }

    /** For operators, one line. */
    String progress() {
        return command.text()
                + ": "
                + (isFinished() ? end : "under way" + (last.isEmpty() ? "" : ", last: " + last));
    }
}
