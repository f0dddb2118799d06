// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.transport;

import io.netty.buffer.ByteBuf;

/**
 * Finds the frames of HTTP/2 (RFC 9113, section 4.1) in a connection's bytes and says what reading
 * them costs. A frame costs one token, and one more for each {@value #BYTES_PER_TOKEN} bytes of a
 * payload that is thrown away; data costs nothing but where a frame brings next to none.
 */
final class FrameCosts {
    private static final int PREFACE_BYTES = 24;
    private static final int HEAD_BYTES = 9;
    private static final int TYPE_OFFSET = 3;
    private static final int DATA = 0;
    private static final int HEADERS = 1;
    private static final int CONTINUATION = 9;
    private static final int BYTES_PER_TOKEN = 64;

    /** A frame with less data than this costs as much as one without. */
    private static final int SMALL_DATA_BYTES = 64;

    private int bytesToSkip = PREFACE_BYTES;
    private int headBytes;
    private int length;
    private int type;

    /** What the frames cost whose heads end in these bytes, in tokens; moves no index. */
    long of(ByteBuf bytes) {
        long cost = 0;
        int at = bytes.readerIndex();
        int end = bytes.writerIndex();
        while (at < end) {
            if (bytesToSkip > 0) {
                int skipped = Math.min(bytesToSkip, end - at);
                bytesToSkip -= skipped;
                at += skipped;
            } else {
                cost += headByte(bytes.getUnsignedByte(at++));
            }
        }
        return cost;
    }

    private long headByte(int value) {
        if (headBytes < TYPE_OFFSET) {
            length = length << 8 | value;
        } else if (headBytes == TYPE_OFFSET) {
            type = value;
        }
        headBytes++;
        if (headBytes < HEAD_BYTES) {
            return 0;
        }
        long cost = cost();
        bytesToSkip = length;
        headBytes = 0;
        length = 0;
        return cost;
    }

    private long cost() {
        if (type == DATA) {
            return length < SMALL_DATA_BYTES ? 1 : 0;
        }
        boolean isHeaderBlock = type == HEADERS || type == CONTINUATION;
        return isHeaderBlock ? 1 : 1 + length / BYTES_PER_TOKEN;
    }
}
