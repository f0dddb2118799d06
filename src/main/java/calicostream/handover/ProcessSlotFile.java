// SPDX-License-Identifier: Apache-2.0
package calicostream.handover;

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
 * A file with a slot for each of a few processes, opened once and kept open: no folder is listed,
 * no file opened or renamed while the process serves. A process holds a lock on one byte of its
 * slot for as long as it lives, which tells it from one that was killed and left its slot as it
 * was. What it writes goes to the half of its slot that nobody reads, and counts once the slot's
 * head names it; a half that does not match its head's checksum is not read.
 *
 * <p>The file: heads of 64 bytes, one a slot, then two halves a slot. A head is a mark, the number
 * of the write, the length and the CRC32C of the half that holds it, and the CRC32C of the head
 * itself. One thread uses an object.
 */
final class ProcessSlotFile implements AutoCloseable {
    /** A slot of another living process; {@code content} is null where it could not be read. */
    record Slot(int number, long writeNumber, byte[] content) {}

    private record Head(long write, int length, int sum) {
        static final Head NONE = new Head(0, 0, 0);
    }

    static final int SLOT_COUNT = 4;
    static final int MAX_CONTENT_BYTES = 256 * 1024;
    private static final int HEAD = 64;
    private static final int SUMMED = 24; // bytes of a head before its own checksum
    private static final int MARK = 0xCA11C001;
    private static final int HALVES = 4096;
    private final FileChannel file;
    private final int ownSlot;
    private final ByteBuffer heads = ByteBuffer.allocate(HEAD * SLOT_COUNT);
    private long writes =
            System.currentTimeMillis() << 12; // so that no two processes of one slot count alike

    /** Takes the first slot that no living process holds. */
    ProcessSlotFile(Path path) throws IOException {
        file =
                FileChannel.open(
                        path,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE,
                        LinkOption.NOFOLLOW_LINKS);
        int taken = -1;
        try {
            for (int slot = 0; slot < SLOT_COUNT && taken < 0; slot++) {
                taken = lock(slot) == null ? -1 : slot;
            }
            if (taken >= 0) {
                clear(taken);
            }
        } catch (IOException e) {
            file.close();
            throw e;
        }
        ownSlot = taken;
        if (ownSlot < 0) {
            file.close();
            throw new IOException(
                    "all " + SLOT_COUNT + " slots of " + path.getFileName() + " are held");
        }
    }

    int ownSlot() {
        return ownSlot;
    }

    /** Puts a new content in place of this process's last one. */
    void write(byte[] content) throws IOException {
        if (content.length > MAX_CONTENT_BYTES) {
            throw new IOException("a content of " + content.length + " bytes");
        }
        long next = writes + 1;
        put(ByteBuffer.wrap(content), half(ownSlot, next));
        ByteBuffer head =
                ByteBuffer.allocate(HEAD)
                        .putInt(MARK)
                        .putLong(next)
                        .putInt(content.length)
                        .putInt(sum(content, content.length))
                        .putInt(0);
        head.putInt(sum(head.array(), SUMMED));
        put(head.clear(), (long) ownSlot * HEAD);
        writes = next;
    }

    /**
     * The slots of other living processes; {@code known[slot]} is the write last read, whose
     * content is not read again.
     */
    List<Slot> readOthers(long[] known) throws IOException {
        readHeads();
        List<Slot> living = new ArrayList<>();
        for (int slot = 0; slot < SLOT_COUNT; slot++) {
            Head head = slot == ownSlot ? Head.NONE : head(slot);
            if (head != Head.NONE && isHeld(slot)) {
                living.add(
                        new Slot(
                                slot,
                                head.write,
                                head.write == known[slot] ? null : read(slot, head)));
            }
        }
        return living;
    }

    /** How many other processes live. */
    int countOthers() throws IOException {
        readHeads();
        int living = 0;
        for (int slot = 0; slot < SLOT_COUNT; slot++) {
            living += slot != ownSlot && head(slot) != Head.NONE && isHeld(slot) ? 1 : 0;
        }
        return living;
    }

    /**
     * The lock is all that tells a living process; what a dead one left is cleared away, so that it
     * costs this once.
     */
    private boolean isHeld(int slot) throws IOException {
        FileLock lock = lock(slot);
        if (lock != null) {
            clear(slot);
            lock.release();
            return false;
        }
        readHeads(); // Another process may just have held it for as long as it took to clear it.
        return head(slot) != Head.NONE;
    }

    private FileLock lock(int slot) throws IOException {
        return lockByte((long) slot * HEAD);
    }

    /** A lock on one byte, which need not be there; null where another process holds it. */
    FileLock lockByte(long at) throws IOException {
        try {
            return file.tryLock(at, 1, false);
        } catch (OverlappingFileLockException e) { // Held within this very process.
            return null;
        }
    }

    private void clear(int slot) throws IOException {
        put(ByteBuffer.allocate(HEAD), (long) slot * HEAD);
    }

    private void readHeads() throws IOException {
        heads.clear();
        while (heads.hasRemaining() && file.read(heads, heads.position()) > 0) {
            continue;
        }
        while (heads.hasRemaining()) {
            heads.put((byte) 0);
        }
    }

    private Head head(int slot) {
        int at = slot * HEAD;
        byte[] summed = new byte[SUMMED];
        heads.get(at, summed);
        boolean whole =
                heads.getInt(at) == MARK && heads.getInt(at + SUMMED) == sum(summed, SUMMED);
        int length = heads.getInt(at + 12);
        return whole && length >= 0 && length <= MAX_CONTENT_BYTES
                ? new Head(heads.getLong(at + 4), length, heads.getInt(at + 16))
                : Head.NONE;
    }

    /** Null where it has been written over meanwhile, or is damaged. */
    private byte[] read(int slot, Head head) throws IOException {
        ByteBuffer content = ByteBuffer.allocate(head.length);
        long from = half(slot, head.write);
        while (content.hasRemaining()) {
            if (file.read(content, from + content.position()) <= 0) {
                return null;
            }
        }
        return sum(content.array(), head.length) == head.sum ? content.array() : null;
    }

    private static long half(int slot, long write) {
        return HALVES + (2L * slot + (write & 1)) * MAX_CONTENT_BYTES;
    }

    private static int sum(byte[] bytes, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, length);
        return (int) sum.getValue();
    }

    private void put(ByteBuffer bytes, long at) throws IOException {
        while (bytes.hasRemaining()) {
            file.write(bytes, at + bytes.position());
        }
    }

    /** Leaves the slot empty; its lock ends with the file. */
    @Override
    public void close() throws IOException {
        try {
            clear(ownSlot);
        } finally {
            file.close();
        }
    }
}
