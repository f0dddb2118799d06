// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.sim;

import calicostream.cluster.ClusterException;
import calicostream.cluster.raft.Voter;
import calicostream.cluster.raft.VoterChange;
import java.util.ArrayList;
import java.util.List;

/** Adds, removes and replaces voters of a simulated cluster, as its operator would. */
final class VoterChangeDriver {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int MAX_VOTERS = 5;
    private static final int MIN_VOTERS = 3;
    private static final int PROMOTION_ATTEMPTS = 12;
    private static final int REPLACEMENT_ATTEMPTS = 20;

    private final ClusterSimulation cluster;

    VoterChangeDriver(ClusterSimulation cluster) {
        this.cluster = cluster;
    }

    void transferLeadership(SimulatedMember target) {
        cluster.leader()
                .filter(leader -> !leader.name().equals(target.name()))
                .ifPresent(leader -> leader.voter().transferLeadership(target.name()));
    }

    void removeVoter(SimulatedMember member) {
        cluster.leader()
                .filter(leader -> leader.voter().voters().size() > MIN_VOTERS)
                .filter(leader -> leader.voter().voters().contains(member.name()))
                .ifPresent(leader -> change(leader, VoterChange.REMOVE, member.name(), () -> {}));
    }

    /** A process that is no voter yet becomes a learner, then a voter. */
    void addVoter(SimulatedMember member) {
        cluster.leader().ifPresent(leader -> addVoter(leader, member));
    }

    private void addVoter(SimulatedMember leader, SimulatedMember member) {
        if (member.isDown()
                || leader.voter().voters().size() >= MAX_VOTERS
                || leader.voter().voters().contains(member.name())) {
            return;
        }
        if (!leader.voter().state().mayAddVoter(member.number(), member.generation())) {
            comeBackUnderNextGeneration(leader, member);
            return;
        }
        if (!member.runsVoter()) {
            member.enableVoter();
            member.startVoter();
        }
        addLearner(leader, member);
    }

    private void addLearner(SimulatedMember leader, SimulatedMember member) {
        Runnable promotion = () -> promote(member.name(), PROMOTION_ATTEMPTS);
        if (leader.voter().votersAndLearners().contains(member.name())) {
            promotion.run();
        } else {
            change(leader, VoterChange.ADD_LEARNER, member.name(), promotion);
        }
    }

    private void change(SimulatedMember leader, VoterChange change, Voter voter, Runnable then) {
        leader.voter()
                .changeVoter(
                        change,
                        voter,
                        error -> {
                            if (error == null) {
                                cluster.counters().voterChangeDecided();
                                then.run();
                            }
                        });
    }

    /**
     * The leader has to reject the retired generation of a removed voter, which comes back with
     * empty disks under the next one.
     */
    private void comeBackUnderNextGeneration(SimulatedMember leader, SimulatedMember member) {
        Voter retired = member.name();
        leader.voter()
                .changeVoter(
                        VoterChange.ADD_LEARNER,
                        retired,
                        error -> {
                            if (error == null) {
                                cluster.invariants()
                                        .report(retired + " was removed and added again");
                            } else if (error instanceof ClusterException.GenerationRetired
                                    && !member.isDown()
                                    && member.name().equals(retired)) {
                                cluster.counters().generationRejected();
                                member.crash();
                                member.setGeneration(
                                        leader.voter().state().nextGeneration(member.number()));
                                member.replaceDisks();
                                member.enableVoter();
                                member.start();
                                addLearner(leader, member);
                            }
                        });
    }

    /** A learner is promoted once it has caught up, so this may need some attempts. */
    private void promote(Voter voter, int attemptsLeft) {
        cluster.leader()
                .ifPresent(
                        leader ->
                                leader.voter()
                                        .changeVoter(
                                                VoterChange.PROMOTE,
                                                voter,
                                                error -> promoted(voter, attemptsLeft, error)));
    }

    private void promoted(Voter voter, int attemptsLeft, Throwable error) {
        if (error == null) {
            cluster.counters().voterChangeDecided();
        } else if (attemptsLeft > 0) {
            SimulatedWorld world = cluster.world();
            world.schedule(
                    world.now() + 50 * NANOS_PER_MILLI, () -> promote(voter, attemptsLeft - 1));
        }
    }

    /**
     * What an operator does with a voter that lost state: empty disks, the next generation, and a
     * change of voters.
     */
    void replaceLostVoter(SimulatedMember member) {
        if (!member.isDown()) {
            member.crash();
        }
        member.setGeneration(member.generation() + 1);
        member.replaceDisks();
        member.setSilentDiskFault(false);
        member.restartAfter(50);
        SimulatedWorld world = cluster.world();
        world.schedule(
                world.now() + 60 * NANOS_PER_MILLI,
                () -> replaceBy(member.name(), REPLACEMENT_ATTEMPTS));
    }

    /** Whoever leads takes the next step, several times; other changes may come between. */
    private void replaceBy(Voter replacement, int attemptsLeft) {
        cluster.leader().ifPresent(leader -> replaceBy(leader, replacement));
        if (attemptsLeft > 0) {
            SimulatedWorld world = cluster.world();
            world.schedule(
                    world.now() + 100 * NANOS_PER_MILLI,
                    () -> replaceBy(replacement, attemptsLeft - 1));
        }
    }

    private void replaceBy(SimulatedMember leader, Voter replacement) {
        List<Voter> target = new ArrayList<>();
        target.addAll(leader.voter().voters());
        // An earlier generation of the same member may still be a voter.
        if (target.removeIf(voter -> voter.member() == replacement.member())) {
            target.add(replacement);
            leader.voter()
                    .stepTowards(
                            target,
                            error -> {
                                if (error == null) {
                                    cluster.counters().voterChangeDecided();
                                }
                            });
        }
    }
}
