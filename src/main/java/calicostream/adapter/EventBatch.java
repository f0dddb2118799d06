// SPDX-License-Identifier: Apache-2.0
package calicostream.adapter;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * One frame of events, whose fields are read in order. A frame is big-endian and packed: the number
 * of records, the length in bytes with the header, the time in microseconds, and the records. All
 * methods that read throw {@link MalformedFrameException} where the frame ends before the field.
 */
final class EventBatch {
    static final int HEADER_BYTES = 16;
    private static final int MAX_FRAME_BYTES = 1 << 30;
    private static final int END_OF_INPUT = -1;

    private final long recordCount;
    private final long timeMicros;
    private final ByteBuffer body;

    private EventBatch(long recordCount, long timeMicros, byte[] body) {
        this.recordCount = recordCount;
        this.timeMicros = timeMicros;
        this.body = ByteBuffer.wrap(body);
    }

    /**
     * Reads the next frame.
     *
     * @return null at the end of input
     */
    static EventBatch read(DataInputStream in) throws IOException {
        int firstByte = in.read();
        if (firstByte == END_OF_INPUT) {
            return null;
        }
        try {
            long recordCount =
                    (long) firstByte << 24 | in.readUnsignedByte() << 16 | in.readUnsignedShort();
            long length = Integer.toUnsignedLong(in.readInt());
            long timeMicros = in.readLong();
            if (length < HEADER_BYTES || length > MAX_FRAME_BYTES) {
                throw new MalformedFrameException("bad frame: a length of " + length + " bytes");
            }
            byte[] body = new byte[(int) length - HEADER_BYTES];
            in.readFully(body);
            return new EventBatch(recordCount, timeMicros, body);
        } catch (EOFException e) {
            throw new MalformedFrameException("bad frame: input ended inside a frame");
        }
    }

    long recordCount() {
        return recordCount;
    }

    long timeMicros() {
        return timeMicros;
    }

    private void require(long byteCount) {
        if (byteCount > body.remaining()) {
            throw new MalformedFrameException("bad frame: a record runs past the end of its frame");
        }
    }

    int u8() {
        require(Byte.BYTES);
        return Byte.toUnsignedInt(body.get());
    }

    int u16() {
        require(Short.BYTES);
        return Short.toUnsignedInt(body.getShort());
    }

    long u32() {
        require(Integer.BYTES);
        return Integer.toUnsignedLong(body.getInt());
    }

    long u64() {
        require(Long.BYTES);
        return body.getLong();
    }

    double f32() {
        require(Float.BYTES);
        return body.getFloat();
    }

    /** An engine's id of 48 bits. */
    long engine() {
        return u32() << 16 | u16();
    }

    String text(long byteCount) {
        require(byteCount);
        byte[] bytes = new byte[(int) byteCount];
        body.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    void skip(int byteCount) {
        require(byteCount);
        body.position(body.position() + byteCount);
    }

    /** Checks that all of the frame has been read. */
    void end() {
        if (body.hasRemaining()) {
            throw new MalformedFrameException(
                    "bad frame: " + body.remaining() + " bytes follow the last record");
        }
    }
}
