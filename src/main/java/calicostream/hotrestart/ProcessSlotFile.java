// SPDX-License-Identifier: Apache-2.0
package calicostream.hotrestart;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A file with a slot for each of a few processes. It is opened once and kept open: while the
 * process serves, no folder is listed and no file opened or renamed. A process holds a lock on one
 * byte of its slot for as long as it lives; a slot without that lock was left by a process that was
 * killed. One thread uses an object.
 *
 * <p>Layout: one header of 64 bytes a slot, then two content areas a slot. A header holds a magic
 * number, the number of the write, the length and the CRC32C of the content, and the CRC32C of the
 * header itself. A write goes to the area that the header does not name and takes effect when the
 * header is replaced; content that does not match its checksum is not read. The tables of {@link
 * RequestIdTable} and the lock bytes of {@link FileKeyOwnership} follow. Processes of different
 * releases share the file, so this layout never changes.
 */
final class ProcessSlotFile implements AutoCloseable {
    /**
     * The slot of another living process.
     *
     * @param number the slot's index
     * @param writeNumber identifies the write that the content is of
     * @param content null where it is known already, or could not be read
     */
    record Slot(int number, long writeNumber, byte[] content) {}

    private record Header(long writeNumber, int length, int checksum) {
        /** An unused slot, or a damaged header. */
        static final Header NONE = new Header(0, 0, 0);
    }

    static final int SLOT_COUNT = 4;
    static final int MAX_CONTENT_BYTES = 256 * 1024;

    private static final int NO_SLOT = -1;
    private static final int MAGIC = 0xCA11C001;
    private static final int HEADER_BYTES = 64;
    private static final int WRITE_NUMBER_OFFSET = 4;
    private static final int LENGTH_OFFSET = 12;
    private static final int CONTENT_CHECKSUM_OFFSET = 16;

    /** Offset of the header's own checksum, which covers all bytes before it. */
    private static final int HEADER_CHECKSUM_OFFSET = 24;

    /** File offset of the first content area. */
    private static final int CONTENT_OFFSET = 4096;

    private final FileChannel file;
    private final int ownSlot;
    private final ByteBuffer headers = ByteBuffer.allocate(HEADER_BYTES * SLOT_COUNT);

    /** Starts at the clock, so that two processes that use one slot never repeat a number. */
    private long lastWriteNumber = System.currentTimeMillis() << 12;

    /**
     * Opens the file and acquires the first slot that no living process holds.
     *
     * @throws IOException where the file can't be used, or all slots are held
     */
    ProcessSlotFile(Path path) throws IOException {
        file =
                FileChannel.open(
                        path,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE,
                        LinkOption.NOFOLLOW_LINKS);
        try {
            ownSlot = acquireSlot();
            if (ownSlot == NO_SLOT) {
                throw new IOException(
                        "all " + SLOT_COUNT + " slots of " + path.getFileName() + " are held");
            }
            clearHeader(ownSlot);
        } catch (IOException e) {
            file.close();
            throw e;
        }
    }

    private int acquireSlot() throws IOException {
        for (int slot = 0; slot < SLOT_COUNT; slot++) {
            if (tryLockSlot(slot) != null) {
                return slot;
            }
        }
        return NO_SLOT;
    }

    /** The index of this process's slot. */
    int ownSlot() {
        return ownSlot;
    }

    /**
     * Replaces the content of this process's slot.
     *
     * @throws IOException where it can't be written or is too long; the content stays as it was
     */
    void write(byte[] content) throws IOException {
        if (content.length > MAX_CONTENT_BYTES) {
            throw new IOException("a content of " + content.length + " bytes");
        }
        long writeNumber = lastWriteNumber + 1;
        writeFully(ByteBuffer.wrap(content), contentOffset(ownSlot, writeNumber));
        ByteBuffer header =
                ByteBuffer.allocate(HEADER_BYTES)
                        .putInt(MAGIC)
                        .putLong(writeNumber)
                        .putInt(content.length)
                        .putInt(checksum(content, content.length))
                        .putInt(0);
        header.putInt(checksum(header.array(), HEADER_CHECKSUM_OFFSET));
        writeFully(header.clear(), headerOffset(ownSlot));
        lastWriteNumber = writeNumber;
    }

