// SPDX-License-Identifier: Apache-2.0
package calicostream.hotrestart;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Set;
import java.util.zip.CRC32C;

/**
 * Hash tables of request ids in the slot file, one for each slot. A process writes the table of its
 * own slot only, and reads all of them. Entries expire by the clock and not with the process that
 * wrote them: what a process has left still counts. One thread uses an object.
 *
 * <p>Layout: each table consists of buckets of eight entries of 32 bytes, which hold the id's hash,
 * its expiry in Unix milliseconds, its state and a CRC32C of these. An entry that does not match
 * its checksum is free. Processes of different releases share the file, so this layout never
 * changes.
 */
final class RequestIdTable {
    /** What an entry says about its id. */
    enum State {
        /** A request with the id is open in the process that wrote the entry. */
        OPEN,
        /** A request with the id may have run and must not run again. */
        UNREPEATABLE
    }

    private record Entry(RequestIdHash hash, long expiresAtMillis, int state) {
        /** An unused entry, or a damaged one. */
        static final Entry FREE = new Entry(new RequestIdHash(0, 0), 0, 0);

        boolean isFor(RequestIdHash other, State wanted) {
            return state == code(wanted) && hash.equals(other);
        }
    }

    /** File offset of the first table, beyond the contents of the slots. */
    private static final long FIRST_TABLE_OFFSET = 4L << 20;

    private static final int ENTRY_BYTES = 32;
    private static final int CHECKSUM_OFFSET = 28;
    private static final int ENTRIES_PER_BUCKET = 8;
    private static final int BUCKET_BYTES = ENTRY_BYTES * ENTRIES_PER_BUCKET;
    private static final int BUCKETS_PER_TABLE = 2048;
    private static final long TABLE_BYTES = (long) BUCKET_BYTES * BUCKETS_PER_TABLE;

    private final ProcessSlotFile file;
    private final ByteBuffer bucket = ByteBuffer.allocate(BUCKET_BYTES);

    RequestIdTable(ProcessSlotFile file) {
        this.file = file;
    }

    /** Codes are kept in the file. */
    private static int code(State state) {
        return state == State.OPEN ? 1 : 2;
    }

    /**
     * Writes an entry to this process's table: in place of an earlier one of the id and state, or
     * of a free one, or else of the one that expires first.
     *
     * @throws IOException where the file can't be read or written
     */
    void put(RequestIdHash hash, State state, long expiresAt) throws IOException {
        long offset = bucketOffset(file.ownSlot(), hash);
        readBucket(offset);
        int index = indexFor(hash, state);
        write(offset, index, new Entry(hash, expiresAt, code(state)));
    }

    private int indexFor(RequestIdHash hash, State state) {
        int earliest = 0;
        for (int index = 0; index < ENTRIES_PER_BUCKET; index++) {
            if (entry(index).isFor(hash, state)) {
                return index;
            }
            if (entry(index).expiresAtMillis < entry(earliest).expiresAtMillis) {
                earliest = index;
            }
        }
        return earliest;
    }

    /**
     * Removes the entry of an id and state from this process's table, if there is one.
     *
     * @throws IOException where the file can't be read or written
     */
    void remove(RequestIdHash hash, State state) throws IOException {
        long offset = bucketOffset(file.ownSlot(), hash);
        readBucket(offset);
        for (int index = 0; index < ENTRIES_PER_BUCKET; index++) {
            if (entry(index).isFor(hash, state)) {
                write(offset, index, Entry.FREE);
            }
        }
    }

    /**
     * Whether the table of a slot has an entry of an id that has not expired, in one of the states.
     *
     * @throws IOException where the file can't be read
     */
    boolean contains(int slot, RequestIdHash hash, Set<State> states, long now) throws IOException {
        readBucket(bucketOffset(slot, hash));
        for (int index = 0; index < ENTRIES_PER_BUCKET; index++) {
            Entry entry = entry(index);
            boolean matches = states.stream().anyMatch(state -> entry.isFor(hash, state));
            if (matches && entry.expiresAtMillis > now) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether any process has written to a table.
     *
     * @throws IOException where the file can't be used
     */
    boolean isPresent() throws IOException {
        return file.size() > FIRST_TABLE_OFFSET;
    }

    private static long bucketOffset(int slot, RequestIdHash hash) {
        long index = Math.floorMod(hash.low(), (long) BUCKETS_PER_TABLE);
        return FIRST_TABLE_OFFSET + slot * TABLE_BYTES + index * BUCKET_BYTES;
    }

    private void readBucket(long offset) throws IOException {
        bucket.clear();
        file.read(bucket, offset);
        while (bucket.hasRemaining()) { // A file that is still short has free entries.
            bucket.put((byte) 0);
        }
    }

    private Entry entry(int index) {
        int start = index * ENTRY_BYTES;
        if (bucket.getInt(start + CHECKSUM_OFFSET) != checksum(bucket.array(), start)) {
            return Entry.FREE;
        }
        return new Entry(
                new RequestIdHash(bucket.getLong(start), bucket.getLong(start + 8)),
                bucket.getLong(start + 16),
                bucket.getInt(start + 24));
    }

    private void write(long bucketOffset, int index, Entry entry) throws IOException {
        ByteBuffer bytes =
                ByteBuffer.allocate(ENTRY_BYTES)
                        .putLong(entry.hash.high())
                        .putLong(entry.hash.low())
                        .putLong(entry.expiresAtMillis)
                        .putInt(entry.state);
        bytes.putInt(checksum(bytes.array(), 0));
        file.writeFully(bytes.clear(), bucketOffset + (long) index * ENTRY_BYTES);
    }

    private static int checksum(byte[] bytes, int start) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, start, CHECKSUM_OFFSET);
        return (int) crc.getValue();
    }
}
