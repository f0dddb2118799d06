// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.tcp;

import calicostream.cluster.PeerTransport;
import calicostream.net.InvalidInputException;
import calicostream.net.RingBuffer;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Frames on a connection: length, CRC32C of the bytes, the bytes; numbers are big-endian. A
 * connection begins with a greeting: magic with version, CRC32C of the cluster's name, who sends,
 * and to whom. Stateless.
 */
final class TcpFrame {
    static final int HEAD = 8;
    static final int GREETING = 16;
    private static final int MAGIC = 0x43534c01;

    /** Who greets. */
    record Greeting(int from, int to) {}

    private TcpFrame() {}

    private static int crc(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return (int) crc.getValue();
    }

    static byte[] greeting(byte[] cluster, int from, int to) {
        return ByteBuffer.allocate(GREETING)
                .putInt(MAGIC)
                .putInt(crc(cluster))
                .putInt(from)
                .putInt(to)
                .array();
    }

    /** Null if it is not whole yet. */
    static Greeting greeting(byte[] cluster, RingBuffer in) throws InvalidInputException {
        if (in.size() < GREETING) {
            return null;
        }
        ByteBuffer bytes = ByteBuffer.wrap(in.copy(0, GREETING));
        if (bytes.getInt() != MAGIC) {
            throw new InvalidInputException("not the cluster's protocol, or another version of it");
        }
        if (bytes.getInt() != crc(cluster)) {
            throw new InvalidInputException("of another cluster");
        }
        in.skip(GREETING);
        return new Greeting(bytes.getInt(), bytes.getInt());
    }

    static byte[] frame(byte[] bytes) {
        return ByteBuffer.allocate(HEAD + bytes.length)
                .putInt(bytes.length)
                .putInt(crc(bytes))
                .put(bytes)
                .array();
    }

    /** Null if it is not whole yet. */
    static byte[] frame(RingBuffer in) throws InvalidInputException {
        if (in.size() < HEAD) {
            return null;
        }
        ByteBuffer head = ByteBuffer.wrap(in.copy(0, HEAD));
        int length = head.getInt();
        if (length < 0 || length > PeerTransport.MAX_FRAME_BYTES) {
            throw new InvalidInputException(
                    "a frame of " + length + " bytes, at most " + PeerTransport.MAX_FRAME_BYTES);
        }
        if (in.size() < HEAD + length) {
            return null;
        }
        byte[] bytes = in.copy(HEAD, length);
        if (crc(bytes) != head.getInt()) {
            throw new InvalidInputException(
                    "a frame of " + length + " bytes does not match its checksum");
        }
        in.skip(HEAD + length);
        return bytes;
    }
}
