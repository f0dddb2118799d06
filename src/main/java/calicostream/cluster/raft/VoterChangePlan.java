// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The next of the single steps that lead from the present voters to the wanted ones; pure. Who is
 * wanted learns first, is promoted next, and only then does an unwanted one go, so that a lost
 * voter is replaced while a quorum still stands; a leader that is to go hands over first. Asked
 * again after each step, by whoever leads then, it needs no memory.
 */
public final class VoterChangePlan {
    /** A step and whom it is about; a hand-over names who is to lead. */
    public record Step(Kind kind, Voter voter) {}

    /** What a step does. */
    public enum Kind {
        ADD_LEARNER,
        PROMOTE,
        TRANSFER_LEADERSHIP,
        REMOVE
    }

    private static final Comparator<Voter> ORDER =
            Comparator.comparingInt(Voter::member).thenComparingInt(Voter::generation);

    private VoterChangePlan() {}

    /**
     * @param voters and learners as they are committed
     * @param leader who would carry the step out
     * @return empty if the wanted are the voters and nobody else is left
     */
    public static Optional<Step> next(
            Collection<Voter> wanted,
            Collection<Voter> voters,
            Collection<Voter> learners,
            Voter leader) {
        for (Voter who : sorted(wanted)) {
            if (!voters.contains(who)) {
                return Optional.of(
                        new Step(learners.contains(who) ? Kind.PROMOTE : Kind.ADD_LEARNER, who));
            }
        }
        SortedSet<Voter> unwanted = sorted(voters);
        unwanted.addAll(learners);
        unwanted.removeAll(wanted);
        if (wanted.isEmpty() || unwanted.isEmpty()) {
            return Optional.empty();
        }
        if (unwanted.remove(leader) && unwanted.isEmpty()) {
            return Optional.of(new Step(Kind.TRANSFER_LEADERSHIP, sorted(wanted).first()));
        }
        return Optional.of(new Step(Kind.REMOVE, unwanted.first()));
    }

    private static SortedSet<Voter> sorted(Collection<Voter> voters) {
        SortedSet<Voter> sorted = new TreeSet<>(ORDER);
        sorted.addAll(voters);
        return sorted;
    }
}
