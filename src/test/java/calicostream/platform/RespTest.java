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

/** RESP arrays must be read correctly wherever the input is split or the ring buffer wraps. */
class RespTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Test
    void readsArraysSplitAtAnyByte() throws InvalidInputException {
        RingBuffer buffer = new RingBuffer(1 << 14);
        Random random = new Random(5);
        for (int iteration = 0; iteration < 300; iteration++) {
            byte[] body = new byte[random.nextInt(3000)];
            random.nextBytes(body);
            byte[] encoded = Resp.array(bytes("id" + iteration), bytes("DONE"), bytes("-"), body);
            int splitAt = random.nextInt(encoded.length);
            assertTrue(buffer.put(java.util.Arrays.copyOf(encoded, splitAt)));
            assertNull(Resp.readArray(buffer));
            assertTrue(buffer.put(java.util.Arrays.copyOfRange(encoded, splitAt, encoded.length)));
            byte[][] items = Resp.readArray(buffer);
            assertEquals("id" + iteration, new String(items[0], StandardCharsets.ISO_8859_1));
            assertEquals(
                    new String(body, StandardCharsets.ISO_8859_1),
                    new String(items[3], StandardCharsets.ISO_8859_1));
            assertEquals(0, buffer.size());
        }
    }

    @Test
    void ringBufferPutAcceptsAllBytesOrNone() {
        RingBuffer buffer = new RingBuffer(4096);
        assertTrue(buffer.put(new byte[4000]));
        assertFalse(buffer.put(new byte[97]));
        assertEquals(4000, buffer.size());
        buffer.skip(3990);
        assertTrue(buffer.put(bytes("x".repeat(4000))));
        assertEquals(10, buffer.indexOf((byte) 'x', 0));
        assertEquals(
                "x".repeat(4000), new String(buffer.copy(10, 4000), StandardCharsets.ISO_8859_1));
    }

    @Test
    void ringBufferAllocatesMemoryOnlyWhileNotEmpty() {
        RingBuffer buffer = new RingBuffer(1 << 17);
        assertEquals(0, buffer.allocatedBytes());
        assertTrue(buffer.put(new byte[70_000]));
        assertTrue(buffer.allocatedBytes() >= 70_000 && buffer.allocatedBytes() <= 1 << 17);
        buffer.skip(70_000);
        assertEquals(0, buffer.allocatedBytes());
        RingBuffer.MemoryUsage sharedUsage = new RingBuffer.MemoryUsage();
        RingBuffer first = new RingBuffer(4096, sharedUsage);
        RingBuffer second = new RingBuffer(4096, sharedUsage);
        assertTrue(first.put(new byte[600]) && second.put(new byte[3000]));
        assertEquals(first.allocatedBytes() + second.allocatedBytes(), sharedUsage.bytes());
        first.skip(600);
        second.skip(3000);
        assertEquals(0, sharedUsage.bytes());
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
    void rejectsMalformedArrays(String input) {
        RingBuffer buffer = new RingBuffer(4096);
        buffer.put(bytes(input));
        assertThrows(InvalidInputException.class, () -> Resp.readArray(buffer));
    }
}
