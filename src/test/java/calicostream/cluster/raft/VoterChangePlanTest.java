// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Steps from any voters to any others. */
class VoterChangePlanTest {
    private static List<Voter> of(int bits) {
        List<Voter> voters = new ArrayList<>();
        for (int member = 0; member < 5; member++) {
            if ((bits & 1 << member) != 0) {
                voters.add(new Voter(member + 1, member % 2));
            }
        }
        return voters;
    }

    @Test
    void everyPlanEndsAndNeverLeavesFewerThanBefore() {
        for (int from = 1; from < 32; from++) {
            for (int to = 1; to < 32; to++) {
                Set<Voter> voters = new HashSet<>(of(from));
                Set<Voter> learners = new HashSet<>(from % 3 == 0 ? of(~from & 31) : List.of());
                Voter leader = of(from).get(0);
                int least = Math.min(voters.size(), of(to).size());
                int steps = 0;
                for (Optional<VoterChangePlan.Step> step =
                                VoterChangePlan.next(of(to), voters, learners, leader);
                        step.isPresent();
                        step = VoterChangePlan.next(of(to), voters, learners, leader)) {
                    Voter who = step.get().voter();
                    switch (step.get().kind()) {
                        case ADD_LEARNER -> assertTrue(learners.add(who));
                        case PROMOTE -> assertTrue(learners.remove(who) && voters.add(who));
                        case REMOVE ->
                                assertTrue(
                                        !who.equals(leader)
                                                && (voters.remove(who) | learners.remove(who)));
                        case TRANSFER_LEADERSHIP -> {
                            assertTrue(voters.contains(who));
                            leader = who;
                        }
                        default -> throw new AssertionError(step);
                    }
                    assertTrue(voters.size() >= least && steps++ < 20, from + " to " + to);
                }
                assertEquals(new HashSet<>(of(to)), voters);
                assertTrue(learners.isEmpty());
            }
        }
    }
}
