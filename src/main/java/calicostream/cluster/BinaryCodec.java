// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * The binary encoding of commands, responses and snapshots: big-endian numbers, byte strings and
 * texts with a 32-bit length prefix. Every read is bounded by the remaining bytes and by the
 * caller's limit, so a length that was only claimed never leads to an allocation. Input that does
 * not fit is reported as {@link ClusterException.Malformed}, never as another exception.
 */
public final class BinaryCodec {
    private BinaryCodec() {}

    /** Appends values to a growing buffer; not thread-safe. */
    public static final class Writer {
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();

        /** Appends the lowest 8 bits of {@code value}. */
        public Writer u8(int value) {
            out.write(value);
            return this;
        }

        /** Appends a 32-bit number. */
        public Writer i32(int value) {
            return u8(value >>> 24).u8(value >>> 16).u8(value >>> 8).u8(value);
        }

        /** Appends a 64-bit number. */
        public Writer i64(long value) {
            return i32((int) (value >>> 32)).i32((int) value);
        }

        /** Appends a 32-bit length and the bytes. */
        public Writer blob(byte[] bytes) {
            i32(bytes.length);
            out.writeBytes(bytes);
            return this;
        }

        /** Appends a text as a length-prefixed UTF-8 byte string. */
        public Writer text(String text) {
            return blob(text.getBytes(StandardCharsets.UTF_8));
        }

        /** Returns a copy of everything written so far. */
        public byte[] toByteArray() {
            return out.toByteArray();
        }
    }

    /** Reads the values of a {@link Writer} in the order they were written; not thread-safe. */
    public static final class Reader {
        private final String subject;
        private final ByteBuffer in;

        /**
         * Starts at the first byte.
         *
         * @param subject what is decoded, for error messages
         * @param bytes not copied; the caller must not change them while this reader is in use
         */
        public Reader(String subject, byte[] bytes) {
            this.subject = subject;
            this.in = ByteBuffer.wrap(bytes);
        }

        /** Reads an unsigned 8-bit number. */
        public int u8() {
            require(Byte.BYTES);
            return Byte.toUnsignedInt(in.get());
        }

        /** Reads a 32-bit number. */
        public int i32() {
            require(Integer.BYTES);
            return in.getInt();
        }

        /** Reads a 64-bit number. */
        public long i64() {
            require(Long.BYTES);
            return in.getLong();
        }

        /**
         * Reads a length-prefixed byte string.
         *
         * @param limit the greatest length accepted, in bytes
         */
        public byte[] blob(int limit) {
            int length = i32();
            if (length < 0 || length > limit) {
                throw malformed("length " + length + " is not in 0.." + limit);
            }
            require(length);
            byte[] bytes = new byte[length];
            in.get(bytes);
            return bytes;
        }

        /**
         * Reads a length-prefixed UTF-8 text.
         *
         * @param limit the greatest length accepted, in bytes
         */
        public String text(int limit) {
            byte[] bytes = blob(limit);
            try {
                return StandardCharsets.UTF_8
                        .newDecoder()
                        .decode(ByteBuffer.wrap(bytes))
                        .toString();
            } catch (CharacterCodingException e) {
                throw malformed("text is not valid UTF-8");
            }
        }

        /**
         * Reads the number of elements that follow, bounded by what the remaining bytes can hold.
         *
         * @param minElementBytes the least encoded size of one element
         */
        public int count(int minElementBytes) {
            int count = i32();
            if (count < 0 || count > in.remaining() / Math.max(1, minElementBytes)) {
                throw malformed(
                        "count " + count + " is more than " + in.remaining() + " bytes hold");
            }
            return count;
        }

        /** Reads the version byte and requires it to be {@code expected}. */
        public void requireVersion(int expected) {
            int version = u8();
            if (version != expected) {
                throw malformed("version " + version + " is not " + expected);
            }
        }

        /** Requires that no bytes are left. */
        public void requireEnd() {
            if (in.hasRemaining()) {
                throw malformed(in.remaining() + " unexpected bytes at the end");
            }
        }

        /** Makes the error for input that is wrong at the present position. */
        public ClusterException.Malformed malformed(String reason) {
            return new ClusterException.Malformed(subject, in.position(), reason);
        }

        private void require(int bytes) {
            if (in.remaining() < bytes) {
                throw malformed(bytes + " bytes needed, " + in.remaining() + " left");
            }
        }
    }
}
