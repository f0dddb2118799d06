// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class CountedTimeTest {
    private static final long SEED = 77;
    private static final long PERIOD = 50_000_000;

    /**
     * Looks come a period apart or later, by a clock that jumps ahead; what is counted is never
     * more than what passed.
     */
    @Test
    void jumpsAndStopsMakeNothingOverEarly() {
        Random random = new Random(SEED);
        BoundedElapsedTime time = new BoundedElapsedTime(PERIOD);
        long clock = random.nextLong();
        long passed = 0;
        long first = time.advance(clock);
        long before = first;
        long jumps = 0;
        for (int i = 0; i < 10_000; i++) {
            long span = PERIOD + (random.nextInt(4) == 0 ? random.nextInt(1 << 30) : 0);
            long jump = random.nextInt(10) == 0 ? random.nextLong() >>> 20 : 0;
            passed += span;
            clock += span + jump;
            jumps += jump > 0 ? 1 : 0;
            long now = time.advance(clock);
            assertTrue(now >= before && now - first <= passed, "seed " + SEED);
            before = now;
        }
        assertTrue(jumps > 500);
        assertEquals(10_000 * PERIOD, before - first, "a period each time, no less");
    }

    @Test
    void looksThatComeSoonerCountAsTheyCame() {
        BoundedElapsedTime time = new BoundedElapsedTime(PERIOD);
        long first = time.advance(5);
        assertEquals(7, time.advance(12) - first);
        assertEquals(7, time.advance(3) - first, "a clock that goes back counts nothing");
        assertEquals(17, time.advance(13) - first);
    }
}
