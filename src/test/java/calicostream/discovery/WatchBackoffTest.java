// SPDX-License-Identifier: Apache-2.0
package calicostream.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The spread of retries over a fleet whose source fails, in virtual time. */
class WatchBackoffTest {
    private static final long MILLISECOND = 1_000;
    private static final long SECOND = 1_000_000;
    private static final int SERVERS = 100;

    /** Request times of a fleet whose source ends at 0 and rejects until the given time. */
    private static List<Long> requestTimes(long until) {
        List<Long> times = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            WatchBackoff backoff = new WatchBackoff(i);
            backoff.requestStarted(-10 * SECOND);
            backoff.responseStarted();
            for (long at = backoff.nextRequestAt(0); at < until; at = backoff.nextRequestAt(at)) {
                backoff.requestStarted(at);
                times.add(at);
            }
        }
        return times;
    }

    private static long maxInWindow(List<Long> times, long window) {
        return times.stream()
                .mapToLong(
                        from ->
                                times.stream()
                                        .filter(at -> at >= from && at < from + window)
                                        .count())
                .max()
                .orElse(0);
    }

    @Test
    void retriesOfAFleetAreSpread() {
        assertTrue(
                maxInWindow(requestTimes(100 * MILLISECOND), 5 * MILLISECOND) < SERVERS / 5,
                "right after the end");
        List<Long> later =
                requestTimes(10 * SECOND).stream().filter(at -> at > 2 * SECOND).toList();
        double even = later.size() * 5.0 * MILLISECOND / (8 * SECOND);
        assertTrue(
                maxInWindow(later, 5 * MILLISECOND) < 10 * even,
                maxInWindow(later, 5 * MILLISECOND) + " in 5 ms against " + even);
    }

    @Test
    void everyServerRetriesSoonAfterTheSourceIsBack() {
        for (int i = 0; i < SERVERS; i++) {
            WatchBackoff backoff = new WatchBackoff(i);
            long at = 0;
            for (int attempt = 0; attempt < 50; attempt++) {
                backoff.requestStarted(at);
                long next = backoff.nextRequestAt(at);
                assertTrue(
                        next >= at + 50 * MILLISECOND && next <= at + 640 * MILLISECOND,
                        "seed " + i + ": after " + (next - at) + " us");
                at = next;
            }
            backoff.responseStarted();
            assertTrue(
                    backoff.nextRequestAt(at + SECOND) < at + SECOND + 100 * MILLISECOND,
                    "seed " + i + ": one that had responded is retried soon");
        }
    }

    @Test
    void aRequestTimesOutSoonerBeforeItsResponseStarts() {
        WatchBackoff backoff = new WatchBackoff(1);
        assertFalse(backoff.isStalled(SECOND, 0, true));
        assertTrue(backoff.isStalled(SECOND, 0, false));
        assertTrue(backoff.isStalled(3 * SECOND, 0, true));
        assertEquals(
                new WatchBackoff(7).nextRequestAt(5),
                new WatchBackoff(7).nextRequestAt(5),
                "the seed decides");
    }
}
