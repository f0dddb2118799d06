// SPDX-License-Identifier: Apache-2.0
package calicostream.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class ProxiedLinkTest {
    private static final long MS = 1_000_000;
    private final ProxiedLink passage = new ProxiedLink();

    @Test
    void healthyLinkPassesAllAtOnce() {
        passage.took(100, 0);
        assertEquals(100, passage.due(0));
        passage.gave(100);
        assertEquals(0, passage.held());
        assertEquals(ProxiedLink.ROOM, passage.room());
    }

    @Test
    void stalledLinkKeepsWhatItTookAndPassesItLater() {
        passage.set(LinkFault.STALL, 0);
        passage.took(100, 0);
        assertEquals(0, passage.due(1000 * MS));
        assertEquals(Long.MAX_VALUE, passage.nextLook(1000 * MS));
        passage.set(LinkFault.NONE, 2000 * MS);
        assertEquals(100, passage.due(2000 * MS));
        assertFalse(passage.isOver());
    }

    @Test
    void muteLinkReadsNothing() {
        passage.set(LinkFault.MUTE, 0);
        assertEquals(0, passage.room());
        assertFalse(passage.isOver());
    }

    @Test
    void linkThatSwallowedEndsItsConnection() {
        passage.took(10, 0);
        passage.set(LinkFault.SWALLOW, 0);
        passage.took(100, 0);
        assertEquals(0, passage.due(0));
        assertEquals(ProxiedLink.ROOM, passage.room());
        assertFalse(passage.isOver());
        passage.set(LinkFault.NONE, MS);
        assertTrue(passage.isOver(), "its stream has a hole");
    }

    @Test
    void delayedBytesNeverOvertakeEachOther() {
        passage.set(LinkFault.delay(50), 0);
        passage.took(10, 0);
        passage.set(LinkFault.NONE, 10 * MS);
        passage.took(20, 10 * MS);
        assertEquals(0, passage.due(49 * MS));
        assertEquals(50 * MS, passage.nextLook(10 * MS));
        assertEquals(30, passage.due(50 * MS));
    }

    @Test
    void resetComesAfterItsBytes() {
        passage.set(LinkFault.resetAfter(150), 0);
        passage.took(100, 0);
        passage.took(100, 0);
        assertEquals(150, passage.due(0));
        passage.gave(150);
        assertTrue(passage.isReset());
        assertEquals(0, passage.due(0));
    }

    @Test
    void oneByteInSoManyIsSpoilt() {
        passage.set(LinkFault.rot(100), 0);
        passage.took(250, 0);
        assertTrue(
                passage.spoils(99)
                        && passage.spoils(199)
                        && !passage.spoils(98)
                        && !passage.spoils(100));
        passage.gave(50);
        assertTrue(passage.spoils(49));
        passage.gave(50);
        assertTrue(passage.spoils(99) && !passage.spoils(49));
    }

    /**
     * Whatever is switched when: nothing passes that was not taken, no more waits than there is
     * room for, and all passes in the end.
     */
    @Test
    void randomFaultsKeepTheCounts() {
        for (long seed = 1; seed <= 300; seed++) {
            Random random = new Random(seed);
            ProxiedLink each = new ProxiedLink();
            long now = 0;
            long in = 0;
            long out = 0;
            boolean swallowed = false;
            for (int step = 0; step < 200; step++) {
                now += random.nextInt(30) * MS;
                int what = random.nextInt(12);
                if (what < 6) {
                    LinkFault[] faults = {
                        LinkFault.NONE,
                        LinkFault.STALL,
                        LinkFault.MUTE,
                        LinkFault.delay(1 + random.nextInt(80)),
                        LinkFault.throttle(1 + random.nextInt(100_000)),
                        LinkFault.rot(1 + random.nextInt(100))
                    };
                    each.set(faults[what], now);
                } else if (what == 11 && random.nextInt(50) == 0) {
                    each.set(LinkFault.SWALLOW, now);
                    swallowed = true;
                }
                int room = each.room();
                assertTrue(
                        room >= 0 && (swallowed || room + each.held() <= ProxiedLink.ROOM),
                        "seed " + seed);
                int n = room == 0 ? 0 : random.nextInt(Math.min(room, 9000) + 1);
                if (n > 0) {
                    each.took(n, now);
                    in += n;
                }
                int due = each.due(now);
                assertTrue(due <= each.held(), "seed " + seed);
                int gave = due == 0 ? 0 : random.nextInt(due + 1);
                each.gave(gave);
                out += gave;
                assertTrue(swallowed || in - out == each.held(), "seed " + seed);
                assertTrue(each.due(now) == 0 || each.nextLook(now) <= now, "seed " + seed);
            }
            each.set(LinkFault.NONE, now);
            assertEquals(swallowed ? 0 : each.held(), each.due(now + 100 * MS), "seed " + seed);
        }
    }

    @Test
    void throttledLinkPassesItsRateAndNoMore() {
        passage.set(LinkFault.throttle(10_000), 0);
        passage.took(60_000, 0);
        long passed = 0;
        long now = 0;
        for (; now < 2000 * MS; now = Math.max(now + 1, passage.nextLook(now))) {
            int due = passage.due(now);
            passage.gave(due);
            passed += due;
        }
        assertTrue(
                passed >= 19_000 && passed <= 20_200, passed + " bytes in 2 s at 10,000 a second");
    }
}
