// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.ClusterException;
import calicostream.cluster.CommandOutcome;
import calicostream.cluster.MemberMessage;
import calicostream.cluster.ReplicatedEntry;
import calicostream.cluster.ReplicatedState;
import io.microraft.QueryPolicy;
import io.microraft.RaftNode;
import io.microraft.exception.CannotReplicateException;
import io.microraft.exception.NotLeaderException;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Hands proposals and reads to the consensus library and turns its answers into outcomes. The queue
 * of undecided proposals is bounded; a proposal beyond the bound is rejected. The voter's thread.
 */
final class RaftRequests {
    private final RaftNode raft;
    private final RaftGroupView group;
    private final ReplicatedState state;
    private final int proposalQueueLimit;
    private int pendingProposals;

    RaftRequests(
            RaftNode raft, RaftGroupView group, ReplicatedState state, int proposalQueueLimit) {
        this.raft = raft;
        this.group = group;
        this.state = state;
        this.proposalQueueLimit = proposalQueueLimit;
    }

    int pendingProposals() {
        return pendingProposals;
    }

    /** Proposes an entry of another member after checking that a member may propose it. */
    void proposeEncoded(byte[] bytes, Consumer<CommandOutcome> reply) {
        ReplicatedEntry entry;
        try {
            entry = ReplicatedEntry.decode(bytes);
        } catch (ClusterException.Malformed e) {
            reply.accept(CommandOutcome.failed(0, e.code()));
            return;
        }
        if (entry.isLeaderOnly()) {
            reply.accept(CommandOutcome.failed(0, ClusterException.Malformed.CODE));
        } else if (entry instanceof ReplicatedEntry.RunCommand run
                && !state.hasMachine(run.machine())) {
            reply.accept(unknownMachine());
        } else {
            replicate(bytes, reply);
        }
    }

    /** Proposes an entry of this voter itself. */
    void propose(ReplicatedEntry entry, Consumer<CommandOutcome> reply) {
        replicate(entry.encode(), reply);
    }

    private void replicate(byte[] entry, Consumer<CommandOutcome> reply) {
        if (pendingProposals >= proposalQueueLimit) {
            reply.accept(queueFull());
            return;
        }
        pendingProposals++;
        raft.<CommandOutcome>replicate(entry)
                .whenComplete(
                        (decided, error) -> {
                            pendingProposals--;
                            reply.accept(error == null ? decided.getResult() : failure(error));
                        });
    }

    /** Reads linearizably: the answer holds at some moment after this call. */
    void read(LogApplier.StateQuery query, Consumer<CommandOutcome> reply) {
        if (!query.isIndexOnly() && !state.hasMachine(query.stateMachine())) {
            reply.accept(unknownMachine());
            return;
        }
        raft.<CommandOutcome>query(
                        query, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                .whenComplete(
                        (answered, error) ->
                                reply.accept(
                                        error == null ? answered.getResult() : failure(error)));
    }

    /**
     * Reads this copy of the state, however old it is.
     *
     * @param isAgeKnown whether a leader has ever confirmed the copy; else the read fails
     */
    CommandOutcome readLocal(MemberMessage.Request request, boolean isAgeKnown) {
        if (!state.hasMachine(request.machine())) {
            return unknownMachine();
        }
        if (!isAgeKnown) {
            return CommandOutcome.failed(
                    0, ClusterException.NoQuorum.CODE, group.self().member(), 0);
        }
        byte[] answer = state.query(request.machine(), request.body());
        return new CommandOutcome(CommandOutcome.Kind.ACCEPTED, state.appliedIndex(), "", answer);
    }

    private CommandOutcome failure(Throwable error) {
        int member = group.self().member();
        if (error instanceof NotLeaderException) {
            return CommandOutcome.failed(
                    0, ClusterException.NotLeader.CODE, member, group.leader(), group.epoch());
        }
        if (error instanceof CannotReplicateException) {
            return queueFull();
        }
        return CommandOutcome.failed(0, ClusterException.OutcomeUnknown.CODE, member, 0, 0);
    }

    private CommandOutcome queueFull() {
        return CommandOutcome.failed(
                0,
                ClusterException.QueueFull.CODE,
                group.self().member(),
                pendingProposals,
                proposalQueueLimit);
    }

    private static CommandOutcome unknownMachine() {
        return CommandOutcome.failed(0, ClusterException.UnknownStateMachine.CODE);
    }
}
