// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import static calicostream.cluster.process.StatusFixture.FOUR;
import static calicostream.cluster.process.StatusFixture.ONE;
import static calicostream.cluster.process.StatusFixture.THREE;
import static calicostream.cluster.process.StatusFixture.TWO;
import static org.junit.jupiter.api.Assertions.assertEquals;

import calicostream.cluster.process.LocalVoter.Phase;
import calicostream.cluster.process.MemberStateEvaluator.LeaderContact;
import calicostream.cluster.process.MemberStateEvaluator.VoterView;
import calicostream.cluster.process.MemberStatus.Condition;
import calicostream.cluster.process.MemberStatus.State;
import calicostream.cluster.raft.Voter;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The state of a member by what its copy and its session know. */
class MemberStateEvaluatorTest {
    private static final Membership MEMBERSHIP = new Membership(List.of(ONE, TWO), List.of(THREE));

    private static State runningState(Voter self, LeaderContact contact) {
        return evaluate(false, "", "", Phase.RUNNING, self, contact).state();
    }

    private static Condition evaluate(
            boolean isStopping,
            String failure,
            String barredReason,
            Phase phase,
            Voter self,
            LeaderContact contact) {
        VoterView voter = new VoterView(failure, barredReason, phase, MEMBERSHIP);
        return MemberStateEvaluator.evaluate(isStopping, self, voter, contact);
    }

    private static LeaderContact contact(int leader, boolean isSessionAlive, long copyAgeNanos) {
        return new LeaderContact(leader, isSessionAlive, copyAgeNanos, 10);
    }

    @Test
    void runningVoterIsWhereItsCopyAndItsSessionSay() {
        assertEquals(State.VOTER, runningState(ONE, contact(2, true, 90)));
        assertEquals(State.VOTER, runningState(ONE, contact(0, true, 20)));
        assertEquals(State.BEHIND, runningState(ONE, contact(0, true, 21)));
        assertEquals(State.VOTER, runningState(ONE, contact(0, false, 21)));
        assertEquals(State.LEARNER, runningState(THREE, contact(2, true, 0)));
        assertEquals(State.SPARE, runningState(FOUR, contact(0, true, 99)));
    }

    @Test
    void whatEndsOrDelaysTheVoterGoesFirst() {
        LeaderContact unknown = contact(0, true, 0);
        LeaderContact known = contact(2, true, 0);
        assertEquals(
                State.RECOVERING,
                evaluate(false, "", "", Phase.RECOVERING, ONE, contact(0, true, 99)).state());
        assertEquals(State.REMOVED, evaluate(false, "", "", Phase.ENDED, ONE, known).state());
        assertEquals(
                new Condition(State.BARRED, "forgot"),
                evaluate(false, "", "forgot", Phase.ENDED, ONE, unknown));
        assertEquals(
                new Condition(State.FAILED, "full"),
                evaluate(false, "full", "", Phase.ENDED, ONE, known));
        assertEquals(State.STOPPING, evaluate(true, "full", "", Phase.ENDED, ONE, known).state());
    }
}
