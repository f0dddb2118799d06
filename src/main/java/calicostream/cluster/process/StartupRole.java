// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.raft.Voter;
import calicostream.durable.StateLossDetector;
import java.util.Optional;

/**
 * The role in which a member starts, by its settings and by what its folder holds; pure. A folder
 * belongs to one generation, so that a member that lost state starts as a new one with an empty
 * folder once its generation is raised.
 *
 * @param reason of {@link Role#BARRED}; else empty
 */
record StartupRole(Role role, String reason) {
    /** The roles. */
    enum Role {
        /** One of the initial voters that has promised nothing yet. */
        FOUNDER,
        /** It was in the group, or was to be, and its state is complete. */
        RETURNING,
        /** In no group yet; it follows and votes once an operator has it added. */
        JOINER,
        /** It lost state, or may have: it runs no voter, only its session. */
        BARRED
    }

    /**
     * Chooses the role.
     *
     * @param isInitialVoter whether the settings name it among the initial voters
     * @param stored the voter that last used the folder
     * @param disk what the folder says of it
     * @throws MemberException if the folder is another voter's
     */
    static StartupRole of(
            boolean isInitialVoter,
            Voter self,
            Optional<Voter> stored,
            StateLossDetector.LocalState disk) {
        if (stored.isPresent() && !stored.get().equals(self)) {
            throw new MemberException(
                    "member-folder-of-another",
                    "the folder is voter " + stored.get() + "'s, this is " + self,
                    "give the member its own number and folder back, or an empty folder and the"
                            + " next generation");
        }
        if (disk.stateLoss() != StateLossDetector.StateLoss.NONE
                || disk.votingStatus() == StateLossDetector.VotingStatus.SUSPENDED) {
            return new StartupRole(Role.BARRED, disk.facts());
        }
        if (stored.isPresent()) {
            return new StartupRole(Role.RETURNING, "");
        }
        if (!isUnused(disk)) {
            return new StartupRole(
                    Role.BARRED,
                    "the folder has a log, term "
                            + disk.term()
                            + " up to "
                            + disk.lastIndex()
                            + ", and does not say whose");
        }
        boolean isFounder = isInitialVoter && self.generation() == 0;
        return new StartupRole(isFounder ? Role.FOUNDER : Role.JOINER, "");
    }

    private static boolean isUnused(StateLossDetector.LocalState disk) {
        return disk.term() <= 0
                && disk.lastIndex() <= 0
                && disk.votingStatus() == StateLossDetector.VotingStatus.NEW;
    }

    boolean runsVoter() {
        return role != Role.BARRED;
    }
}
