// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.raft.Voter;
import calicostream.durable.StateLossDetector;
import java.util.Optional;

/**
 * As what a member starts, by its settings and by what its folder says; pure. A folder is one
 * generation's, so that a member whose folder forgot is somebody new with an empty one once its
 * generation is raised.
 */
record StartupRole(Role role, String reason) {
    /** The ways to start. */
    enum Role {
        /** One of the first voters, and it has promised nothing yet. */
        FOUNDER,
        /** It was in the group, or was to be, and remembers all that it promised. */
        RETURNING,
        /** Nobody yet; it follows and votes once an operator has it added. */
        JOINER,
        /** It forgot, or may have: it runs no voter, only its session at the other members. */
        BARRED
    }

    /**
     * @param founder whether the settings name it among the first voters
     * @param stored as whom it last ran with this folder
     * @throws MemberException if the folder was another voter's
     */
    static StartupRole of(
            boolean founder, Voter self, Optional<Voter> stored, StateLossDetector.LocalState own) {
        if (stored.isPresent() && !stored.get().equals(self)) {
            throw new MemberException(
                    "member-folder-of-another",
                    "the folder is voter " + stored.get() + "'s, this is " + self,
                    "give the member its own number and folder back, or an empty folder and the"
                            + " next generation");
        }
        if (own.stateLoss() != StateLossDetector.StateLoss.NONE
                || own.votingStatus() == StateLossDetector.VotingStatus.SUSPENDED) {
            return new StartupRole(Role.BARRED, own.facts());
        }
        if (stored.isPresent()) {
            return new StartupRole(Role.RETURNING, "");
        }
        if (own.term() > 0
                || own.lastIndex() > 0
                || own.votingStatus() != StateLossDetector.VotingStatus.NEW) {
            return new StartupRole(
                    Role.BARRED,
                    "the folder has a log, term "
                            + own.term()
                            + " up to "
                            + own.lastIndex()
                            + ", and does not say whose");
        }
        return founder && self.generation() == 0
                ? new StartupRole(Role.FOUNDER, "")
                : new StartupRole(Role.JOINER, "");
    }

    boolean runsVoter() {
        return role != Role.BARRED;
    }
}
