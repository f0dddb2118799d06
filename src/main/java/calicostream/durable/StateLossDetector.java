// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides whether a member still has all state that it acknowledged to its peers. Pure: the input
 * is what the member finds in its own files and what peers observed of it before; the output is a
 * verdict with its reason. A member asks before its first vote and its first acknowledgement, and
 * again whenever another peer reports, until the verdict is not {@link RecoveryVerdict#WAIT}.
 * Waiting costs nothing: without answers from a majority it can't win an election anyway.
 */
public final class StateLossDetector {
    private StateLossDetector() {}

    /** Whether a member may vote, by its own files. */
    public enum VotingStatus {
        /** It never acknowledged anything to a group that had admitted it. */
        NEW(0),
        /** It is admitted, and what it acknowledged is in its log. */
        ADMITTED(1),
        /** It lost state, and was not admitted again since. */
        SUSPENDED(2);

        private static final VotingStatus[] STATUSES = values();

        private final int code;

        VotingStatus(int code) {
            this.code = code;
        }

        /** The number that stands for this status in files; it never changes. */
        int code() {
            return code;
        }

        /**
         * The status of a number in a file.
         *
         * @throws IllegalArgumentException if there is none
         */
        static VotingStatus ofCode(int code) {
            for (VotingStatus status : STATUSES) {
                if (status.code == code) {
                    return status;
                }
            }
            throw new IllegalArgumentException("no voting status " + code);
        }
    }

    /** What the comparison of the log with the separately written marker shows. */
    public enum StateLoss {
        /** Log and marker agree. */
        NONE,
        /**
         * The log ends before the record that the marker names as synced: an older copy, a lost
         * sync or an empty directory.
         */
        LOG_BEHIND_MARKER,
        /** The marker is older than the log, or missing: nothing proves where the log ended. */
        MARKER_BEHIND_LOG,
        /** Log and marker have different records of the same number: two histories were mixed. */
        HISTORIES_DIVERGED
    }

    /**
     * What a member finds when it opens its log.
     *
     * @param incarnation the number of this opening, which no peer can have seen before
     * @param term the latest term in the log
     * @param votedFor the candidate that got its vote in {@code term}; empty for none
     * @param lastIndex index of the last entry
     * @param votingStatus its voting status
     * @param stateLoss what the comparison of log and marker shows
     * @param facts why state is lost or voting is suspended; for operators
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
     * What a peer observed of this member before the present contact.
     *
     * @param incarnation the latest incarnation that it met
     * @param term the latest term in which this member answered it
     * @param acknowledgedIndex the highest index that this member acknowledged to it in {@code
     *     term}, or 0
     * @param voteTerm the latest term in which this member voted for that peer, or 0
     * @param connectedElsewhere whether another process of this member's name is connected to the
     *     peer right now
     * @param groupFormed whether the peer is a voter of a group that has committed something
     */
    public record PeerObservation(
            long incarnation,
            long term,
            long acknowledgedIndex,
            long voteTerm,
            boolean connectedElsewhere,
            boolean groupFormed) {
        /** The peer observed nothing. */
        public static final PeerObservation NONE = new PeerObservation(0, 0, 0, 0, false, false);
    }

    /** A verdict and its reason, for operators. */
    public record Assessment(RecoveryVerdict verdict, String reason) {}

    /**
     * Assesses a member.
     *
     * @param local what the member found in its own files
     * @param founder whether its settings name it among the first voters
     * @param otherVoters names of the other voters that it knows of
     * @param observations what peers reported, by their names
     */
    public static Assessment assess(
            LocalState local,
            boolean founder,
            Set<String> otherVoters,
            Map<String, PeerObservation> observations) {
        for (Map.Entry<String, PeerObservation> peer : observations.entrySet()) {
            if (peer.getValue().connectedElsewhere()) {
                return new Assessment(
                        RecoveryVerdict.REFUSE,
                        peer.getKey() + " is connected to another process of this member");
            }
        }
        Optional<String> loss = lossByOwnFiles(local).or(() -> lossByPeers(local, observations));
        if (loss.isPresent()) {
            return new Assessment(RecoveryVerdict.LEARNER, loss.get());
        }
        long heard = otherVoters.stream().filter(observations::containsKey).count();
        return local.votingStatus() == VotingStatus.ADMITTED
                ? assessAdmitted(heard, otherVoters.size())
                : assessNew(local, founder, observations, heard, otherVoters.size());
    }

    private static Assessment assessAdmitted(long heard, int otherVoters) {
        if (heard >= (otherVoters + 1) / 2) {
            return new Assessment(RecoveryVerdict.VOTER, "marks and " + heard + " peers agree");
        }
        return new Assessment(
                RecoveryVerdict.WAIT, "heard " + heard + " of " + otherVoters + " peers");
    }

    private static Assessment assessNew(
            LocalState local,
            boolean founder,
            Map<String, PeerObservation> observations,
            long heard,
            int otherVoters) {
        if (observations.values().stream().anyMatch(PeerObservation::groupFormed)) {
            return new Assessment(
                    RecoveryVerdict.LEARNER, "the group is founded and has not admitted it");
        }
        if (!founder || local.term() > 0 || local.lastIndex() > 0) {
            return new Assessment(RecoveryVerdict.LEARNER, "not admitted by a group yet");
        }
        // A group is founded only once in its life; a majority of empty voters could found a
        // second one beside a voter that is cut off.
        if (heard == otherVoters) {
            return new Assessment(RecoveryVerdict.VOTER, "all first voters are new");
        }
        return new Assessment(
                RecoveryVerdict.WAIT,
                "a new group needs all its first voters: heard " + heard + " of " + otherVoters);
    }

    /**
     * Whether the member's own files or a peer show that it lost state. A member that merely was
     * not admitted yet has lost nothing.
     */
    public static boolean hasLostState(
            LocalState local, Map<String, PeerObservation> observations) {
        return lossByOwnFiles(local).isPresent() || lossByPeers(local, observations).isPresent();
    }

    private static Optional<String> lossByOwnFiles(LocalState local) {
        if (local.stateLoss() != StateLoss.NONE) {
            return Optional.of(local.facts());
        }
        if (local.votingStatus() == VotingStatus.SUSPENDED) {
            return Optional.of("forgot before and was not admitted anew: " + local.facts());
        }
        return Optional.empty();
    }

    private static Optional<String> lossByPeers(
            LocalState local, Map<String, PeerObservation> observations) {
        for (Map.Entry<String, PeerObservation> peer : observations.entrySet()) {
            Optional<String> loss = lossByPeer(local, peer.getKey(), peer.getValue());
            if (loss.isPresent()) {
                return loss;
            }
        }
        return Optional.empty();
    }

    private static Optional<String> lossByPeer(
            LocalState local, String peer, PeerObservation observed) {
        if (observed.incarnation() >= local.incarnation()) {
            return Optional.of(
                    peer
                            + " has seen incarnation "
                            + observed.incarnation()
                            + ", this is "
                            + local.incarnation());
        }
        if (observed.term() > local.term()) {
            return Optional.of(
                    peer + " has seen term " + observed.term() + ", the log knows " + local.term());
        }
        // A later leader may truncate what was acknowledged to an earlier one; within one term an
        // acknowledged entry stays.
        if (observed.term() == local.term() && observed.acknowledgedIndex() > local.lastIndex()) {
            return Optional.of(
                    peer
                            + " was acknowledged "
                            + observed.acknowledgedIndex()
                            + " in term "
                            + observed.term()
                            + ", the log ends at "
                            + local.lastIndex());
        }
        return hasLostVote(local, peer, observed)
                ? Optional.of(
                        peer
                                + " was given the vote of term "
                                + observed.voteTerm()
                                + ", the log knows term "
                                + local.term()
                                + " and a vote for "
                                + (local.votedFor().isEmpty() ? "nobody" : local.votedFor()))
                : Optional.empty();
    }

    private static boolean hasLostVote(LocalState local, String peer, PeerObservation observed) {
        if (observed.voteTerm() > local.term()) {
            return true;
        }
        return observed.voteTerm() > 0
                && observed.voteTerm() == local.term()
                && !local.votedFor().equals(peer);
    }
}
