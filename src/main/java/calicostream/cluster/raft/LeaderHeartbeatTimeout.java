// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import io.microraft.RaftEndpoint;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.report.RaftTerm;
import java.util.Objects;
import java.util.Optional;

/**
 * A follower's own count of its leader's silence, in beats, so that a process that was stopped
 * counts nothing meanwhile; pure. The library forgets a silent leader by itself, but not while a
 * pre-vote of its own is open, and it leaves one open that a leader's first word overtook: such a
 * voter names a dead leader for ever and stands in no election.
 */
final class LeaderHeartbeatTimeout {
    private final RaftEndpoint self;
    private final int bound;
    private RaftEndpoint leader;
    private int beats;

    /**
     * @param bound in beats; above what the library waits for, so that it goes first where it can
     */
    LeaderHeartbeatTimeout(RaftEndpoint self, int bound) {
        this.self = self;
        this.bound = bound;
    }

    /**
     * Only what a leader alone sends counts: one that was restarted asks for votes, and that is no
     * sign of a leader.
     */
    void onMessage(RaftMessage message) {
        if ((message instanceof AppendEntriesRequest || message instanceof InstallSnapshotRequest)
                && message.getSender().equals(leader)) {
            beats = 0;
        }
    }

    /**
     * Called at each beat. If the known leader was silent for too long: what to hand to the library
     * as if it had been received. It is a request for votes in the next term for a log that is
     * behind ours, so the library goes to that term without a leader, an open pre-vote or a vote
     * given, as any voter may at any time, and stands for election from there. (Where our log is
     * empty it gives its vote of that term, of which nobody makes use; no log is behind an empty
     * one.)
     */
    Optional<RaftMessage> onHeartbeat(RaftTerm term) {
        RaftEndpoint known =
                self.equals(term.getLeaderEndpoint()) ? null : term.getLeaderEndpoint();
        if (known == null || !Objects.equals(known, leader)) {
            leader = known;
            beats = 0;
            return Optional.empty();
        }
        if (++beats < bound) {
            return Optional.empty();
        }
        beats = 0;
        return Optional.of(
                RaftMessageCodec.MODEL_FACTORY
                        .createVoteRequestBuilder()
                        .setGroupId(RaftMessageCodec.GROUP_ID)
                        .setSender(known)
                        .setTerm(term.getTerm() + 1)
                        .setLastLogTerm(0)
                        .setLastLogIndex(0)
                        .setSticky(false)
                        .build());
    }
}
