// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import static org.junit.jupiter.api.Assertions.assertEquals;

import calicostream.durable.Amnesia.Doubt;
import calicostream.durable.Amnesia.Own;
import calicostream.durable.Amnesia.Seen;
import calicostream.durable.Amnesia.Standing;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class AmnesiaTest {

    private static final Set<String> OTHERS = Set.of("b", "c", "d", "e");
    private static final Own SOUND = new Own(5, 7, "b", 100, Standing.ADMITTED, Doubt.NONE, "");
    private static final Own NEW = new Own(1, 0, "", 0, Standing.FRESH, Doubt.NONE, "");

    private static Verdict judge(Own own, Seen b) {
        return Amnesia.judge(own, true, OTHERS, Map.of("b", b, "c", Seen.NOTHING)).verdict();
    }

    private static Seen seen(long incarnation, long term, long acknowledged, long vote) {
        return new Seen(incarnation, term, acknowledged, vote, false, true);
    }

    @Test
    void aSoundMemberVotesOnceAMajorityHasTold() {
        assertEquals(Verdict.WAIT, Amnesia.judge(SOUND, true, OTHERS, Map.of()).verdict());
        assertEquals(
                Verdict.WAIT,
                Amnesia.judge(SOUND, true, OTHERS, Map.of("b", Seen.NOTHING)).verdict());
        assertEquals(
                Verdict.WAIT,
                Amnesia.judge(
                                SOUND,
                                true,
                                OTHERS,
                                Map.of("b", Seen.NOTHING, "stranger", Seen.NOTHING))
                        .verdict());
        assertEquals(Verdict.VOTER, judge(SOUND, Seen.NOTHING));
        assertEquals(Verdict.VOTER, Amnesia.judge(SOUND, true, Set.of(), Map.of()).verdict());
    }

    @Test
    void whatAPeerRemembersBeyondTheLogMakesALearner() {
        assertEquals(Verdict.VOTER, judge(SOUND, seen(4, 7, 100, 7)));
        assertEquals(Verdict.LEARNER, judge(SOUND, seen(5, 7, 100, 7)), "incarnation seen before");
        assertEquals(Verdict.LEARNER, judge(SOUND, seen(4, 8, 0, 0)), "later term");
        assertEquals(
                Verdict.LEARNER,
                judge(SOUND, seen(4, 7, 101, 0)),
                "acknowledged more in this term");
        assertEquals(
                Verdict.VOTER,
                judge(SOUND, seen(4, 6, 500, 0)),
                "an earlier leader's entries may be cut by a later one");
        assertEquals(Verdict.LEARNER, judge(SOUND, seen(4, 7, 0, 8)), "voted in a later term");
        assertEquals(
                Verdict.LEARNER,
                judge(new Own(5, 7, "c", 100, Standing.ADMITTED, Doubt.NONE, ""), seen(4, 7, 0, 7)),
                "two votes");
    }

    @Test
    void ownDoubtsAndBarsOutweighSilence() {
        for (Doubt doubt : Doubt.values()) {
            Own own = new Own(5, 7, "b", 100, Standing.ADMITTED, doubt, "facts");
            assertEquals(
                    doubt == Doubt.NONE ? Verdict.VOTER : Verdict.LEARNER,
                    judge(own, Seen.NOTHING),
                    doubt.name());
        }
        assertEquals(
                Verdict.LEARNER,
                judge(new Own(5, 7, "b", 100, Standing.BARRED, Doubt.NONE, "facts"), Seen.NOTHING));
        assertEquals(
                Verdict.REFUSE,
                judge(SOUND, new Seen(4, 7, 0, 0, true, true)),
                "another process of its name lives");
    }

    @Test
    void aGroupIsFoundedByAllItsFirstVotersOrNotAtAll() {
        Map<String, Seen> three = Map.of("b", Seen.NOTHING, "c", Seen.NOTHING, "d", Seen.NOTHING);
        Map<String, Seen> all =
                Map.of("b", Seen.NOTHING, "c", Seen.NOTHING, "d", Seen.NOTHING, "e", Seen.NOTHING);
        assertEquals(Verdict.WAIT, Amnesia.judge(NEW, true, OTHERS, three).verdict());
        assertEquals(Verdict.VOTER, Amnesia.judge(NEW, true, OTHERS, all).verdict());
        assertEquals(Verdict.LEARNER, Amnesia.judge(NEW, false, OTHERS, all).verdict());
        assertEquals(
                Verdict.LEARNER,
                judge(NEW, new Seen(0, 0, 0, 0, false, true)),
                "an emptied folder beside a living group");
        assertEquals(
                Verdict.LEARNER,
                judge(NEW, seen(3, 0, 0, 0)),
                "an emptied folder of a member that was seen");
        assertEquals(
                Verdict.LEARNER,
                Amnesia.judge(
                                new Own(2, 3, "", 9, Standing.FRESH, Doubt.NONE, ""),
                                true,
                                OTHERS,
                                all)
                        .verdict());
    }
}
