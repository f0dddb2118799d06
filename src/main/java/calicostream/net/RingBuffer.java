// SPDX-License-Identifier: Apache-2.0
package calicostream.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;

/**
 * The bytes of one direction of a connection: a ring buffer that grows by doubling up to a maximum
 * capacity and accepts no more beyond it. It has memory only while it holds bytes, since hundreds
 * of connections are open and most of them are idle. Bytes pass between it and a channel through
 * the event loop's one direct buffer. One thread uses an object.
 */
public final class RingBuffer {
    private static final int INITIAL_CAPACITY = 512;
    private static final byte[] EMPTY = {};

    /** Counts the bytes of memory that several buffers, and data that waits for them, use. */
    public static final class MemoryUsage {
        private long bytes;

        /** Adds to the count; a negative number reduces it. */
        public void add(long count) {
            bytes += count;
        }

        /** The bytes of memory in use. */
        public long bytes() {
            return bytes;
        }
    }

    private final int maxCapacity;
    private final MemoryUsage memoryUsage;

    /** Its length is 0 or a power of two, so that positions wrap by a mask. */
    private byte[] bytes = EMPTY;

    private int head;
    private int size;

    /**
     * Creates an empty buffer.
     *
     * @param maxCapacity in bytes, a power of two of at least 512
     */
    public RingBuffer(int maxCapacity) {
        this(maxCapacity, new MemoryUsage());
    }

    /** Creates an empty buffer whose memory is counted together with that of others. */
    public RingBuffer(int maxCapacity, MemoryUsage memoryUsage) {
        this.maxCapacity = maxCapacity;
        this.memoryUsage = memoryUsage;
    }

    /** The number of bytes in it. */
    public int size() {
        return size;
    }

    /** How many bytes it accepts before it is full. */
    public int remainingCapacity() {
        return maxCapacity - size;
    }

    /** The bytes of memory that it uses now. */
    public int allocatedBytes() {
        return bytes.length;
    }

    private int position(int index) {
        return head + index & bytes.length - 1;
    }

    /** The byte at an index, counted from the oldest one. */
    public byte get(int index) {
        return bytes[position(index)];
    }

    /** The first index at or after {@code from} that has this byte, or -1. */
    public int indexOf(byte wanted, int from) {
        for (int i = from; i < size; i++) {
            if (get(i) == wanted) {
                return i;
            }
        }
        return -1;
    }

    /** Copies {@code length} bytes from index {@code from} on; they stay in the buffer. */
    public byte[] copy(int from, int length) {
        byte[] target = new byte[length];
        if (length > 0) {
            int start = position(from);
            int untilWrap = Math.min(length, bytes.length - start);
            System.arraycopy(bytes, start, target, 0, untilWrap);
            System.arraycopy(bytes, 0, target, untilWrap, length - untilWrap);
        }
        return target;
    }

    /** Removes the oldest {@code count} bytes, which must be there. */
    public void skip(int count) {
        size -= count;
        if (size == 0) {
            head = 0;
            replaceMemory(EMPTY);
        } else {
            head = position(count);
        }
    }

    private void replaceMemory(byte[] memory) {
        memoryUsage.add(memory.length - bytes.length);
        bytes = memory;
    }

    /**
     * Appends all bytes or none.
     *
     * @return false where there is no capacity for all of them
     */
    public boolean put(byte[] source) {
        if (source.length > remainingCapacity()) {
            return false;
        }
        append(ByteBuffer.wrap(source));
        return true;
    }

    private void append(ByteBuffer source) {
        int count = source.remaining();
        if (count == 0) {
            return;
        }
        if (count > bytes.length - size) {
            grow(size + count);
        }
        int tail = position(size);
        int untilWrap = Math.min(count, bytes.length - tail);
        source.get(bytes, tail, untilWrap);
        source.get(bytes, 0, count - untilWrap);
        size += count;
    }

    private void grow(int neededCapacity) {
        int powerOfTwo = Integer.highestOneBit(neededCapacity - 1) * 2;
        byte[] larger = new byte[Math.max(INITIAL_CAPACITY, powerOfTwo)];
        System.arraycopy(copy(0, size), 0, larger, 0, size);
        replaceMemory(larger);
        head = 0;
    }

    /**
     * Reads once from a channel, as much as is there and there is capacity for.
     *
     * @return the number of bytes, or -1 at the end of the stream
     */
    int readFrom(ReadableByteChannel channel, ByteBuffer transferBuffer) throws IOException {
        int limit = Math.min(remainingCapacity(), transferBuffer.capacity());
        int count = channel.read(transferBuffer.clear().limit(limit));
        append(transferBuffer.flip());
        return count;
    }

    /**
     * Writes to a channel and removes as much as the channel accepts.
     *
     * @return the number of bytes
     */
    int writeTo(WritableByteChannel channel, ByteBuffer transferBuffer) throws IOException {
        int total = 0;
        boolean channelAccepts = true;
        while (size > 0 && channelAccepts) {
            int contiguous = Math.min(size, bytes.length - head);
            int length = Math.min(contiguous, transferBuffer.capacity());
            int count = channel.write(transferBuffer.clear().put(bytes, head, length).flip());
            skip(count);
            total += count;
            channelAccepts = count == length;
        }
        return total;
    }
}
