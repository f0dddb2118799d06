// SPDX-License-Identifier: Apache-2.0
package calicostream.adapter;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/**
 * Collects the actions that answer one frame of events. The reply is big-endian and packed: the
 * number of records, the length in bytes with the header, and the records.
 */
final class ActionReply {
    static final int HEADER_BYTES = 8;
    private static final int MAX_TEXT_BYTES = 0xffff;

    private interface FieldWriter {
        void write(DataOutputStream out) throws IOException;
    }

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final DataOutputStream fields = new DataOutputStream(body);
    private int recordCount;

    /** Starts a record; its fields follow. */
    ActionReply record(ActionCode code, long instance) {
        recordCount++;
        return u16(code.value()).u32(instance);
    }

    ActionReply u8(int value) {
        return write(out -> out.writeByte(value));
    }

    ActionReply u16(int value) {
        return write(out -> out.writeShort(value));
    }

    ActionReply u32(long value) {
        return write(out -> out.writeInt((int) value));
    }

    ActionReply u64(long value) {
        return write(out -> out.writeLong(value));
    }

    ActionReply f32(double value) {
        return write(out -> out.writeFloat((float) value));
    }

    /** An engine's id of 48 bits. */
    ActionReply engine(long id) {
        return u32(id >>> 16).u16((int) (id & 0xffff));
    }

    /** A text, cut where it is too long for the protocol. */
    ActionReply text(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(bytes.length, MAX_TEXT_BYTES);
        return u16(length).write(out -> out.write(bytes, 0, length));
    }

    /** Writes the reply and starts a new one. */
    void send(OutputStream target) throws IOException {
        DataOutputStream out = new DataOutputStream(target);
        out.writeInt(recordCount);
        out.writeInt(HEADER_BYTES + body.size());
        body.writeTo(out);
        out.flush();
        body.reset();
        recordCount = 0;
    }

    private ActionReply write(FieldWriter field) {
        try {
            field.write(fields);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return this;
    }
}
