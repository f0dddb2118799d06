// SPDX-License-Identifier: Apache-2.0
package calicostream.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.rig.OperationHistory.Act;
import calicostream.rig.OperationHistory.Answer;
import calicostream.rig.OperationHistory.Answered;
import calicostream.rig.OperationHistory.Asked;
import calicostream.rig.OperationHistory.Dropped;
import calicostream.rig.OperationHistory.Ran;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * A judge that never finds anything proves nothing: each of its findings is shown a history that
 * has it, and one that has not.
 */
class OperationHistoryCheckerTest {
    private final OperationHistory history = new OperationHistory();

    private OperationHistoryChecker judge() {
        return new OperationHistoryChecker(history.copy());
    }

    private void act(long token, String who, long number, boolean done) {
        history.add(new Act("task", token, who, number, history.copy().acts().size(), done));
    }

    @Test
    void actUnderAnOldTokenIsADoubleAct() {
        act(1, "a", 1, true);
        act(2, "b", 1, true);
        act(1, "a", 2, false);
        act(2, "b", 2, true);
        assertEquals(List.of(), judge().doubleActs());
        act(1, "a", 2, true);
        assertEquals(1, judge().doubleActs().size());
    }

    @Test
    void twoActorsUnderOneTokenAreADoubleAct() {
        act(1, "a", 1, true);
        act(1, "b", 1, true);
        assertEquals(1, judge().doubleActs().size());
    }

    @Test
    void sameActTwiceIsADoubleAct() {
        act(1, "a", 1, true);
        act(1, "a", 1, true);
        assertEquals(1, judge().doubleActs().size());
    }

    @Test
    void handoverCountsToTheFirstActUnderAHigherToken() {
        history.add(new Act("task", 1, "a", 1, 100, true));
        history.add(new Act("task", 1, "a", 2, 250, true));
        history.add(new Act("task", 2, "b", 1, 300, false));
        history.add(new Act("task", 2, "b", 1, 450, true));
        assertEquals(List.of(250L), judge().handovers("task", List.of(200L)));
        assertEquals(List.of(), judge().handovers("task", List.of(500L)));
    }

    @Test
    void requestWithoutAnEndIsLost() {
        history.add(new Asked("1", 1, 0));
        history.add(new Asked("2", 1, 0));
        history.add(new Asked("3", 1, 0));
        history.add(new Asked("4", 1, 0));
        history.add(new Answered("1", 1, 5, Answer.REFUSED));
        history.add(new Dropped("2", 1, 5, true));
        history.add(new Dropped("3", 1, 5, false));
        assertEquals(List.of("3", "4"), judge().lost());
    }

    @Test
    void secondAnswerAndSecondRunAreFound() {
        history.add(new Asked("1", 1, 0));
        history.add(new Answered("1", 1, 5, Answer.SERVED));
        history.add(new Ran("1", 0, 1, 3));
        assertTrue(judge().answeredTwice().isEmpty() && judge().ranTwice().isEmpty());
        history.add(new Answered("1", 1, 6, Answer.SERVED));
        history.add(new Answered("9", 1, 6, Answer.SERVED));
        history.add(new Ran("1", 1, 4, 5));
        assertEquals(List.of("1", "9"), judge().answeredTwice());
        assertEquals(List.of("1"), judge().ranTwice());
    }

    @Test
    void moreAtOnceThanTheCapIsFound() {
        history.add(new Ran("1", 0, 0, 10));
        history.add(new Ran("2", 0, 5, 15));
        history.add(new Ran("3", 0, 10, 20));
        history.add(new Ran("4", 1, 6, 9));
        assertEquals(0, judge().overCap(2));
        history.add(new Ran("5", 0, 8, Long.MAX_VALUE));
        assertEquals(2, judge().overCap(2), "as the fifth begins, and as the third does");
        assertEquals(3, judge().mostAtOnce());
    }

    @Test
    void silenceAndShareServedAreOfTheFrontEndAlone() {
        history.add(new Asked("1", 1, 0));
        history.add(new Asked("2", 2, 0));
        history.add(new Answered("1", 1, 30, Answer.SERVED));
        assertEquals(1.0, judge().served(Set.of(1), 0, 100));
        assertEquals(0.5, judge().served(Set.of(1, 2), 0, 100));
        assertEquals(1, judge().ended(Set.of(1, 2), 0, 100, null));
        assertEquals(70, judge().longestSilence(1, 0, 100));
        assertEquals(100, judge().longestSilence(2, 0, 100));
    }
}
