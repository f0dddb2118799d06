// SPDX-License-Identifier: Apache-2.0
package calicostream.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;

/**
 * The bytes of one direction of a connection: a ring that grows by doubling up to a bound, past
 * which it takes no more. It has memory only while it holds bytes, since hundreds of connections
 * are open and most of them rest. Bytes pass between it and a channel through the loop's one direct
 * buffer.
 */
public final class RingBuffer {
    private static final int FIRST = 512;
    private static final byte[] NONE = {};
    private final int bound;
    private final MemoryUsage allocatedBytes;
    private byte[] bytes = NONE;
    private int head;
    private int size;

    /** Bytes of memory that many rings, and what waits for room in them, take together. */
    public static final class MemoryUsage {
        private long bytes;

        public void add(long count) {
            bytes += count;
        }

        public long bytes() {
            return bytes;
        }
    }

    /** The bound is a power of two of at least 512. */
    public RingBuffer(int bound) {
        this(bound, new MemoryUsage());
    }

    /** The same, counted with others. */
    public RingBuffer(int bound, MemoryUsage held) {
        this.bound = bound;
        this.allocatedBytes = held;
    }

    public int size() {
        return size;
    }

    public int remainingCapacity() {
        return bound - size;
    }

    /** Bytes of memory that it takes now. */
    public int allocatedBytes() {
        return bytes.length;
    }

    public byte get(int i) {
        return bytes[head + i & bytes.length - 1];
    }

    /** Where this byte comes first at or after {@code from}, or -1. */
    public int indexOf(byte wanted, int from) {
        for (int i = from; i < size; i++) {
            if (get(i) == wanted) {
                return i;
            }
        }
        return -1;
    }

    public byte[] copy(int from, int length) {
        byte[] out = new byte[length];
        if (length > 0) {
            int start = head + from & bytes.length - 1;
            int first = Math.min(length, bytes.length - start);
            System.arraycopy(bytes, start, out, 0, first);
            System.arraycopy(bytes, 0, out, first, length - first);
        }
        return out;
    }

    public void skip(int count) {
        size -= count;
        head = size == 0 ? 0 : head + count & bytes.length - 1;
        if (size == 0) {
            take(NONE);
        }
    }

    private void take(byte[] memory) {
        allocatedBytes.add(memory.length - bytes.length);
        bytes = memory;
    }

    /** Takes all of it or, where the bound leaves no room, nothing. */
    public boolean put(byte[] from) {
        if (from.length > remainingCapacity()) {
            return false;
        }
        append(ByteBuffer.wrap(from));
        return true;
    }

    private void append(ByteBuffer from) {
        int count = from.remaining();
        if (count == 0) {
            return;
        }
        if (count > bytes.length - size) {
            grow(size + count);
        }
        int tail = head + size & bytes.length - 1;
        int first = Math.min(count, bytes.length - tail);
        from.get(bytes, tail, first).get(bytes, 0, count - first);
        size += count;
    }

    /** Reads once what there is and fits; the count, or -1 at the end of the stream. */
    int readFrom(ReadableByteChannel from, ByteBuffer through) throws IOException {
        int count =
                from.read(through.clear().limit(Math.min(remainingCapacity(), through.capacity())));
        append(through.flip());
        return count;
    }

    /** Writes as much as the channel takes. */
    int writeTo(WritableByteChannel to, ByteBuffer through) throws IOException {
        int total = 0;
        while (size > 0) {
            int part = Math.min(Math.min(size, bytes.length - head), through.capacity());
            int count = to.write(through.clear().put(bytes, head, part).flip());
            skip(count);
            total += count;
            if (count < part) {
                break;
            }
        }
        return total;
    }

    private void grow(int wanted) {
        byte[] larger = new byte[Math.max(FIRST, Integer.highestOneBit(wanted - 1) * 2)];
        System.arraycopy(copy(0, size), 0, larger, 0, size);
        take(larger);
        head = 0;
    }
}
