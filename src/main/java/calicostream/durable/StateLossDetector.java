// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import java.util.Map;
import java.util.Set;

/**
 * Whether a member still knows all that it promised. Pure: what it found in its own marks and what
 * peers remember of it goes in, the verdict and its reason come out. A member asks before its first
 * vote and before its first acknowledgement, and again whenever a peer tells more, until the answer
 * is not {@link RecoveryVerdict#WAIT}. Waiting costs nothing: without word from a majority no vote
 * can win anyhow.
 */
public final class StateLossDetector {

    private StateLossDetector() {}

    /** How this member stands in its group by its own marks. */
    public enum VotingStatus {
        /** It never promised anything to a group that had admitted it. */
        NEW,
        /** It is admitted, and its promises are in its log. */
        ADMITTED,
        /** It has once forgotten, and was not admitted anew. */
        SUSPENDED
    }

    /** What its log and its marks, written apart, say of each other. */
    public enum StateLoss {
        NONE,
        /**
         * The log ends before what the marks say was synced: an older copy, a lost sync, an empty
         * folder.
         */
        LOG_BEHIND_MARKER,
        /** The marks are older than the log, or gone: then nothing vouches for the log's end. */
        MARKER_BEHIND_LOG,
        /** Both tell of other records at one place: two histories were mixed. */
        HISTORIES_DIVERGED
    }

    /**
     * What a member finds at its opening. {@code incarnation} is this opening's, which no peer can
     * have seen before.
     */
    public record LocalState(
            long incarnation,
            long term,
            String votedFor,
            long lastIndex,
            VotingStatus votingStatus,
            StateLoss stateLoss,
            String facts) {}

    /**
     * What a peer remembers of this member from before this contact. {@code term} is the latest in
     * which this member answered it, {@code acknowledged} the highest index that it acknowledged to
     * it in that term, or 0, {@code voteTerm} the latest term in which it voted for that peer, or
     * 0. {@code alive}: another process of this member's name is connected to the peer right now.
     * {@code grouped}: the peer is a voter of a group that has committed something. All zero and
     * false: it remembers nothing.
     */
    public record PeerObservation(
            long incarnation,
            long term,
            long acknowledgedIndex,
            long voteTerm,
            boolean connectedElsewhere,
            boolean groupFormed) {
        public static final PeerObservation NONE = new PeerObservation(0, 0, 0, 0, false, false);
    }

    public record Assessment(RecoveryVerdict verdict, String reason) {}

    /**
     * {@code others} are the voters beside it that it knows of, {@code founder} whether its
     * settings name it among the first voters.
     */
    public static Assessment assess(
            LocalState own,
            boolean founder,
            Set<String> others,
            Map<String, PeerObservation> told) {
        for (Map.Entry<String, PeerObservation> peer : told.entrySet()) {
            if (peer.getValue().connectedElsewhere())
                return new Assessment(
                        RecoveryVerdict.REFUSE,
                        peer.getKey() + " is connected to another process of this member");
        }
        if (own.stateLoss() != StateLoss.NONE)
            return new Assessment(RecoveryVerdict.LEARNER, own.facts());
        if (own.votingStatus() == VotingStatus.SUSPENDED)
            return new Assessment(
                    RecoveryVerdict.LEARNER,
                    "forgot before and was not admitted anew: " + own.facts());
        for (Map.Entry<String, PeerObservation> peer : told.entrySet()) {
            String forgotten = forgotten(own, peer.getKey(), peer.getValue());
            if (forgotten != null) return new Assessment(RecoveryVerdict.LEARNER, forgotten);
        }
        long heard = others.stream().filter(told::containsKey).count();
        if (own.votingStatus() == VotingStatus.ADMITTED) {
            return heard >= (others.size() + 1) / 2
                    ? new Assessment(RecoveryVerdict.VOTER, "marks and " + heard + " peers agree")
                    : new Assessment(
                            RecoveryVerdict.WAIT,
                            "heard " + heard + " of " + others.size() + " peers");
        }
        if (told.values().stream().anyMatch(PeerObservation::groupFormed))
            return new Assessment(
                    RecoveryVerdict.LEARNER, "the group is founded and has not admitted it");
        if (!founder || own.term() > 0 || own.lastIndex() > 0)
            return new Assessment(RecoveryVerdict.LEARNER, "not admitted by a group yet");
        // A new group begins only once in its life; a majority of blank voters could found a second
        // one beside a voter that is cut off.
        return heard == others.size()
                ? new Assessment(RecoveryVerdict.VOTER, "all first voters are new")
                : new Assessment(
                        RecoveryVerdict.WAIT,
                        "a new group needs all its first voters: heard "
                                + heard
                                + " of "
                                + others.size());
    }

    /**
     * Whether own marks or a peer say so; a member that merely was not admitted yet has forgotten
     * nothing.
     */
    public static boolean hasLostState(LocalState own, Map<String, PeerObservation> told) {
        return own.stateLoss() != StateLoss.NONE
                || own.votingStatus() == VotingStatus.SUSPENDED
                || told.entrySet().stream()
                        .anyMatch(peer -> forgotten(own, peer.getKey(), peer.getValue()) != null);
    }

    private static String forgotten(LocalState own, String peer, PeerObservation seen) {
        if (seen.incarnation() >= own.incarnation())
            return peer
                    + " has seen incarnation "
                    + seen.incarnation()
                    + ", this is "
                    + own.incarnation();
        if (seen.term() > own.term())
            return peer + " has seen term " + seen.term() + ", the log knows " + own.term();
        // Later leaders may cut what an earlier one was acknowledged; within one term an
        // acknowledged entry stays.
        if (seen.term() == own.term() && seen.acknowledgedIndex() > own.lastIndex())
            return peer
                    + " was acknowledged "
                    + seen.acknowledgedIndex()
                    + " in term "
                    + seen.term()
                    + ", the log ends at "
                    + own.lastIndex();
        if (seen.voteTerm() > own.term()
                || seen.voteTerm() == own.term()
                        && seen.voteTerm() > 0
                        && !own.votedFor().equals(peer))
            return peer
                    + " was given the vote of term "
                    + seen.voteTerm()
                    + ", the log knows term "
                    + own.term()
                    + " and a vote for "
                    + (own.votedFor().isEmpty() ? "nobody" : own.votedFor());
        return null;
    }
}
