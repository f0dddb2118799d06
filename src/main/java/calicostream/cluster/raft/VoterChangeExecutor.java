// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.ClusterException;
import calicostream.cluster.CommandOutcome;
import calicostream.cluster.ReplicatedEntry;
import calicostream.cluster.ReplicatedState;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import java.util.Collection;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Changes of voters as a leader carries them out, one at a time, each in two entries: the
 * replicated memory of generations first, which refuses who was removed before, then the library's
 * change. While one runs no other starts here, and what a former leader noted is applied before
 * this one leads, so the second entry never overtakes a removal of the same voter.
 */
final class VoterChangeExecutor {
    private final RaftNode raft;
    private final Voter self;
    private final ReplicatedState state;
    private final BiConsumer<ReplicatedEntry, Consumer<CommandOutcome>> propose;

    /** Why this voter can't; null if it leads. */
    private final Supplier<ClusterException> notLeading;

    private boolean running;

    VoterChangeExecutor(
            RaftNode raft,
            Voter self,
            ReplicatedState state,
            BiConsumer<ReplicatedEntry, Consumer<CommandOutcome>> propose,
            Supplier<ClusterException> notLeading) {
        this.raft = raft;
        this.self = self;
        this.state = state;
        this.propose = propose;
        this.notLeading = notLeading;
    }

    void change(VoterChange change, Voter who, Consumer<ClusterException> done) {
        ClusterException refused = refused(change, who);
        if (refused != null) {
            done.accept(refused);
            return;
        }
        running = true;
        Consumer<ClusterException> end =
                error -> {
                    running = false;
                    done.accept(error);
                };
        long since = raft.getCommittedMembers().getLogIndex();
        if (change != VoterChange.PROMOTE) {
            note(change, who, since, end);
            return;
        }
        raft.getReport()
                .whenComplete(
                        (report, error) -> {
                            if (error != null) {
                                end.accept(bad(change, who, String.valueOf(error.getMessage())));
                            } else if (report.getResult()
                                            .getLog()
                                            .getFollowerMatchIndices()
                                            .getOrDefault(who, 0L)
                                    < since) {
                                end.accept(
                                        bad(
                                                change,
                                                who,
                                                "it has not acknowledged that it learns, ask again"
                                                        + " once it did"));
                            } else {
                                note(change, who, since, end);
                            }
                        });
    }

    private ClusterException refused(VoterChange change, Voter who) {
        Collection<RaftEndpoint> voters = raft.getEffectiveMembers().getVotingMembers();
        if (notLeading.get() != null) {
            return notLeading.get();
        } else if (running) {
            return bad(change, who, "another change runs");
        } else if (change == VoterChange.REMOVE && who.equals(self)) {
            return bad(change, who, "it leads, let it hand over first");
        } else if (change == VoterChange.REMOVE && voters.contains(who) && voters.size() <= 2) {
            return bad(change, who, "too few voters would be left, add one first");
        }
        return null;
    }

    private void note(VoterChange change, Voter who, long since, Consumer<ClusterException> end) {
        ReplicatedEntry entry =
                change == VoterChange.REMOVE
                        ? new ReplicatedEntry.RemoveVoter(who.member(), who.generation())
                        : new ReplicatedEntry.AddVoter(who.member(), who.generation());
        propose.accept(
                entry,
                outcome -> {
                    if (!outcome.isAccepted()) {
                        end.accept(outcome.error());
                    } else if (notLeading.get() != null) {
                        end.accept(notLeading.get());
                    } else if (change != VoterChange.REMOVE
                            && !state.mayAddVoter(who.member(), who.generation())) {
                        end.accept(
                                new ClusterException.GenerationRetired(
                                        who.member(),
                                        who.generation(),
                                        state.nextGeneration(who.member())));
                    } else {
                        raft.changeMembership(who, change.mode(), since)
                                .whenComplete(
                                        (ok, error) ->
                                                end.accept(
                                                        error == null
                                                                ? null
                                                                : bad(
                                                                        change,
                                                                        who,
                                                                        String.valueOf(
                                                                                error
                                                                                        .getMessage()))));
                    }
                });
    }

    private static ClusterException bad(VoterChange change, Voter who, String why) {
        return new ClusterException.InvalidVoterChange(change.operatorName() + " " + who, why);
    }

    /** As {@link VoterNode#stepTowards}. */
    void towards(Collection<Voter> wanted, Consumer<ClusterException> done) {
        ClusterException refused = notLeading.get();
        if (refused != null) {
            done.accept(refused);
            return;
        }
        List<Voter> voters =
                raft.getCommittedMembers().getVotingMembers().stream()
                        .map(Voter.class::cast)
                        .toList();
        List<Voter> learners =
                raft.getCommittedMembers().getMembers().stream()
                        .map(Voter.class::cast)
                        .filter(who -> !voters.contains(who))
                        .toList();
        VoterChangePlan.next(wanted, voters, learners, self)
                .ifPresent(
                        step -> {
                            switch (step.kind()) {
                                case ADD_LEARNER ->
                                        change(VoterChange.ADD_LEARNER, step.voter(), done);
                                case PROMOTE -> change(VoterChange.PROMOTE, step.voter(), done);
                                case REMOVE -> change(VoterChange.REMOVE, step.voter(), done);
                                case TRANSFER_LEADERSHIP -> raft.transferLeadership(step.voter());
                            }
                        });
    }
}
