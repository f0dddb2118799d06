// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import static org.junit.jupiter.api.Assertions.assertEquals;

import calicostream.durable.StateLossDetector.Doubt;
import calicostream.durable.StateLossDetector.Own;
import calicostream.durable.StateLossDetector.Seen;
import calicostream.durable.StateLossDetector.Standing;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class AmnesiaTest {

    private static final Set<String> OTHERS = Set.of("b", "c", "d", "e");
    private static final Own SOUND = new Own(5, 7, "b", 100, Standing.ADMITTED, Doubt.NONE, "");
    private static final Own NEW = new Own(1, 0, "", 0, Standing.FRESH, Doubt.NONE, "");

    private static RecoveryVerdict judge(Own own, Seen b) {
        return StateLossDetector.judge(own, true, OTHERS, Map.of("b", b, "c", Seen.NOTHING))
                .verdict();
    }

    private static Seen seen(long incarnation, long term, long acknowledged, long vote) {
        return new Seen(incarnation, term, acknowledged, vote, false, true);
    }

    @Test
    void aSoundMemberVotesOnceAMajorityHasTold() {
        assertEquals(
                RecoveryVerdict.WAIT,
                StateLossDetector.judge(SOUND, true, OTHERS, Map.of()).verdict());
        assertEquals(
                RecoveryVerdict.WAIT,
                StateLossDetector.judge(SOUND, true, OTHERS, Map.of("b", Seen.NOTHING)).verdict());
        assertEquals(
                RecoveryVerdict.WAIT,
                StateLossDetector.judge(
                                SOUND,
                                true,
                                OTHERS,
                                Map.of("b", Seen.NOTHING, "stranger", Seen.NOTHING))
                        .verdict());
        assertEquals(RecoveryVerdict.VOTER, judge(SOUND, Seen.NOTHING));
        assertEquals(
                RecoveryVerdict.VOTER,
                StateLossDetector.judge(SOUND, true, Set.of(), Map.of()).verdict());
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
                judge(new Own(5, 7, "c", 100, Standing.ADMITTED, Doubt.NONE, ""), seen(4, 7, 0, 7)),
                "two votes");
    }

    @Test
    void ownDoubtsAndBarsOutweighSilence() {
        for (Doubt doubt : Doubt.values()) {
            Own own = new Own(5, 7, "b", 100, Standing.ADMITTED, doubt, "facts");
            assertEquals(
                    doubt == Doubt.NONE ? RecoveryVerdict.VOTER : RecoveryVerdict.LEARNER,
                    judge(own, Seen.NOTHING),
                    doubt.name());
        }
        assertEquals(
                RecoveryVerdict.LEARNER,
                judge(new Own(5, 7, "b", 100, Standing.BARRED, Doubt.NONE, "facts"), Seen.NOTHING));
        assertEquals(
                RecoveryVerdict.REFUSE,
                judge(SOUND, new Seen(4, 7, 0, 0, true, true)),
                "another process of its name lives");
    }

    @Test
    void aGroupIsFoundedByAllItsFirstVotersOrNotAtAll() {
        Map<String, Seen> three = Map.of("b", Seen.NOTHING, "c", Seen.NOTHING, "d", Seen.NOTHING);
        Map<String, Seen> all =
                Map.of("b", Seen.NOTHING, "c", Seen.NOTHING, "d", Seen.NOTHING, "e", Seen.NOTHING);
        assertEquals(
                RecoveryVerdict.WAIT, StateLossDetector.judge(NEW, true, OTHERS, three).verdict());
        assertEquals(
                RecoveryVerdict.VOTER, StateLossDetector.judge(NEW, true, OTHERS, all).verdict());
        assertEquals(
                RecoveryVerdict.LEARNER,
                StateLossDetector.judge(NEW, false, OTHERS, all).verdict());
        assertEquals(
                RecoveryVerdict.LEARNER,
                judge(NEW, new Seen(0, 0, 0, 0, false, true)),
                "an emptied folder beside a living group");
        assertEquals(
                RecoveryVerdict.LEARNER,
                judge(NEW, seen(3, 0, 0, 0)),
                "an emptied folder of a member that was seen");
        assertEquals(
                RecoveryVerdict.LEARNER,
                StateLossDetector.judge(
                                new Own(2, 3, "", 9, Standing.FRESH, Doubt.NONE, ""),
                                true,
                                OTHERS,
                                all)
                        .verdict());
    }
}
