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

/** The verdicts on members, by their own files and by what peers observed. */
class StateLossDetectorTest {

    private static final Set<String> OTHERS = Set.of("b", "c", "d", "e");
    private static final LocalState UNDAMAGED =
            new LocalState(5, 7, "b", 100, VotingStatus.ADMITTED, StateLoss.NONE, "");
    private static final LocalState NEW =
            new LocalState(1, 0, "", 0, VotingStatus.NEW, StateLoss.NONE, "");

    private static RecoveryVerdict assess(LocalState own, PeerObservation b) {
        return StateLossDetector.assess(
                        own, true, OTHERS, Map.of("b", b, "c", PeerObservation.NONE))
                .verdict();
    }

    private static PeerObservation observed(
            long incarnation, long term, long acknowledged, long vote) {
        return new PeerObservation(incarnation, term, acknowledged, vote, false, true);
    }

    @Test
    void undamagedMemberVotesOnceAMajorityHasReported() {
        assertEquals(
                RecoveryVerdict.WAIT,
                StateLossDetector.assess(UNDAMAGED, true, OTHERS, Map.of()).verdict());
        assertEquals(
                RecoveryVerdict.WAIT,
                StateLossDetector.assess(UNDAMAGED, true, OTHERS, Map.of("b", PeerObservation.NONE))
                        .verdict());
        assertEquals(
                RecoveryVerdict.WAIT,
                StateLossDetector.assess(
                                UNDAMAGED,
                                true,
                                OTHERS,
                                Map.of("b", PeerObservation.NONE, "stranger", PeerObservation.NONE))
                        .verdict());
        assertEquals(RecoveryVerdict.VOTER, assess(UNDAMAGED, PeerObservation.NONE));
        assertEquals(
                RecoveryVerdict.VOTER,
                StateLossDetector.assess(UNDAMAGED, true, Set.of(), Map.of()).verdict());
    }

    @Test
    void observationsBeyondTheLogMakeALearner() {
        assertEquals(RecoveryVerdict.VOTER, assess(UNDAMAGED, observed(4, 7, 100, 7)));
        assertEquals(
                RecoveryVerdict.LEARNER,
                assess(UNDAMAGED, observed(5, 7, 100, 7)),
                "incarnation seen before");
        assertEquals(
                RecoveryVerdict.LEARNER, assess(UNDAMAGED, observed(4, 8, 0, 0)), "later term");
        assertEquals(
                RecoveryVerdict.LEARNER,
                assess(UNDAMAGED, observed(4, 7, 101, 0)),
                "acknowledged more in this term");
        assertEquals(
                RecoveryVerdict.VOTER,
                assess(UNDAMAGED, observed(4, 6, 500, 0)),
                "an earlier leader's entries may be truncated by a later one");
        assertEquals(
                RecoveryVerdict.LEARNER,
                assess(UNDAMAGED, observed(4, 7, 0, 8)),
                "voted in a later term");
        assertEquals(
                RecoveryVerdict.LEARNER,
                assess(
                        new LocalState(5, 7, "c", 100, VotingStatus.ADMITTED, StateLoss.NONE, ""),
                        observed(4, 7, 0, 7)),
                "two votes");
    }

    @Test
    void ownStateLossAndSuspensionMakeALearner() {
        for (StateLoss stateLoss : StateLoss.values()) {
            LocalState own =
                    new LocalState(5, 7, "b", 100, VotingStatus.ADMITTED, stateLoss, "facts");
            assertEquals(
                    stateLoss == StateLoss.NONE ? RecoveryVerdict.VOTER : RecoveryVerdict.LEARNER,
                    assess(own, PeerObservation.NONE),
                    stateLoss.name());
        }
        assertEquals(
                RecoveryVerdict.LEARNER,
                assess(
                        new LocalState(
                                5, 7, "b", 100, VotingStatus.SUSPENDED, StateLoss.NONE, "facts"),
                        PeerObservation.NONE));
        assertEquals(
                RecoveryVerdict.REFUSE,
                assess(UNDAMAGED, new PeerObservation(4, 7, 0, 0, true, true)),
                "another process of its name is connected");
    }

    @Test
    void groupIsFormedByAllItsFirstVotersOrNotAtAll() {
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
                assess(NEW, new PeerObservation(0, 0, 0, 0, false, true)),
                "an emptied folder beside a living group");
        assertEquals(
                RecoveryVerdict.LEARNER,
                assess(NEW, observed(3, 0, 0, 0)),
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