    /**
     * The slots of the other living processes.
     *
     * @param knownWriteNumbers by slot, the write last read; its content is not read again
     */
    List<Slot> readOthers(long[] knownWriteNumbers) throws IOException {
        readHeaders();
        List<Slot> others = new ArrayList<>();
        for (int slot = 0; slot < SLOT_COUNT; slot++) {
            Header header = slot == ownSlot ? Header.NONE : header(slot);
            if (header != Header.NONE && isHeld(slot)) {
                boolean known = header.writeNumber == knownWriteNumbers[slot];
                byte[] content = known ? null : readContent(slot, header);
                others.add(new Slot(slot, header.writeNumber, content));
            }
        }
        return others;
    }

    /** How many other processes live. */
    int countOthers() throws IOException {
        readHeaders();
        int others = 0;
        for (int slot = 0; slot < SLOT_COUNT; slot++) {
            if (slot != ownSlot && header(slot) != Header.NONE && isHeld(slot)) {
                others++;
            }
        }
        return others;
    }

    /** Whether a living process holds the slot; clears the header that a dead process has left. */
    private boolean isHeld(int slot) throws IOException {
        FileLock lock = tryLockSlot(slot);
        if (lock != null) {
            clearHeader(slot);
            lock.release();
            return false;
        }
        // Another process may have held the lock only while it cleared a dead process's header.
        readHeaders();
        return header(slot) != Header.NONE;
    }

    private FileLock tryLockSlot(int slot) throws IOException {
        return tryLockByte(headerOffset(slot));
    }

    /**
     * Locks one byte of the file, which may lie beyond its end.
     *
     * @return null where a process holds a lock on it, be it this one
     */
    FileLock tryLockByte(long offset) throws IOException {
        try {
            return file.tryLock(offset, 1, false);
        } catch (OverlappingFileLockException e) { // Held within this very process.
            return null;
        }
    }

    private void clearHeader(int slot) throws IOException {
        writeFully(ByteBuffer.allocate(HEADER_BYTES), headerOffset(slot));
    }

    private void readHeaders() throws IOException {
        read(headers.clear(), 0);
        while (headers.hasRemaining()) { // A file that is still short has empty slots.
            headers.put((byte) 0);
        }
    }

    private Header header(int slot) {
        int start = slot * HEADER_BYTES;
        byte[] covered = new byte[HEADER_CHECKSUM_OFFSET];
        headers.get(start, covered);
        boolean valid =
                headers.getInt(start) == MAGIC
                        && headers.getInt(start + HEADER_CHECKSUM_OFFSET)
                                == checksum(covered, covered.length);
        int length = headers.getInt(start + LENGTH_OFFSET);
        if (!valid || length < 0 || length > MAX_CONTENT_BYTES) {
            return Header.NONE;
        }
        return new Header(
                headers.getLong(start + WRITE_NUMBER_OFFSET),
                length,
                headers.getInt(start + CONTENT_CHECKSUM_OFFSET));
    }

    /** Null where the content has been overwritten meanwhile, or is damaged. */
    private byte[] readContent(int slot, Header header) throws IOException {
        ByteBuffer content = ByteBuffer.allocate(header.length);
        long start = contentOffset(slot, header.writeNumber);
        while (content.hasRemaining()) {
            if (file.read(content, start + content.position()) <= 0) {
                return null;
            }
        }
        boolean intact = checksum(content.array(), header.length) == header.checksum;
        return intact ? content.array() : null;
    }

    private static long headerOffset(int slot) {
        return (long) slot * HEADER_BYTES;
    }

    /** Successive writes alternate between the two areas of a slot. */
    private static long contentOffset(int slot, long writeNumber) {
        return CONTENT_OFFSET + (2L * slot + (writeNumber & 1)) * MAX_CONTENT_BYTES;
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    /** The length of the file in bytes. */
    long size() throws IOException {
        return file.size();
    }

    /** Reads up to the buffer's limit; stops at the end of the file. */
    void read(ByteBuffer bytes, long offset) throws IOException {
        int count = 1;
        while (bytes.hasRemaining() && count > 0) {
            count = file.read(bytes, offset + bytes.position());
        }
    }

    /** Writes all of the buffer, which starts at its position 0. */
    void writeFully(ByteBuffer bytes, long offset) throws IOException {
        while (bytes.hasRemaining()) {
            file.write(bytes, offset + bytes.position());
        }
    }

    /** Clears the slot; closing the file releases its lock. */
    @Override
    public void close() throws IOException {
        try {
            clearHeader(ownSlot);
        } finally {
            file.close();
        }
    }
}
