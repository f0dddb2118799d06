// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.raft.Voter;
import calicostream.cluster.raft.VoterNode;
import java.util.Comparator;
import java.util.List;

/** Voters and learners as a copy has them, by number; immutable. */
record Membership(List<Voter> voters, List<Voter> learners) {
    /**
     * @param voter null where none runs
     */
    static Membership of(VoterNode voter) {
        if (voter == null) {
            return new Membership(List.of(), List.of());
        }
        List<Voter> all =
                voter.votersAndLearners().stream()
                        .map(Voter.class::cast)
                        .sorted(
                                Comparator.comparingInt(Voter::member)
                                        .thenComparingInt(Voter::generation))
                        .toList();
        return new Membership(
                all.stream().filter(voter.voters()::contains).toList(),
                all.stream().filter(each -> !voter.voters().contains(each)).toList());
    }
}
