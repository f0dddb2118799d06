// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import static calicostream.cluster.process.StatusFixture.LEADS;
import static calicostream.cluster.process.StatusFixture.NANOS_PER_MILLI;
import static calicostream.cluster.process.StatusFixture.ONE;
import static calicostream.cluster.process.StatusFixture.THREE;
import static calicostream.cluster.process.StatusFixture.TWO;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.cluster.raft.Voter;
import calicostream.cluster.raft.VoterChangePlan;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The course of a command in a group whose steps may fail. */
class MembershipCommandRunnerTest {
    /**
     * In a group whose steps are lost, rejected and late a command is done, given up or ended by
     * another leader, and is only reported done if it is.
     */
    @Test
    void commandsEndWhateverBecomesOfTheirSteps() {
        long seed = new Random().nextLong();
        Random random = new Random(seed);
        int done = 0;
        for (int run = 0; run < 2000; run++) {
            List<Voter> voters = new ArrayList<>(List.of(ONE, TWO, THREE));
            List<Voter> learners = new ArrayList<>();
            MembershipCommandRunner runner =
                    new MembershipCommandRunner(
                            MembershipCommand.parse(
                                            random.nextBoolean()
                                                    ? "voters/2.0/replace/4.0"
                                                    : "voters/3.0/remove",
                                            LEADS)
                                    .orElseThrow(),
                            0,
                            200 * NANOS_PER_MILLI,
                            60_000 * NANOS_PER_MILLI);
            List<Voter> wanted = ((MembershipCommand.ChangeVoters) runner.command()).wantedVoters();
            int loses = random.nextInt(3);
            int leader = 1;
            long now = 0;
            for (;
                    !runner.isFinished() && now < 100_000 * NANOS_PER_MILLI;
                    now += random.nextInt(300) * NANOS_PER_MILLI) {
                leader = random.nextInt(2000) == 0 ? 2 : leader;
                if (!runner.isDue(
                        now,
                        leader == 1,
                        leader,
                        new Membership(List.copyOf(voters), List.copyOf(learners)))) {
                    continue;
                }
                VoterChangePlan.ChangeVoter step =
                        (VoterChangePlan.ChangeVoter)
                                VoterChangePlan.next(wanted, voters, learners, ONE).orElseThrow();
                switch (loses == 0 ? 0 : random.nextInt(loses + 1)) {
                    case 0 -> {
                        switch (step.change()) {
                            case ADD_LEARNER -> learners.add(step.voter());
                            case PROMOTE -> {
                                learners.remove(step.voter());
                                voters.add(step.voter());
                            }
                            case REMOVE -> voters.remove(step.voter());
                            default -> throw new AssertionError(step);
                        }
                        runner.onStepCompleted("");
                    }
                    case 1 -> runner.onStepCompleted("refused");
                    default -> {}
                }
            }
            assertTrue(runner.isFinished(), "seed " + seed + " run " + run);
            assertTrue(now <= 61_000 * NANOS_PER_MILLI, "seed " + seed + " run " + run);
            if (runner.progress().endsWith(": done")) {
                done++;
                assertTrue(
                        voters.size() == wanted.size()
                                && voters.containsAll(wanted)
                                && learners.isEmpty(),
                        "seed " + seed);
            } else {
                assertTrue(
                        runner.progress().contains("given up") || leader != 1,
                        "seed " + seed + ": " + runner.progress());
            }
        }
        assertTrue(done > 1000, "seed " + seed + ": " + done);
    }
}
