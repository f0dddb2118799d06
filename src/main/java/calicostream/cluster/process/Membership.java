// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.raft.Voter;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** The voters and learners of a group, each sorted by member and generation; immutable. */
record Membership(List<Voter> voters, List<Voter> learners) {
    static final Membership NONE = new Membership(List.of(), List.of());

    /** The membership with these voters, all others being learners. */
    static Membership of(Collection<Voter> voters, Collection<Voter> votersAndLearners) {
        List<Voter> sorted =
                votersAndLearners.stream()
                        .sorted(
                                Comparator.comparingInt(Voter::member)
                                        .thenComparingInt(Voter::generation))
                        .toList();
        return new Membership(
                sorted.stream().filter(voters::contains).toList(),
                sorted.stream().filter(voter -> !voters.contains(voter)).toList());
    }
}
