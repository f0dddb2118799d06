// SPDX-License-Identifier: Apache-2.0
package calicostream.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;

/** The write side of a connection: queued bytes, and how many were queued and written so far. */
final class ConnectionOutput {
    private final RingBuffer buffer;
    private long queuedBytes;
    private long writtenBytes;

    ConnectionOutput(RingBuffer buffer) {
        this.buffer = buffer;
    }

    /** Queues all bytes; false, and nothing is queued, where there is no capacity for them. */
    boolean enqueue(byte[] bytes) {
        if (!buffer.put(bytes)) {
            return false;
        }
        queuedBytes += bytes.length;
        return true;
    }

    /** Writes what the channel accepts; returns the number of bytes. */
    int writeTo(WritableByteChannel channel, ByteBuffer transferBuffer) throws IOException {
        int count = buffer.writeTo(channel, transferBuffer);
        writtenBytes += count;
        return count;
    }

    /** Bytes queued since the connection was opened. */
    long queuedBytes() {
        return queuedBytes;
    }

    /** Bytes that the socket has accepted since the connection was opened. */
    long writtenBytes() {
        return writtenBytes;
    }

    /** Bytes that are queued and not written. */
    int unsentBytes() {
        return buffer.size();
    }

    void discard() {
        buffer.skip(buffer.size());
    }
}
