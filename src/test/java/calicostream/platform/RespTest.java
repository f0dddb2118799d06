// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.net.InvalidInputException;
import calicostream.net.RingBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** RESP out of a ring, however the bytes arrive and wherever the ring's end lies. */
class RespTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Test
    void arraysComeOutWholeWhereverTheyAreCut() throws InvalidInputException {
        RingBuffer ring = new RingBuffer(1 << 14);
        Random random = new Random(5);
        for (int round = 0; round < 300; round++) {
            byte[] body = new byte[random.nextInt(3000)];
            random.nextBytes(body);
            byte[] whole = Resp.array(bytes("id" + round), bytes("DONE"), bytes("-"), body);
            int cut = random.nextInt(whole.length);
            assertTrue(ring.put(java.util.Arrays.copyOf(whole, cut)));
            assertNull(Resp.take(ring));
            assertTrue(ring.put(java.util.Arrays.copyOfRange(whole, cut, whole.length)));
            byte[][] items = Resp.take(ring);
            assertEquals("id" + round, new String(items[0], StandardCharsets.ISO_8859_1));
            assertEquals(
                    new String(body, StandardCharsets.ISO_8859_1),
                    new String(items[3], StandardCharsets.ISO_8859_1));
            assertEquals(0, ring.size());
        }
    }

    @Test
    void aRingTakesAllOfSomethingOrNothing() {
        RingBuffer ring = new RingBuffer(4096);
        assertTrue(ring.put(new byte[4000]));
        assertFalse(ring.put(new byte[97]));
        assertEquals(4000, ring.size());
        ring.skip(3990);
        assertTrue(ring.put(bytes("x".repeat(4000))));
        assertEquals(10, ring.indexOf((byte) 'x', 0));
        assertEquals(
                "x".repeat(4000), new String(ring.copy(10, 4000), StandardCharsets.ISO_8859_1));
    }

    @Test
    void aRingTakesMemoryOnlyWhileItHoldsBytes() {
        RingBuffer ring = new RingBuffer(1 << 17);
        assertEquals(0, ring.allocatedBytes());
        assertTrue(ring.put(new byte[70_000]));
        assertTrue(ring.allocatedBytes() >= 70_000 && ring.allocatedBytes() <= 1 << 17);
        ring.skip(70_000);
        assertEquals(0, ring.allocatedBytes());
        RingBuffer.MemoryUsage all = new RingBuffer.MemoryUsage();
        RingBuffer one = new RingBuffer(4096, all);
        RingBuffer other = new RingBuffer(4096, all);
        assertTrue(one.put(new byte[600]) && other.put(new byte[3000]));
        assertEquals(one.allocatedBytes() + other.allocatedBytes(), all.bytes());
        one.skip(600);
        other.skip(3000);
        assertEquals(0, all.bytes());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "+OK\r\n",
                "*x\r\n",
                "*9\r\n",
                "*1\r\n:5\r\n",
                "*1\r\n$3\r\nabcde\r\n",
                "*1\n$1\r\na\r\n",
                "*1\r\n$9999999\r\n",
                "*-1\r\n",
                "*0000000000000001",
                "*1\r\n$\r\n"
            })
    void whatIsNotAnArrayOfBulkStringsIsBad(String text) {
        RingBuffer ring = new RingBuffer(4096);
        ring.put(bytes(text));
        assertThrows(InvalidInputException.class, () -> Resp.take(ring));
    }
}
