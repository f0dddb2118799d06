// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.config.ClusterConfig;
import calicostream.cluster.raft.Voter;

/** Where a member stands, of what is known at one moment; pure. */
record MemberStateEvaluator(MemberStatus.State state, String reason) {
    /**
     * @param failure why the voter stopped by itself; empty if it did not
     * @param barred why it must not vote; empty if it may
     * @param asking whether its voter has not spoken yet
     * @param voterEnded the library ended it, since its own log says that it was removed
     * @param group as its own copy has it
     * @param copyAgeNanos how old that copy is at most; 0 where nobody vouched for it yet
     */
    static MemberStateEvaluator of(
            boolean stopping,
            String failure,
            String barred,
            boolean voterEnded,
            boolean asking,
            Voter self,
            Membership group,
            int leader,
            boolean sessionAlive,
            long copyAgeNanos,
            long silenceNanos) {
        if (stopping) {
            return new MemberStateEvaluator(MemberStatus.State.STOPPING, "");
        } else if (!failure.isEmpty()) {
            return new MemberStateEvaluator(MemberStatus.State.FAILED, failure);
        } else if (!barred.isEmpty()) {
            return new MemberStateEvaluator(MemberStatus.State.BARRED, barred);
        } else if (voterEnded) {
            return new MemberStateEvaluator(MemberStatus.State.REMOVED, "");
        } else if (asking) {
            return new MemberStateEvaluator(MemberStatus.State.ASKING, "");
        } else if (!group.voters().contains(self) && !group.learners().contains(self)) {
            return new MemberStateEvaluator(MemberStatus.State.SPARE, "");
        } else if (leader == 0 && sessionAlive && copyAgeNanos > 2 * silenceNanos) {
            return new MemberStateEvaluator(
                    MemberStatus.State.BEHIND,
                    "its copy hears of no leader, its session does: removed, or its link from the"
                            + " leader is cut");
        }
        return new MemberStateEvaluator(
                group.voters().contains(self)
                        ? MemberStatus.State.VOTER
                        : MemberStatus.State.LEARNER,
                "");
    }

    /** Whether there is a copy that follows the leader. */
    boolean follows() {
        return state == MemberStatus.State.VOTER || state == MemberStatus.State.LEARNER;
    }

    /**
     * After which a leader is doubted and another one is to be there: a copy hears of a quorum more
     * often.
     */
    static long doubtNanos(ClusterConfig config) {
        return config.raft().heartbeatPeriod().toNanos() * config.raft().missedHeartbeats()
                + config.raft().electionTimeout().toNanos();
    }

    /** The same for a session without a copy, which asks less often. */
    static long silenceNanos(ClusterConfig config) {
        return Math.max(
                doubtNanos(config),
                config.session().ttl().toNanos() / 4 + 2 * config.session().retryDelay().toNanos());
    }
}
