// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A growing byte array to which the fields of records are written, big-endian, and the matching
 * reads. Byte strings and texts (UTF-8) are preceded by their length as a 32-bit integer. One
 * thread.
 */
final class FieldBuffer {
    /** An array that has grown above this is replaced at {@link #clear()}, to free its memory. */
    private static final int MAX_RETAINED_BYTES = 1 << 20;

    private static final int REPLACEMENT_BYTES = 1 << 16;

    private byte[] array;
    private int size;

    FieldBuffer(int capacity) {
        array = new byte[capacity];
    }

    int size() {
        return size;
    }

    /** The backing array, valid up to {@link #size()} and until the next write. */
    byte[] array() {
        return array;
    }

    void clear() {
        size = 0;
        if (array.length > MAX_RETAINED_BYTES) {
            array = new byte[REPLACEMENT_BYTES];
        }
    }

    /** What was written, without a copy; valid until the next write. */
    ByteBuffer view() {
        return ByteBuffer.wrap(array, 0, size);
    }

    byte[] copy() {
        return Arrays.copyOf(array, size);
    }

    /** Makes room for {@code count} more bytes and returns the offset of the first. */
    private int extend(int count) {
        int offset = size;
        if (offset + count > array.length) {
            array = Arrays.copyOf(array, Math.max(offset + count, array.length * 2));
        }
        size = offset + count;
        return offset;
    }

    void writeByte(int value) {
        array[extend(Byte.BYTES)] = (byte) value;
    }

    void writeInt(int value) {
        int offset = extend(Integer.BYTES);
        writeIntAt(offset, value);
    }

    /** Overwrites four bytes that were written before. */
    void writeIntAt(int offset, int value) {
        array[offset] = (byte) (value >>> 24);
        array[offset + 1] = (byte) (value >>> 16);
        array[offset + 2] = (byte) (value >>> 8);
        array[offset + 3] = (byte) value;
    }

    void writeLong(long value) {
        writeInt((int) (value >>> Integer.SIZE));
        writeInt((int) value);
    }

    void writeBytes(byte[] value) {
        writeInt(value.length);
        System.arraycopy(value, 0, array, extend(value.length), value.length);
    }

    void writeText(String value) {
        writeBytes(value.getBytes(StandardCharsets.UTF_8));
    }

    void writeIdentity(LogIdentity identity) {
        writeText(identity.cluster());
        writeText(identity.member());
    }

    static byte[] readBytes(ByteBuffer in) {
        int length = in.getInt();
        // Checked before the allocation, so that an impossible length isn't an OutOfMemoryError.
        if (length < 0 || length > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] value = new byte[length];
        in.get(value);
        return value;
    }

    static String readText(ByteBuffer in) {
        return new String(readBytes(in), StandardCharsets.UTF_8);
    }

    static LogIdentity readIdentity(ByteBuffer in) {
        String cluster = readText(in);
        String member = readText(in);
        return new LogIdentity(cluster, member);
    }
}
