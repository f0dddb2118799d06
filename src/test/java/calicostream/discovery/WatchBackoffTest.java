// SPDX-License-Identifier: Apache-2.0
package calicostream.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class WatchBackoffTest {
    private static final long MS = 1_000;
    private static final long S = 1_000_000;
    private static final int TIER = 100;

    /** The calls of a tier whose source ended at 0 and refuses until the given time. */
    private static List<Long> calls(long until) {
        List<Long> calls = new ArrayList<>();
        for (int i = 0; i < TIER; i++) {
            WatchBackoff asking = new WatchBackoff(i);
            asking.requestStarted(-10 * S);
            asking.responseStarted();
            for (long at = asking.nextRequestAt(0); at < until; at = asking.nextRequestAt(at)) {
                asking.requestStarted(at);
                calls.add(at);
            }
        }
        return calls;
    }

    private static long busiest(List<Long> calls, long window) {
        return calls.stream()
                .mapToLong(
                        from ->
                                calls.stream()
                                        .filter(at -> at >= from && at < from + window)
                                        .count())
                .max()
                .orElse(0);
    }

    @Test
    void aTierDoesNotAskInTheSameMoment() {
        assertTrue(busiest(calls(100 * MS), 5 * MS) < TIER / 5, "right after the end");
        List<Long> later = calls(10 * S).stream().filter(at -> at > 2 * S).toList();
        double even = later.size() * 5.0 * MS / (8 * S);
        assertTrue(
                busiest(later, 5 * MS) < 10 * even,
                busiest(later, 5 * MS) + " in 5 ms against " + even);
    }

    @Test
    void aSourceThatIsBackIsAskedByAllInTime() {
        for (int i = 0; i < TIER; i++) {
            WatchBackoff asking = new WatchBackoff(i);
            long at = 0;
            for (int tries = 0; tries < 50; tries++) {
                asking.requestStarted(at);
                long next = asking.nextRequestAt(at);
                assertTrue(
                        next >= at + 50 * MS && next <= at + 640 * MS,
                        "seed " + i + ": after " + (next - at) + " us");
                at = next;
            }
            asking.responseStarted();
            assertTrue(
                    asking.nextRequestAt(at + S) < at + S + 100 * MS,
                    "seed " + i + ": one that had answered is asked soon");
        }
    }

    @Test
    void silenceEndsACallSoonerBeforeItsAnswerHasBegun() {
        WatchBackoff asking = new WatchBackoff(1);
        assertFalse(asking.isStalled(S, 0, true));
        assertTrue(asking.isStalled(S, 0, false));
        assertTrue(asking.isStalled(3 * S, 0, true));
        assertEquals(
                new WatchBackoff(7).nextRequestAt(5),
                new WatchBackoff(7).nextRequestAt(5),
                "the seed decides");
    }
}
