// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.tcp;

import calicostream.cluster.PeerTransport;
import calicostream.net.InvalidInputException;
import calicostream.net.RingBuffer;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The framing of a connection between members. A frame is its length, the CRC32C of its bytes, and
 * the bytes; numbers are big-endian. A connection begins with a greeting: magic number with
 * version, CRC32C of the cluster's name, sending member, receiving member. Stateless.
 */
final class TcpFrame {
    /** Length and checksum before the bytes of a frame. */
    static final int HEADER_BYTES = 2 * Integer.BYTES;

    private static final int GREETING_BYTES = 4 * Integer.BYTES;

    /** "CSL" and the version of the protocol. */
    private static final int MAGIC = 0x43534c01;

    /** The two ends of a connection, by member number. */
    record Greeting(int from, int to) {}

    private TcpFrame() {}

    private static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return (int) crc.getValue();
    }

    static byte[] encodeGreeting(byte[] cluster, int from, int to) {
        return ByteBuffer.allocate(GREETING_BYTES)
                .putInt(MAGIC)
                .putInt(checksum(cluster))
                .putInt(from)
                .putInt(to)
                .array();
    }

    /**
     * Removes a greeting from {@code in}.
     *
     * @return null if it is incomplete; nothing is removed then
     * @throws InvalidInputException if it is of another protocol, version or cluster
     */
    static Greeting decodeGreeting(byte[] cluster, RingBuffer in) throws InvalidInputException {
        if (in.size() < GREETING_BYTES) {
            return null;
        }
        ByteBuffer bytes = ByteBuffer.wrap(in.copy(0, GREETING_BYTES));
        if (bytes.getInt() != MAGIC) {
            throw new InvalidInputException("not the cluster's protocol, or another version of it");
        }
        if (bytes.getInt() != checksum(cluster)) {
            throw new InvalidInputException("greeting of another cluster");
        }
        in.skip(GREETING_BYTES);
        return new Greeting(bytes.getInt(), bytes.getInt());
    }

    static byte[] encode(byte[] bytes) {
        return ByteBuffer.allocate(HEADER_BYTES + bytes.length)
                .putInt(bytes.length)
                .putInt(checksum(bytes))
                .put(bytes)
                .array();
    }

    /**
     * Removes a frame from {@code in}.
     *
     * @return null if it is incomplete; nothing is removed then
     * @throws InvalidInputException if it is too large or does not match its checksum
     */
    static byte[] decode(RingBuffer in) throws InvalidInputException {
        if (in.size() < HEADER_BYTES) {
            return null;
        }
        ByteBuffer header = ByteBuffer.wrap(in.copy(0, HEADER_BYTES));
        int length = header.getInt();
        if (length < 0 || length > PeerTransport.MAX_FRAME_BYTES) {
            throw new InvalidInputException(
                    "a frame of " + length + " bytes, at most " + PeerTransport.MAX_FRAME_BYTES);
        }
        if (in.size() < HEADER_BYTES + length) {
            return null;
        }
        byte[] bytes = in.copy(HEADER_BYTES, length);
        if (checksum(bytes) != header.getInt()) {
            throw new InvalidInputException(
                    "a frame of " + length + " bytes does not match its checksum");
        }
        in.skip(HEADER_BYTES + length);
        return bytes;
    }
}
