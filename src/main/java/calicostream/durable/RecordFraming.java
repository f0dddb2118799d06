// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The frame round every record of every file: length, CRC32C, version, kind, number, up to which
 * number all was synced when it was written, CRC of the frame before. Pure; {@code
 * docs/operate/durable-format.md} has the bytes.
 */
final class RecordFraming {

    static final int VERSION = 1;
    static final int OVERHEAD = 30;
    private static final int BODY = 8;

    private RecordFraming() {}

    /** A frame that was read; {@code end} is the offset after it. */
    record Frame(int end, int crc, long seq, long synced, int prev, LogRecord record) {}

    /** Appends the frame of {@code record} and returns its CRC. */
    static int write(FieldBuffer out, LogRecord record, long seq, long synced, int prev) {
        int start = out.size();
        out.writeLong(0);
        out.writeByte(VERSION);
        out.writeByte(record.kind());
        out.writeLong(seq);
        out.writeLong(synced);
        out.writeInt(prev);
        record.write(out);
        out.writeIntAt(start, out.size() - start - BODY);
        CRC32C crc = new CRC32C();
        crc.update(out.array(), start, 4);
        crc.update(out.array(), start + BODY, out.size() - start - BODY);
        int value = (int) crc.getValue();
        out.writeIntAt(start + 4, value);
        return value;
    }

    /** The frame at {@code offset}, or null when there is no whole and sound one. */
    static Frame read(byte[] file, int offset, String name) throws DurableException.UnknownFormat {
        ByteBuffer in = ByteBuffer.wrap(file);
        if (file.length - offset < OVERHEAD) return null;
        int length = in.getInt(offset);
        if (length < OVERHEAD - BODY || length > file.length - offset - BODY) return null;
        int crc = in.getInt(offset + 4);
        CRC32C sum = new CRC32C();
        sum.update(file, offset, 4);
        sum.update(file, offset + BODY, length);
        if ((int) sum.getValue() != crc) return null;
        int end = offset + BODY + length;
        in.limit(end).position(offset + BODY);
        int version = in.get();
        int kind = in.get();
        if (version != VERSION)
            throw new DurableException.UnknownFormat(
                    name + " at byte " + offset + " has version " + version);
        long seq = in.getLong();
        long synced = in.getLong();
        int prev = in.getInt();
        LogRecord record;
        try {
            record = LogRecord.read(kind, in);
        } catch (RuntimeException e) {
            // Its CRC is right, so it was written so: by a program whose fields differ.
            throw new DurableException.UnknownFormat(
                    name
                            + " at byte "
                            + offset
                            + " has a record of kind "
                            + kind
                            + " with other fields");
        }
        if (record == null)
            throw new DurableException.UnknownFormat(
                    name + " at byte " + offset + " has a record of kind " + kind);
        return new Frame(end, crc, seq, synced, prev, record);
    }

    /**
     * The first sound frame at or after {@code offset}, whatever lies between; null when there is
     * none.
     */
    static Frame find(byte[] file, int offset, String name) throws DurableException.UnknownFormat {
        for (int at = Math.max(0, offset); at + OVERHEAD <= file.length; at++) {
            if (file[at + BODY] != VERSION) continue;
            Frame frame = read(file, at, name);
            if (frame != null) return frame;
        }
        return null;
    }

    /** Whether nothing was ever written there: a hole reads as zeroes. */
    static boolean isBlank(byte[] file, int offset) {
        for (int at = offset; at < file.length; at++) if (file[at] != 0) return false;
        return true;
    }
}
