// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

class FrameCostsTest {
    private static final byte[] PREFACE = new byte[24];

    private static ByteBuf frames(int type, int length, int count) {
        ByteBuf out = Unpooled.buffer();
        for (int i = 0; i < count; i++) {
            out.writeMedium(length).writeByte(type).writeByte(0).writeInt(1).writeZero(length);
        }
        return out;
    }

    private static long cost(ByteBuf frames, int bytesAtOnce) {
        FrameCosts costs = new FrameCosts();
        ByteBuf all = Unpooled.wrappedBuffer(Unpooled.wrappedBuffer(PREFACE), frames);
        long sum = 0;
        while (all.isReadable()) {
            sum += costs.of(all.readSlice(Math.min(bytesAtOnce, all.readableBytes())));
        }
        return sum;
    }

    @Test
    void countsFramesHoweverTheirBytesAreRead() {
        for (int bytesAtOnce : new int[] {1, 7, 9, 10, 4096}) {
            assertEquals(100, cost(frames(6, 8, 100), bytesAtOnce), "pings");
            assertEquals(100, cost(frames(0, 0, 100), bytesAtOnce), "empty data");
            assertEquals(100, cost(frames(1, 300, 100), bytesAtOnce), "headers");
        }
    }

    @Test
    void dataCostsNothingAndIgnoredPayloadsCostByTheirLength() {
        assertEquals(0, cost(frames(0, 16_384, 10), 4096));
        assertEquals(10 * 257, cost(frames(0xf0, 16_384, 10), 4096));
    }
}
