// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Plans the next single step from the present voters to the wanted ones. A wanted voter first joins
 * as a learner, is then promoted, and only after that is an unwanted one removed, so that a lost
 * voter is replaced while a quorum still exists; a leader that is unwanted transfers its leadership
 * first. The plan is made anew after each step, by whoever leads then, and so keeps no state. Pure.
 */
public final class VoterChangePlan {
    /** One step of a plan. */
    public sealed interface Step permits ChangeVoter, TransferLeadership {}

    /** A change of one voter. */
    public record ChangeVoter(VoterChange change, Voter voter) implements Step {}

    /** The leader is to transfer its leadership to the target. */
    public record TransferLeadership(Voter target) implements Step {}

    private static final Comparator<Voter> ORDER =
            Comparator.comparingInt(Voter::member).thenComparingInt(Voter::generation);

    private VoterChangePlan() {}

    /**
     * The next step.
     *
     * @param voters the committed ones
     * @param learners the committed ones
     * @param leader who is to carry the step out
     * @return empty if the voters are the wanted ones and no learner is left
     */
    public static Optional<Step> next(
            Collection<Voter> wanted,
            Collection<Voter> voters,
            Collection<Voter> learners,
            Voter leader) {
        for (Voter voter : sorted(wanted)) {
            if (!voters.contains(voter)) {
                boolean isLearner = learners.contains(voter);
                VoterChange change = isLearner ? VoterChange.PROMOTE : VoterChange.ADD_LEARNER;
                return Optional.of(new ChangeVoter(change, voter));
            }
        }
        SortedSet<Voter> unwanted = sorted(voters);
        unwanted.addAll(learners);
        unwanted.removeAll(wanted);
        if (wanted.isEmpty() || unwanted.isEmpty()) {
            return Optional.empty();
        }
        boolean isLeaderUnwanted = unwanted.remove(leader);
        if (isLeaderUnwanted && unwanted.isEmpty()) {
            return Optional.of(new TransferLeadership(sorted(wanted).first()));
        }
        return Optional.of(new ChangeVoter(VoterChange.REMOVE, unwanted.first()));
    }

    private static SortedSet<Voter> sorted(Collection<Voter> voters) {
        SortedSet<Voter> sorted = new TreeSet<>(ORDER);
        sorted.addAll(voters);
        return sorted;
    }
}
