// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

/**
 * A wish of operators on its way: when the next step is due, and when it is over. It is one
 * leader's; who leads next knows nothing of it, and what is reached by then stays. Pure, one
 * thread, monotonic nanoseconds.
 */
final class MembershipCommandRunner {
    private final MembershipCommand wish;
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
        this.wish = wish;
        sinceNanos = nowNanos;
        stepAt = nowNanos;
        this.stepNanos = stepNanos;
        this.longestNanos = longestNanos;
    }

    MembershipCommand wish() {
        return wish;
    }

    boolean isOver() {
        return !end.isEmpty();
    }

    /**
     * Whether a step is to be taken now; its end is to be told, unless it is a hand-over, which has
     * none.
     */
    boolean isDue(long nowNanos, boolean leads, int leader, Membership group) {
        if (isOver()) {
            return false;
        }
        if (wish instanceof MembershipCommand.Voters change
                        && group.voters().size() == change.wanted().size()
                        && group.voters().containsAll(change.wanted())
                        && group.learners().isEmpty()
                || wish instanceof MembershipCommand.Lead lead && leader == lead.to().member()) {
            end = "done";
        } else if (!leads && leader != 0) {
            end = "member " + leader + " leads now: see what holds there, and say it there again";
        } else if (nowNanos - sinceNanos > longestNanos) {
            end = "given up" + (last.isEmpty() ? "" : ", last: " + last);
        } else if (leads
                && (!out || nowNanos - stepAt > 10 * stepNanos)
                && nowNanos - stepAt >= 0) {
            out = wish instanceof MembershipCommand.Voters;
            stepAt = nowNanos + stepNanos;
            return true;
        }
        return false;
    }

    /** A step ended; {@code error} is empty if it went well. */
    void stepEnded(String error) {
        out = false;
        last = error;
    }

    /** For operators, one line. */
    String words() {
        return wish.words()
                + ": "
                + (isOver() ? end : "under way" + (last.isEmpty() ? "" : ", last: " + last));
    }
}
