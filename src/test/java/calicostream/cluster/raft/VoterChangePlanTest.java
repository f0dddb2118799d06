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

/** Plans from any voters to any others. */
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
    void everyPlanEndsAndNeverLeavesFewerVotersThanBefore() {
        for (int from = 1; from < 32; from++) {
            for (int to = 1; to < 32; to++) {
                List<Voter> learners = from % 3 == 0 ? of(~from & 31) : List.of();
                runPlan(of(from), learners, of(to), from + " to " + to);
            }
        }
    }

    private static void runPlan(
            List<Voter> from, List<Voter> firstLearners, List<Voter> wanted, String run) {
        Set<Voter> voters = new HashSet<>(from);
        Set<Voter> learners = new HashSet<>(firstLearners);
        Voter leader = from.get(0);
        int least = Math.min(voters.size(), wanted.size());
        int steps = 0;
        Optional<VoterChangePlan.Step> step =
                VoterChangePlan.next(wanted, voters, learners, leader);
        while (step.isPresent()) {
            if (step.get() instanceof VoterChangePlan.TransferLeadership transfer) {
                assertTrue(voters.contains(transfer.target()));
                leader = transfer.target();
            } else {
                apply((VoterChangePlan.ChangeVoter) step.get(), voters, learners, leader);
            }
            assertTrue(voters.size() >= least && steps < 20, run);
            steps++;
            step = VoterChangePlan.next(wanted, voters, learners, leader);
        }
        assertEquals(new HashSet<>(wanted), voters);
        assertTrue(learners.isEmpty());
    }

    private static void apply(
            VoterChangePlan.ChangeVoter step,
            Set<Voter> voters,
            Set<Voter> learners,
            Voter leader) {
        Voter voter = step.voter();
        switch (step.change()) {
            case ADD_LEARNER -> assertTrue(learners.add(voter));
            case PROMOTE -> assertTrue(learners.remove(voter) && voters.add(voter));
            case REMOVE ->
                    assertTrue(
                            !voter.equals(leader)
                                    && (voters.remove(voter) | learners.remove(voter)));
            default -> throw new AssertionError(step);
        }
    }
}
