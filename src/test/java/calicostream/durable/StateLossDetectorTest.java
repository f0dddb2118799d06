// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import static org.junit.jupiter.api.Assertions.assertEquals;

import calicostream.durable.StateLossDetector.LocalState;
import calicostream.durable.StateLossDetector.PeerObservation;
import calicostream.durable.StateLossDetector.StateLoss;
import calicostream.durable.StateLossDetector.VotingStatus;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class StateLossDetectorTest {

    private static final Set<String> OTHERS = Set.of("b", "c", "d", "e");
    private static final LocalState SOUND =
            new LocalState(5, 7, "b", 100, VotingStatus.ADMITTED, StateLoss.NONE, "");
    private static final LocalState NEW =
            new LocalState(1, 0, "", 0, VotingStatus.NEW, StateLoss.NONE, "");

    private static RecoveryVerdict judge(LocalState own, PeerObservation b) {
        return StateLossDetector.assess(
                        own, true, OTHERS, Map.of("b", b, "c", PeerObservation.NONE))
                .verdict();
    }

    private static PeerObservation seen(long incarnation, long term, long acknowledged, long vote) {
        return new PeerObservation(incarnation, term, acknowledged, vote, false, true);
    }

    @Test
    void aSoundMemberVotesOnceAMajorityHasTold() {
        assertEquals(
                RecoveryVerdict.WAIT,
                StateLossDetector.assess(SOUND, true, OTHERS, Map.of()).verdict());
        assertEquals(
                RecoveryVerdict.WAIT,
                StateLossDetector.assess(SOUND, true, OTHERS, Map.of("b", PeerObservation.NONE))
                        .verdict());
        assertEquals(
                RecoveryVerdict.WAIT,
                StateLossDetector.assess(
                                SOUND,
                                true,
                                OTHERS,
                                Map.of("b", PeerObservation.NONE, "stranger", PeerObservation.NONE))
                        .verdict());
        assertEquals(RecoveryVerdict.VOTER, judge(SOUND, PeerObservation.NONE));
        assertEquals(
                RecoveryVerdict.VOTER,
                StateLossDetector.assess(SOUND, true, Set.of(), Map.of()).verdict());
    }

    @Test
    void whatAPeerRemembersBeyondTheLogMakesALearner() {
        assertEquals(RecoveryVerdict.VOTER, judge(SOUND, seen(4, 7, 100, 7)));
        assertEquals(
                RecoveryVerdict.LEARNER,
                judge(SOUND, seen(5, 7, 100, 7)),
                "incarnation seen before");
        assertEquals(RecoveryVerdict.LEARNER, judge(SOUND, seen(4, 8, 0, 0)), "later term");
        assertEquals(
                RecoveryVerdict.LEARNER,
                judge(SOUND, seen(4, 7, 101, 0)),
                "acknowledged more in this term");
        assertEquals(
                RecoveryVerdict.VOTER,
                judge(SOUND, seen(4, 6, 500, 0)),
                "an earlier leader's entries may be cut by a later one");
        assertEquals(
                RecoveryVerdict.LEARNER, judge(SOUND, seen(4, 7, 0, 8)), "voted in a later term");
        assertEquals(
                RecoveryVerdict.LEARNER,
                judge(
                        new LocalState(5, 7, "c", 100, VotingStatus.ADMITTED, StateLoss.NONE, ""),
                        seen(4, 7, 0, 7)),
                "two votes");
    }

    @Test
    void ownDoubtsAndBarsOutweighSilence() {
        for (StateLoss doubt : StateLoss.values()) {
            LocalState own = new LocalState(5, 7, "b", 100, VotingStatus.ADMITTED, doubt, "facts");
            assertEquals(
                    doubt == StateLoss.NONE ? RecoveryVerdict.VOTER : RecoveryVerdict.LEARNER,
                    judge(own, PeerObservation.NONE),
                    doubt.name());
        }
        assertEquals(
                RecoveryVerdict.LEARNER,
                judge(
                        new LocalState(
                                5, 7, "b", 100, VotingStatus.SUSPENDED, StateLoss.NONE, "facts"),
                        PeerObservation.NONE));
        assertEquals(
                RecoveryVerdict.REFUSE,
                judge(SOUND, new PeerObservation(4, 7, 0, 0, true, true)),
                "another process of its name lives");
    }

    @Test
    void aGroupIsFoundedByAllItsFirstVotersOrNotAtAll() {
        Map<String, PeerObservation> three =
                Map.of(
                        "b",
                        PeerObservation.NONE,
                        "c",
                        PeerObservation.NONE,
                        "d",
                        PeerObservation.NONE);
        Map<String, PeerObservation> all =
                Map.of(
                        "b",
                        PeerObservation.NONE,
                        "c",
                        PeerObservation.NONE,
                        "d",
                        PeerObservation.NONE,
                        "e",
                        PeerObservation.NONE);
        assertEquals(
                RecoveryVerdict.WAIT, StateLossDetector.assess(NEW, true, OTHERS, three).verdict());
        assertEquals(
                RecoveryVerdict.VOTER, StateLossDetector.assess(NEW, true, OTHERS, all).verdict());
        assertEquals(
                RecoveryVerdict.LEARNER,
                StateLossDetector.assess(NEW, false, OTHERS, all).verdict());
        assertEquals(
                RecoveryVerdict.LEARNER,
                judge(NEW, new PeerObservation(0, 0, 0, 0, false, true)),
                "an emptied folder beside a living group");
        assertEquals(
                RecoveryVerdict.LEARNER,
                judge(NEW, seen(3, 0, 0, 0)),
                "an emptied folder of a member that was seen");
        assertEquals(
                RecoveryVerdict.LEARNER,
                StateLossDetector.assess(
                                new LocalState(2, 3, "", 9, VotingStatus.NEW, StateLoss.NONE, ""),
                                true,
                                OTHERS,
                                all)
                        .verdict());
    }
}
