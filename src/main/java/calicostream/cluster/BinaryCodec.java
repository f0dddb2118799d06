// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * The encoding of commands, answers and snapshots: big-endian numbers, blobs and texts with their
 * length before them. Every read is bounded by what is there and by the caller's limit; whatever
 * does not fit is {@link ClusterException.Malformed}, never another exception and never an
 * allocation of a length that was only claimed.
 */
public final class BinaryCodec {
    private BinaryCodec() {}

    /** Writes into a growing array; not shared between threads. */
    public static final class Writer {
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();

        public Writer u8(int value) {
            out.write(value);
            return this;
        }

        public Writer i32(int value) {
            return u8(value >>> 24).u8(value >>> 16).u8(value >>> 8).u8(value);
        }

        public Writer i64(long value) {
            return i32((int) (value >>> 32)).i32((int) value);
        }

        public Writer blob(byte[] bytes) {
            i32(bytes.length);
            out.writeBytes(bytes);
            return this;
        }

        public Writer text(String text) {
            return blob(text.getBytes(StandardCharsets.UTF_8));
        }

        public byte[] toByteArray() {
            return out.toByteArray();
        }
    }

    /** Reads what a {@link Writer} wrote, in the same order; not shared between threads. */
    public static final class Reader {
        private final String what;
        private final ByteBuffer in;

        /**
         * @param what is read, as the error is to call it
         */
        public Reader(String what, byte[] bytes) {
            this.what = what;
            this.in = ByteBuffer.wrap(bytes);
        }

        public int u8() {
            need(1);
            return in.get() & 0xff;
        }

        public int i32() {
            need(4);
            return in.getInt();
        }

        public long i64() {
            need(8);
            return in.getLong();
        }

        public byte[] blob(int limit) {
            int length = i32();
            if (length < 0 || length > limit) {
                throw malformed("length " + length + " is not in 0.." + limit);
            }
            need(length);
            byte[] bytes = new byte[length];
            in.get(bytes);
            return bytes;
        }

        public String text(int limit) {
            byte[] bytes = blob(limit);
            try {
                return StandardCharsets.UTF_8
                        .newDecoder()
                        .decode(ByteBuffer.wrap(bytes))
                        .toString();
            } catch (CharacterCodingException e) {
                throw malformed("text is no UTF-8");
            }
        }

        /**
         * A count of things that take at least {@code each} bytes; more than could be there is
         * malformed.
         */
        public int count(int each) {
            int count = i32();
            if (count < 0 || count > in.remaining() / Math.max(1, each)) {
                throw malformed(
                        "count " + count + " is more than " + in.remaining() + " bytes hold");
            }
            return count;
        }

        public void requireVersion(int expected) {
            int version = u8();
            if (version != expected) {
                throw malformed("version " + version + " is not " + expected);
            }
        }

        /** Nothing may follow. */
        public void requireEnd() {
            if (in.hasRemaining()) {
                throw malformed(in.remaining() + " bytes too many");
            }
        }

        public ClusterException.Malformed malformed(String why) {
            return new ClusterException.Malformed(what, in.position(), why);
        }

        private void need(int bytes) {
            if (in.remaining() < bytes) {
                throw malformed(bytes + " bytes needed, " + in.remaining() + " left");
            }
        }
    }
}
