// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A growing array that fields are written to, big-endian; and the same fields read back. */
final class FieldBuffer {

    private byte[] array;
    private int size;

    FieldBuffer(int capacity) {
        array = new byte[capacity];
    }

    int size() {
        return size;
    }

    byte[] array() {
        return array;
    }

    void clear() {
        size = 0;
        if (array.length > 1 << 20) array = new byte[1 << 16];
    }

    ByteBuffer view() {
        return ByteBuffer.wrap(array, 0, size);
    }

    byte[] copy() {
        return Arrays.copyOf(array, size);
    }

    private int grow(int more) {
        int at = size;
        if (at + more > array.length)
            array = Arrays.copyOf(array, Math.max(at + more, array.length * 2));
        size = at + more;
        return at;
    }

    void writeByte(int value) {
        array[grow(1)] = (byte) value;
    }

    void writeInt(int value) {
        int at = grow(4);
        writeIntAt(at, value);
    }

    void writeIntAt(int at, int value) {
        array[at] = (byte) (value >>> 24);
        array[at + 1] = (byte) (value >>> 16);
        array[at + 2] = (byte) (value >>> 8);
        array[at + 3] = (byte) value;
    }

    void writeLong(long value) {
        writeInt((int) (value >>> 32));
        writeInt((int) value);
    }

    void bytes(byte[] value) {
        writeInt(value.length);
        System.arraycopy(value, 0, array, grow(value.length), value.length);
    }

    void text(String value) {
        bytes(value.getBytes(StandardCharsets.UTF_8));
    }

    static byte[] bytes(ByteBuffer in) {
        int length = in.getInt();
        // A length that can't be is told as what it is, not as want of memory.
        if (length < 0 || length > in.remaining()) throw new BufferUnderflowException();
        byte[] value = new byte[length];
        in.get(value);
        return value;
    }

    static String text(ByteBuffer in) {
        return new String(bytes(in), StandardCharsets.UTF_8);
    }
}
