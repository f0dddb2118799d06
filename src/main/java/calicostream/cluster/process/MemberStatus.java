// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.raft.Voter;
import calicostream.cluster.tcp.TcpTransport;
import calicostream.durable.LogStatus;
import java.util.Map;

/**
 * The status of a member at one moment, for operators; immutable, any thread.
 *
 * @param commandProgress of the operators' last command; empty without any
 * @param serviceMetrics JSON objects by the names of the services
 */
record MemberStatus(
        Voter self,
        Condition condition,
        Leadership leadership,
        Replica replica,
        Session session,
        Resources resources,
        String commandProgress,
        Map<String, String> serviceMetrics) {
    /** A member's place in its group. Operators see each state under its stable JSON name. */
    enum State {
        /** Its voter waits for its peers' answers and neither votes nor follows. */
        RECOVERING("asking"),
        /** In no membership: it has its session and may be added. */
        SPARE("spare"),
        /** Follows the leader and does not vote yet. */
        LEARNER("learner"),
        /** Follows the leader and votes. */
        VOTER("voter"),
        /**
         * Its copy knows it as a voter or learner and hears of no leader, while its session does:
         * it was removed, or its link from the leader is cut.
         */
        BEHIND("behind"),
        /** It lost state, or may have: it has its session, its next generation may be added. */
        BARRED("barred"),
        /** It was removed: it has its session, its next generation may be added. */
        REMOVED("removed"),
        /** Its voter stopped by itself; it has its session. */
        FAILED("failed"),
        /** A planned stop is under way. */
        STOPPING("stopping"),
        /** Its thread ended; the front end goes on. */
        DOWN("down");

        private final String jsonName;

        State(String jsonName) {
            this.jsonName = jsonName;
        }

        String jsonName() {
            return jsonName;
        }
    }

    /**
     * The state with its reason.
     *
     * @param reason of a state that needs attention; else empty
     */
    record Condition(State state, String reason) {
        /** Whether there is a copy of the state that follows the leader. */
        boolean isFollowing() {
            return state == State.VOTER || state == State.LEARNER;
        }
    }

    /**
     * Who leads.
     *
     * @param leader its member number as far as is known here; 0 if it is not
     * @param isSelf whether this member leads
     * @param epoch the log index at which the leader began
     * @param quorumMissingMillis for how long there was no sign of a quorum; 0 while that is normal
     */
    record Leadership(int leader, boolean isSelf, int term, long epoch, long quorumMissingMillis) {}

    /**
     * This member's copy of the replicated state.
     *
     * @param ageMillis the greatest age it can have; -1 if it is not known
     * @param pendingProposals of this voter that are not decided yet
     */
    record Replica(
            long appliedIndex, Membership membership, long ageMillis, int pendingProposals) {}

    /**
     * This member's session.
     *
     * @param id 0 if there is none
     * @param isAlive whether nobody can have expired it
     * @param ageMillis since it was opened
     * @param pendingCommands that have no answer yet
     */
    record Session(long id, boolean isAlive, long ageMillis, int pendingCommands) {}

    /**
     * Disk and links.
     *
     * @param diskStateMillis for how long the disk is in its state
     */
    record Resources(LogStatus disk, long diskStateMillis, TcpTransport.Metrics links) {}

    State state() {
        return condition.state;
    }

    /** The last status of a member whose thread ended: it neither leads nor has a session. */
    MemberStatus down(String reason) {
        return new MemberStatus(
                self,
                new Condition(State.DOWN, reason),
                new Leadership(
                        0,
                        false,
                        leadership.term,
                        leadership.epoch,
                        leadership.quorumMissingMillis),
                new Replica(replica.appliedIndex, replica.membership, replica.ageMillis, 0),
                new Session(0, false, 0, session.pendingCommands),
                resources,
                commandProgress,
                serviceMetrics);
    }
}
