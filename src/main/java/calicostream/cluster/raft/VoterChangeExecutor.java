// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.ClusterException;
import calicostream.cluster.CommandOutcome;
import calicostream.cluster.ReplicatedEntry;
import calicostream.cluster.ReplicatedState;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.report.RaftNodeReport;
import java.util.Collection;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Carries out changes of voters at the leader, one at a time, each in two log entries: first the
 * replicated register of generations, which refuses a voter that was removed before, then the
 * library's own change. While one runs no other is started here, and entries of a former leader are
 * applied before this one leads, so the second entry never overtakes a removal of the same voter.
 * The voter's thread.
 */
final class VoterChangeExecutor {
    /** A removal must leave this many voters. */
    private static final int MIN_VOTERS = 2;

    /** A change with the log index of the membership that it is based on. */
    private record Request(
            VoterChange change,
            Voter voter,
            long membershipIndex,
            Consumer<ClusterException> done) {
        boolean isRemoval() {
            return change == VoterChange.REMOVE;
        }

        ClusterException rejected(String reason) {
            return new ClusterException.InvalidVoterChange(
                    change.operatorName() + " " + voter, reason);
        }
    }

    private final RaftNode raft;
    private final Voter self;
    private final ReplicatedState state;
    private final BiConsumer<ReplicatedEntry, Consumer<CommandOutcome>> proposer;
    private final Supplier<ClusterException> notLeaderError;
    private boolean isRunning;

    /**
     * Creates an executor.
     *
     * @param notLeaderError why this voter can't change anything; null if it leads
     */
    VoterChangeExecutor(
            RaftNode raft,
            Voter self,
            ReplicatedState state,
            BiConsumer<ReplicatedEntry, Consumer<CommandOutcome>> proposer,
            Supplier<ClusterException> notLeaderError) {
        this.raft = raft;
        this.self = self;
        this.state = state;
        this.proposer = proposer;
        this.notLeaderError = notLeaderError;
    }

    /** As {@link VoterNode#changeVoter}. */
    void change(VoterChange change, Voter voter, Consumer<ClusterException> done) {
        Request request =
                new Request(
                        change,
                        voter,
                        raft.getCommittedMembers().getLogIndex(),
                        error -> {
                            isRunning = false;
                            done.accept(error);
                        });
        ClusterException rejection = rejection(request);
        if (rejection != null) {
            done.accept(rejection);
            return;
        }
        isRunning = true;
        if (change == VoterChange.PROMOTE) {
            promoteIfCaughtUp(request);
        } else {
            register(request);
        }
    }

    private ClusterException rejection(Request request) {
        ClusterException notLeader = notLeaderError.get();
        if (notLeader != null) {
            return notLeader;
        }
        if (isRunning) {
            return request.rejected("another change runs");
        }
        if (!request.isRemoval()) {
            return null;
        }
        if (request.voter.equals(self)) {
            return request.rejected("it leads, let it hand over first");
        }
        Collection<RaftEndpoint> voters = raft.getEffectiveMembers().getVotingMembers();
        if (voters.contains(request.voter) && voters.size() <= MIN_VOTERS) {
            return request.rejected("too few voters would be left, add one first");
        }
        return null;
    }

    private void promoteIfCaughtUp(Request request) {
        raft.getReport()
                .whenComplete(
                        (report, error) -> {
                            if (error != null) {
                                request.done.accept(
                                        request.rejected(String.valueOf(error.getMessage())));
                            } else if (hasAcknowledgedMembership(report.getResult(), request)) {
                                register(request);
                            } else {
                                request.done.accept(
                                        request.rejected(
                                                "it has not acknowledged that it learns, ask again"
                                                        + " once it did"));
                            }
                        });
    }

    private static boolean hasAcknowledgedMembership(RaftNodeReport report, Request request) {
        long acknowledged =
                report.getLog().getFollowerMatchIndices().getOrDefault(request.voter, 0L);
        return acknowledged >= request.membershipIndex;
    }

    /** The first entry, in the register of generations. */
    private void register(Request request) {
        int member = request.voter.member();
        int generation = request.voter.generation();
        ReplicatedEntry entry =
                request.isRemoval()
                        ? new ReplicatedEntry.RemoveVoter(member, generation)
                        : new ReplicatedEntry.AddVoter(member, generation);
        proposer.accept(
                entry,
                outcome -> {
                    ClusterException error = errorAfterRegistration(request, outcome);
                    if (error != null) {
                        request.done.accept(error);
                    } else {
                        changeMembership(request);
                    }
                });
    }

    private ClusterException errorAfterRegistration(Request request, CommandOutcome outcome) {
        if (!outcome.isAccepted()) {
            return outcome.error();
        }
        ClusterException notLeader = notLeaderError.get();
        if (notLeader != null) {
            return notLeader;
        }
        int member = request.voter.member();
        int generation = request.voter.generation();
        if (!request.isRemoval() && !state.mayAddVoter(member, generation)) {
            return new ClusterException.GenerationRetired(
                    member, generation, state.nextGeneration(member));
        }
        return null;
    }

    /** The second entry, the library's own. */
    private void changeMembership(Request request) {
        raft.changeMembership(request.voter, request.change.mode(), request.membershipIndex)
                .whenComplete(
                        (committed, error) ->
                                request.done.accept(
                                        error == null
                                                ? null
                                                : request.rejected(
                                                        String.valueOf(error.getMessage()))));
    }

    /** As {@link VoterNode#stepTowards}. */
    void stepTowards(Collection<Voter> wanted, Consumer<ClusterException> done) {
        ClusterException notLeader = notLeaderError.get();
        if (notLeader != null) {
            done.accept(notLeader);
            return;
        }
        List<Voter> voters =
                raft.getCommittedMembers().getVotingMembers().stream()
                        .map(Voter.class::cast)
                        .toList();
        List<Voter> learners =
                raft.getCommittedMembers().getMembers().stream()
                        .map(Voter.class::cast)
                        .filter(voter -> !voters.contains(voter))
                        .toList();
        VoterChangePlan.next(wanted, voters, learners, self).ifPresent(step -> run(step, done));
    }

    private void run(VoterChangePlan.Step step, Consumer<ClusterException> done) {
        if (step instanceof VoterChangePlan.ChangeVoter next) {
            change(next.change(), next.voter(), done);
        } else if (step instanceof VoterChangePlan.TransferLeadership transfer) {
            raft.transferLeadership(transfer.target());
        }
    }
}
