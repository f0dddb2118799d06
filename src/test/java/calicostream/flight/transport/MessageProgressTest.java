// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

class MessageProgressTest {
    private static ByteBuf message(int length) {
        return Unpooled.buffer().writeByte(0).writeInt(length).writeZero(length);
    }

    @Test
    void countsWhatHasArrivedOfTheMessageThatIsNotWhole() {
        MessageProgress progress = new MessageProgress();
        ByteBuf bytes = Unpooled.wrappedBuffer(message(10), message(0), message(100));
        int wholeAt = 15 + 5;
        for (int read = 1; read < wholeAt + 105; read++) {
            progress.received(bytes.readSlice(1));
            int expected = read < 15 ? read : read < wholeAt ? read - 15 : read - wholeAt;
            assertEquals(expected, progress.partialBytes(), "after " + read);
        }
        progress.received(bytes);
        assertEquals(0, progress.partialBytes());
    }

    @Test
    void readsALengthOfFourBytesWithoutASign() {
        MessageProgress progress = new MessageProgress();
        progress.received(Unpooled.buffer().writeByte(0).writeInt(-1).writeZero(10));
        assertEquals(15, progress.partialBytes());
    }
}
