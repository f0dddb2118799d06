// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.raft.Voter;
import calicostream.cluster.tcp.TcpTransport;
import calicostream.durable.LogStatus;
import java.util.List;
import java.util.Map;

/**
 * What a member tells of itself, as of one moment; immutable, read by any thread.
 *
 * @param why of a state that is none to be in; else empty
 * @param leader its member's number as far as is known here; 0 if not
 * @param noQuorumMillis for how long no quorum was heard of; 0 while that is no longer than normal
 * @param readAgeMillis how old the copy at hand is at most; -1 if there is none, or nobody vouched
 *     for it yet
 * @param proposed proposals here that wait for their decision
 * @param waiting commands of this member that have no answer yet
 * @param session 0 if there is none
 * @param sessionAlive whether nobody can have expired it
 * @param sessionAgeMillis since it was opened
 * @param diskSinceMillis for how long the disk is in its state
 * @param wish how operators' last words fare; empty without any
 * @param layers figures of the layers, JSON objects by their names
 */
record MemberStatus(
        State state,
        String reason,
        Voter self,
        int leader,
        boolean isLeader,
        int term,
        long era,
        long applied,
        List<Voter> voters,
        List<Voter> learners,
        long quorumMissingMillis,
        long stateAgeMillis,
        int pendingProposals,
        int pendingCommands,
        long session,
        boolean sessionAlive,
        long sessionAgeMillis,
        LogStatus disk,
        long diskSinceMillis,
        TcpTransport.Metrics links,
        String commandProgress,
        Map<String, String> serviceMetrics) {
    /** Where a member stands in its group. */
    enum State {
        /**
         * It asks the others what they remember of it, and neither votes nor follows before it
         * knows.
         */
        ASKING,
        /** In no group's list of voters and learners: it has its session and may be added. */
        SPARE,
        /** Follows, and does not vote yet. */
        LEARNER,
        VOTER,
        /**
         * Its copy knows it as a voter or learner and hears of no leader, while its session does:
         * removed, or cut off.
         */
        BEHIND,
        /**
         * Its folder forgot, or may have: it has its session, and its next generation may be added.
         */
        BARRED,
        /** The group does without it: it has its session, and its next generation may be added. */
        REMOVED,
        /** Its voter stopped by itself; it has its session. */
        FAILED,
        /** A planned stop is under way. */
        STOPPING,
        /** Nothing of it runs any more; the front end serves on. */
        DOWN
    }

    MemberStatus withState(State other, String because) {
        return new MemberStatus(
                other,
                because,
                self,
                0,
                false,
                term,
                era,
                applied,
                voters,
                learners,
                quorumMissingMillis,
                stateAgeMillis,
                0,
                pendingCommands,
                0,
                false,
                0,
                disk,
                diskSinceMillis,
                links,
                commandProgress,
                serviceMetrics);
    }
}
