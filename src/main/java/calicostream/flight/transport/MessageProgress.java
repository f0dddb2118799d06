// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.transport;

import io.netty.buffer.ByteBuf;

/**
 * Follows the messages of one stream through its bytes: gRPC puts a flag and a length of four bytes
 * before each. It says how much has arrived of the message that is not whole.
 */
final class MessageProgress {
    private static final int PREFIX_BYTES = 5;
    private int prefixBytes;
    private long length;
    private long missing;
    private long partialBytes;

    /** Takes in further bytes of the stream; moves no index. */
    void received(ByteBuf bytes) {
        int at = bytes.readerIndex();
        int end = bytes.writerIndex();
        while (at < end) {
            if (missing > 0) {
                long taken = Math.min(missing, end - at);
                missing -= taken;
                partialBytes += taken;
                at += taken;
                endIfWhole();
            } else {
                prefixByte(bytes.getUnsignedByte(at++));
            }
        }
    }

    private void prefixByte(int value) {
        length = prefixBytes == 0 ? 0 : length << 8 | value;
        prefixBytes++;
        partialBytes++;
        if (prefixBytes == PREFIX_BYTES) {
            missing = length;
            endIfWhole();
        }
    }

    private void endIfWhole() {
        if (missing == 0) {
            prefixBytes = 0;
            partialBytes = 0;
        }
    }

    /** Bytes of the message that is not whole; 0 between two messages. */
    long partialBytes() {
        return partialBytes;
    }
}
