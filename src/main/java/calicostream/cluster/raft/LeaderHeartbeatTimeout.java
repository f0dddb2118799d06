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
 * A follower's own time-out of a silent leader, counted in this voter's heartbeats, so that a
 * process that was suspended counts nothing meanwhile. The library abandons a silent leader by
 * itself, but not while a pre-vote of its own is open, and a leader's first message leaves one open
 * that it overtook: such a voter would follow a dead leader and stand in no election for ever.
 * Pure; the voter's thread.
 */
final class LeaderHeartbeatTimeout {
    private final RaftEndpoint self;
    private final int timeoutHeartbeats;
    private RaftEndpoint leader;
    private int silentHeartbeats;

    /**
     * Creates a time-out for a voter that knows no leader.
     *
     * @param timeoutHeartbeats more than the library waits, so that it acts first where it can
     */
    LeaderHeartbeatTimeout(RaftEndpoint self, int timeoutHeartbeats) {
        this.self = self;
        this.timeoutHeartbeats = timeoutHeartbeats;
    }

    /**
     * A message was received. Only what a leader alone sends counts: a former leader that was
     * restarted requests votes, which is no sign of a leader.
     */
    void onMessage(RaftMessage message) {
        boolean isOfLeader =
                message instanceof AppendEntriesRequest
                        || message instanceof InstallSnapshotRequest;
        if (isOfLeader && message.getSender().equals(leader)) {
            silentHeartbeats = 0;
        }
    }

    /**
     * Called at each heartbeat of this voter.
     *
     * @return after the time-out a message to hand to the library as if it had been received
     */
    Optional<RaftMessage> onHeartbeat(RaftTerm term) {
        RaftEndpoint currentLeader = term.getLeaderEndpoint();
        boolean isFollower = currentLeader != null && !self.equals(currentLeader);
        if (!isFollower || !Objects.equals(currentLeader, leader)) {
            leader = isFollower ? currentLeader : null;
            silentHeartbeats = 0;
            return Optional.empty();
        }
        silentHeartbeats++;
        if (silentHeartbeats < timeoutHeartbeats) {
            return Optional.empty();
        }
        silentHeartbeats = 0;
        return Optional.of(voteRequestOfNextTerm(term.getTerm() + 1));
    }

    /**
     * A request for votes in the next term, by a candidate whose log is behind ours. The library
     * goes to that term without a leader, an open pre-vote or a vote given, as any voter may at any
     * time, and stands for election from there. Where our own log is empty it gives its vote of
     * that term, which nobody counts; no log is behind an empty one.
     */
    private RaftMessage voteRequestOfNextTerm(int nextTerm) {
        return RaftMessageCodec.MODEL_FACTORY
                .createVoteRequestBuilder()
                .setGroupId(RaftMessageCodec.GROUP_ID)
                .setSender(leader)
                .setTerm(nextTerm)
                .setLastLogTerm(0)
                .setLastLogIndex(0)
                .setSticky(false)
                .build();
    }
}
