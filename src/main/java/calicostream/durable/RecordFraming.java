// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * The frame around every record of every file: length, checksum (CRC32C), version, record type,
 * sequence number, the sequence number up to which everything was synced when the record was
 * written, and the checksum of the previous frame. Pure; {@code docs/operate/durable-format.md} has
 * the bytes.
 */
final class RecordFraming {
    private static final int VERSION = 1;

    /** Bytes of a frame without fields. */
    private static final int OVERHEAD_BYTES = 30;

    private static final int CHECKSUM_OFFSET = 4;

    /** Length and checksum; the length field counts what follows them. */
    private static final int PREFIX_BYTES = 8;

    private RecordFraming() {}

    /**
     * A frame that was read.
     *
     * @param endOffset offset in the file after the frame
     * @param checksum its checksum
     * @param sequence its sequence number
     * @param syncedSequence everything up to this sequence number was synced when it was written
     * @param previousChecksum the checksum of the frame before it
     */
    record Frame(
            int endOffset,
            int checksum,
            long sequence,
            long syncedSequence,
            int previousChecksum,
            LogRecord record) {}

    /** Appends the frame of {@code record} to {@code out} and returns its checksum. */
    static int write(
            FieldBuffer out,
            LogRecord record,
            long sequence,
            long syncedSequence,
            int previousChecksum) {
        int start = out.size();
        out.writeLong(0);
        out.writeByte(VERSION);
        out.writeByte(record.type().code());
        out.writeLong(sequence);
        out.writeLong(syncedSequence);
        out.writeInt(previousChecksum);
        record.writeFields(out);
        int length = out.size() - start - PREFIX_BYTES;
        out.writeIntAt(start, length);
        int checksum = checksum(out.array(), start, length);
        out.writeIntAt(start + CHECKSUM_OFFSET, checksum);
        return checksum;
    }

    /** Of the length field and of the {@code length} bytes after the prefix. */
    private static int checksum(byte[] bytes, int frameOffset, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, frameOffset, CHECKSUM_OFFSET);
        checksum.update(bytes, frameOffset + PREFIX_BYTES, length);
        return (int) checksum.getValue();
    }

    /**
     * The frame at {@code offset}; null if there is no complete one with a correct checksum.
     *
     * @param fileName for messages
     * @throws DurableException.UnknownFormat if another version of the program wrote it
     */
    static Frame read(byte[] file, int offset, String fileName)
            throws DurableException.UnknownFormat {
        ByteBuffer in = ByteBuffer.wrap(file);
        if (file.length - offset < OVERHEAD_BYTES) {
            return null;
        }
        int length = in.getInt(offset);
        if (length < OVERHEAD_BYTES - PREFIX_BYTES
                || length > file.length - offset - PREFIX_BYTES) {
            return null;
        }
        int checksum = in.getInt(offset + CHECKSUM_OFFSET);
        if (checksum(file, offset, length) != checksum) {
            return null;
        }
        int endOffset = offset + PREFIX_BYTES + length;
        in.limit(endOffset).position(offset + PREFIX_BYTES);
        return decode(in, endOffset, checksum, fileName + " at byte " + offset);
    }

    private static Frame decode(ByteBuffer in, int endOffset, int checksum, String place)
            throws DurableException.UnknownFormat {
        int version = in.get();
        int typeCode = in.get();
        if (version != VERSION) {
            throw new DurableException.UnknownFormat(place + " has version " + version);
        }
        long sequence = in.getLong();
        long syncedSequence = in.getLong();
        int previousChecksum = in.getInt();
        Optional<RecordType> type = RecordType.ofCode(typeCode);
        if (type.isEmpty()) {
            throw new DurableException.UnknownFormat(place + " has a record of kind " + typeCode);
        }
        LogRecord record;
        try {
            record = RecordDecoder.decode(type.get(), in);
        } catch (RuntimeException e) {
            // Its checksum is right, so it was written like this: by a program whose fields differ.
            throw new DurableException.UnknownFormat(
                    place + " has a record of kind " + typeCode + " with other fields");
        }
        return new Frame(endOffset, checksum, sequence, syncedSequence, previousChecksum, record);
    }

    /**
     * The first valid frame at or after {@code offset}, whatever bytes lie between; null if there
     * is none.
     */
    static Frame find(byte[] file, int offset, String fileName)
            throws DurableException.UnknownFormat {
        for (int at = Math.max(0, offset); at + OVERHEAD_BYTES <= file.length; at++) {
            if (file[at + PREFIX_BYTES] != VERSION) {
                continue;
            }
            Frame frame = read(file, at, fileName);
            if (frame != null) {
                return frame;
            }
        }
        return null;
    }

    /** Whether only zeroes follow: blocks that were allocated and never written read so. */
    static boolean isBlank(byte[] file, int offset) {
        for (int at = offset; at < file.length; at++) {
            if (file[at] != 0) {
                return false;
            }
        }
        return true;
    }

    /**
     * Whether the frame at {@code offset} claims to end after the file does, as a frame that was
     * written in part.
     */
    static boolean isTruncated(byte[] file, int offset) {
        int available = file.length - offset;
        if (available < OVERHEAD_BYTES) {
            return true;
        }
        int length = ByteBuffer.wrap(file).getInt(offset);
        return length < 0 || length > available - PREFIX_BYTES;
    }
}
