// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Elapsed time never exceeds what really passed. */
class BoundedElapsedTimeTest {
    private static final long SEED = 77;
    private static final long PERIOD_NANOS = 50_000_000;

    /**
     * Updates come a period apart or later, by a clock that jumps ahead; the elapsed time never
     * exceeds the time that really passed.
     */
    @Test
    void clockJumpsAndPausesNeverExpireAnythingEarly() {
        Random random = new Random(SEED);
        BoundedElapsedTime time = new BoundedElapsedTime(PERIOD_NANOS);
        long clock = random.nextLong();
        long passed = 0;
        long first = time.advance(clock);
        long previous = first;
        long jumps = 0;
        for (int i = 0; i < 10_000; i++) {
            long stepNanos = PERIOD_NANOS + (random.nextInt(4) == 0 ? random.nextInt(1 << 30) : 0);
            long jumpNanos = random.nextInt(10) == 0 ? random.nextLong() >>> 20 : 0;
            passed += stepNanos;
            clock += stepNanos + jumpNanos;
            jumps += jumpNanos > 0 ? 1 : 0;
            long now = time.advance(clock);
            assertTrue(now >= previous && now - first <= passed, "seed " + SEED);
            previous = now;
        }
        assertTrue(jumps > 500);
        assertEquals(10_000 * PERIOD_NANOS, previous - first, "a period each time, no less");
    }

    @Test
    void updatesWithinThePeriodCountInFull() {
        BoundedElapsedTime time = new BoundedElapsedTime(PERIOD_NANOS);
        long first = time.advance(5);
        assertEquals(7, time.advance(12) - first);
        assertEquals(7, time.advance(3) - first, "a clock that goes back counts nothing");
        assertEquals(17, time.advance(13) - first);
    }
}
