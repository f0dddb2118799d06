// SPDX-License-Identifier: Apache-2.0
package calicostream.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;

/**
 * The bytes of one direction of a connection: a ring that grows by doubling up to a bound, past which it
 * takes no more. It starts small, since hundreds of connections are open and few of them carry much.
 */
public final class Ring {
    private static final int FIRST = 2048;
    private final int bound;
    private byte[] bytes = new byte[FIRST];
    private ByteBuffer view = ByteBuffer.wrap(bytes);
    private int head;
    private int size;

    /** The bound is a power of two. */
    public Ring(int bound) {
        this.bound = bound;
    }

    public int size() {
        return size;
    }

    public int room() {
        return bound - size;
    }

    public byte at(int i) {
        return bytes[head + i & bytes.length - 1];
    }

    /** Where this byte comes first at or after {@code from}, or -1. */
    public int indexOf(byte wanted, int from) {
        for (int i = from; i < size; i++) {
            if (at(i) == wanted) {
                return i;
            }
        }
        return -1;
    }

    public byte[] copy(int from, int length) {
        byte[] out = new byte[length];
        int start = head + from & bytes.length - 1;
        int first = Math.min(length, bytes.length - start);
        System.arraycopy(bytes, start, out, 0, first);
        System.arraycopy(bytes, 0, out, first, length - first);
        return out;
    }

    public void skip(int count) {
        size -= count;
        head = size == 0 ? 0 : head + count & bytes.length - 1;
    }

    /** Takes all of it or, where the bound leaves no room, nothing. */
    public boolean put(byte[] from) {
        if (from.length > room()) {
            return false;
        }
        while (from.length > bytes.length - size) {
            grow();
        }
        int tail = head + size & bytes.length - 1;
        int first = Math.min(from.length, bytes.length - tail);
        System.arraycopy(from, 0, bytes, tail, first);
        System.arraycopy(from, first, bytes, 0, from.length - first);
        size += from.length;
        return true;
    }

    /** Reads what there is and fits; the count, or -1 at the end of the stream. */
    int fill(ReadableByteChannel from) throws IOException {
        int total = 0;
        while (room() > 0) {
            if (size == bytes.length) {
                grow();
            }
            int tail = head + size & bytes.length - 1;
            int end = tail < head ? head : bytes.length;
            int count = from.read(view.limit(end).position(tail));
            if (count <= 0) {
                return total > 0 ? total : count;
            }
            size += count;
            total += count;
            if (count < end - tail) {
                return total;
            }
        }
        return total;
    }

    /** Writes as much as the channel takes. */
    int drain(WritableByteChannel to) throws IOException {
        int total = 0;
        while (size > 0) {
            int end = Math.min(head + size, bytes.length);
            int count = to.write(view.limit(end).position(head));
            skip(count);
            total += count;
            if (count == 0) {
                break;
            }
        }
        return total;
    }

    private void grow() {
        byte[] larger = new byte[bytes.length * 2];
        System.arraycopy(copy(0, size), 0, larger, 0, size);
        bytes = larger;
        view = ByteBuffer.wrap(bytes);
        head = 0;
    }
}
