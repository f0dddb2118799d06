// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.config.ClusterConfig;
import calicostream.cluster.process.MemberStatus.Condition;
import calicostream.cluster.process.MemberStatus.State;
import calicostream.cluster.raft.Voter;

/** Derives a member's state from what is known of it at one moment. Pure, stateless. */
final class MemberStateEvaluator {
    /** A copy that no leader confirmed for so many silence limits is behind. */
    private static final int BEHIND_FACTOR = 2;

    /**
     * What is known of the member's voter.
     *
     * @param failure why it stopped by itself; empty if it did not
     * @param barredReason why it must not vote; empty if it may
     * @param membership by its own copy
     */
    record VoterView(
            String failure, String barredReason, LocalVoter.Phase phase, Membership membership) {}

    /**
     * What is known of the leader.
     *
     * @param leader by the voter's own copy; 0 if it knows none
     * @param copyAgeNanos the greatest age of that copy; 0 if no leader confirmed it yet
     * @param silenceLimitNanos of {@link #silenceLimitNanos}
     */
    record LeaderContact(
            int leader, boolean isSessionAlive, long copyAgeNanos, long silenceLimitNanos) {
        boolean isBehind() {
            return leader == 0
                    && isSessionAlive
                    && copyAgeNanos > BEHIND_FACTOR * silenceLimitNanos;
        }
    }

    private MemberStateEvaluator() {}

    static Condition evaluate(
            boolean isStopping, Voter self, VoterView voter, LeaderContact contact) {
        if (isStopping) {
            return new Condition(State.STOPPING, "");
        }
        if (!voter.failure.isEmpty()) {
            return new Condition(State.FAILED, voter.failure);
        }
        if (!voter.barredReason.isEmpty()) {
            return new Condition(State.BARRED, voter.barredReason);
        }
        if (voter.phase == LocalVoter.Phase.ENDED) {
            return new Condition(State.REMOVED, "");
        }
        if (voter.phase == LocalVoter.Phase.RECOVERING) {
            return new Condition(State.RECOVERING, "");
        }
        boolean isVoter = voter.membership.voters().contains(self);
        if (!isVoter && !voter.membership.learners().contains(self)) {
            return new Condition(State.SPARE, "");
        }
        if (contact.isBehind()) {
            return new Condition(
                    State.BEHIND,
                    "its copy hears of no leader, its session does: removed, or its link from the"
                            + " leader is cut");
        }
        return new Condition(isVoter ? State.VOTER : State.LEARNER, "");
    }

    /** How long a following copy can normally be without a sign of a quorum: one election. */
    static long electionLimitNanos(ClusterConfig config) {
        return config.raft().heartbeatPeriod().toNanos() * config.raft().missedHeartbeats()
                + config.raft().electionTimeout().toNanos();
    }

    /** The same for a session without a copy, which contacts the leader less often. */
    static long silenceLimitNanos(ClusterConfig config) {
        long keepAliveNanos = config.session().ttl().toNanos() / 4;
        long retriesNanos = 2 * config.session().retryDelay().toNanos();
        return Math.max(electionLimitNanos(config), keepAliveNanos + retriesNanos);
    }
}
