// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.ReplicatedState;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import java.util.Collection;
import java.util.List;

/** What a voter knows of its group: term, leader and members. Read-only; the voter's thread. */
final class RaftGroupView {
    private final Voter self;
    private final RaftNode raft;
    private final ReplicatedState state;
    private final LogApplier applier;

    RaftGroupView(Voter self, RaftNode raft, ReplicatedState state, LogApplier applier) {
        this.self = self;
        this.raft = raft;
        this.state = state;
        this.applier = applier;
    }

    Voter self() {
        return self;
    }

    /** Whether this voter leads and has applied all entries of the leaders before it. */
    boolean isLeader() {
        return self.equals(raft.getTerm().getLeaderEndpoint()) && applier.startedCurrentEpoch();
    }

    /** The leader's member number as far as is known here; 0 if it is not. */
    int leader() {
        Voter leader = (Voter) raft.getTerm().getLeaderEndpoint();
        return leader == null ? 0 : leader.member();
    }

    int term() {
        return raft.getTerm().getTerm();
    }

    /** The log index at which the current leader began; 0 before the first one. */
    long epoch() {
        return state.epoch();
    }

    List<Voter> voters() {
        return voters(raft.getCommittedMembers().getVotingMembers());
    }

    List<Voter> votersAndLearners() {
        return voters(raft.getCommittedMembers().getMembers());
    }

    private static List<Voter> voters(Collection<RaftEndpoint> endpoints) {
        return endpoints.stream().map(Voter.class::cast).toList();
    }

    /**
     * Whether this voter votes by its own log, also where the change is not committed. The library
     * lets a voter stand for election whose own log says that it was removed, and counts its own
     * vote towards a majority of the others: that would allow two leaders in one term. So a voter
     * that is not among the effective voters requests no votes.
     */
    boolean isEffectiveVoter() {
        return raft.getEffectiveMembers().getVotingMembers().contains(self);
    }
}
