// SPDX-License-Identifier: Apache-2.0
package calicostream.adapter;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Frames of the simulator's wire: big-endian, packed, a header and records. */
final class SimulatorFrame {
    static final int BATCH_HEADER = 16;
    static final int REPLY_HEADER = 8;
    static final int LONGEST = 1 << 30;

    /** One batch of events; fields are read in order. */
    static final class EventBatch {
        final long records;
        final long clock;
        private final ByteBuffer body;

        EventBatch(long records, long clock, byte[] body) {
            this.records = records;
            this.clock = clock;
            this.body = ByteBuffer.wrap(body);
        }

        int u8() {
            try {
                return body.get() & 0xff;
            } catch (BufferUnderflowException e) {
                throw cut();
            }
        }

        int u16() {
            try {
                return body.getShort() & 0xffff;
            } catch (BufferUnderflowException e) {
                throw cut();
            }
        }

        long u32() {
            try {
                return body.getInt() & 0xffffffffL;
            } catch (BufferUnderflowException e) {
                throw cut();
            }
        }

        long u64() {
            try {
                return body.getLong();
            } catch (BufferUnderflowException e) {
                throw cut();
            }
        }

        double f32() {
            try {
                return body.getFloat();
            } catch (BufferUnderflowException e) {
                throw cut();
            }
        }

        long engine() {
            return u32() << 16 | u16();
        }

        byte[] bytes(long count) {
            if (count > body.remaining()) {
                throw cut();
            }
            byte[] out = new byte[(int) count];
            body.get(out);
            return out;
        }

        String text(long count) {
            return new String(bytes(count), StandardCharsets.UTF_8);
        }

        void end() {
            if (body.hasRemaining()) {
                throw new MalformedFrameException(
                        "bad frame: " + body.remaining() + " bytes follow the last record");
            }
        }

        private static MalformedFrameException cut() {
            return new MalformedFrameException(
                    "bad frame: a record runs past the end of its frame");
        }
    }

    private SimulatorFrame() {}

    /** The next batch, or null at the end of input. */
    static EventBatch read(DataInputStream in) throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        try {
            long records =
                    (long) first << 24 | in.readUnsignedByte() << 16 | in.readUnsignedShort();
            long length = in.readInt() & 0xffffffffL;
            long clock = in.readLong();
            if (length < BATCH_HEADER || length > LONGEST) {
                throw new MalformedFrameException("bad frame: a length of " + length + " bytes");
            }
            byte[] body = new byte[(int) length - BATCH_HEADER];
            in.readFully(body);
            return new EventBatch(records, clock, body);
        } catch (EOFException e) {
            throw new MalformedFrameException("bad frame: input ended inside a frame");
        }
    }

    /** Collects the actions of one reply. */
    static final class ActionReply {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private final DataOutputStream out = new DataOutputStream(bytes);
        private int records;

        ActionReply record(int code, long instance) {
            records++;
            return u16(code).u32(instance);
        }

        ActionReply u8(int value) {
            return put(() -> out.writeByte(value));
        }

        ActionReply u16(int value) {
            return put(() -> out.writeShort(value));
        }

        ActionReply u32(long value) {
            return put(() -> out.writeInt((int) value));
        }

        ActionReply u64(long value) {
            return put(() -> out.writeLong(value));
        }

        ActionReply f32(double value) {
            return put(() -> out.writeFloat((float) value));
        }

        ActionReply engine(long id) {
            return u32(id >>> 16).u16((int) (id & 0xffff));
        }

        ActionReply text(String text) {
            byte[] raw = text.getBytes(StandardCharsets.UTF_8);
            int length = Math.min(raw.length, 0xffff);
            return u16(length).put(() -> out.write(raw, 0, length));
        }

        void send(OutputStream to) throws IOException {
            DataOutputStream head = new DataOutputStream(to);
            head.writeInt(records);
            head.writeInt(REPLY_HEADER + bytes.size());
            bytes.writeTo(head);
            head.flush();
            bytes.reset();
            records = 0;
        }

        private ActionReply put(Write write) {
            try {
                write.run();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return this;
        }

        private interface Write {
            void run() throws IOException;
        }
    }
}
