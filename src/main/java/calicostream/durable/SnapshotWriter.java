// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.LogRecord.SnapshotId;
import java.util.BitSet;
import java.util.Optional;

/** Collects the chunks of one snapshot in a partial file until it is complete. One thread. */
final class SnapshotWriter {
    private static final int BUFFER_BYTES = 1 << 16;

    private final Disk disk;
    private final LogIdentity identity;
    private final FieldBuffer buffer = new FieldBuffer(BUFFER_BYTES);

    /** Null while no snapshot is being collected. */
    private SnapshotId pending;

    private BitSet receivedChunks;
    private int chunkCount;
    private long sequence;
    private int checksum;

    SnapshotWriter(Disk disk, LogIdentity identity) {
        this.disk = disk;
        this.identity = identity;
    }

    /**
     * Writes a chunk, unless it was written before. A chunk of another snapshot, or one of another
     * number of chunks, discards what was collected.
     */
    void addChunk(SnapshotId id, int position, int count, byte[] bytes) throws DurableException {
        if (pending == null || !pending.equals(id) || chunkCount != count) {
            discard();
            pending = id;
            chunkCount = count;
            receivedChunks = new BitSet(count);
            sequence = 0;
            checksum = 0;
            write(new LogRecord.SnapshotHeader(identity, id, count));
        }
        if (receivedChunks.get(position)) {
            return;
        }
        write(new LogRecord.SnapshotChunk(position, bytes));
        receivedChunks.set(position);
    }

    private void write(LogRecord record) throws DurableException {
        buffer.clear();
        sequence++;
        checksum = RecordFraming.write(buffer, record, sequence, 0, checksum);
        disk.append(LogFileNames.partial(LogFileNames.snapshot(pending)), buffer.view());
    }

    /** Deletes what was collected of an unfinished snapshot. */
    void discard() throws DurableException {
        if (pending == null) {
            return;
        }
        disk.delete(LogFileNames.partial(LogFileNames.snapshot(pending)));
        pending = null;
    }

    /** Whether all chunks of the pending snapshot were written. */
    boolean isComplete() {
        return pending != null && receivedChunks.cardinality() == chunkCount;
    }

    /**
     * Finishes the file of a complete snapshot, which is synced on return.
     *
     * @return the snapshot; empty if there is none or chunks are missing
     */
    Optional<SnapshotId> finish() throws DurableException {
        if (!isComplete()) {
            return Optional.empty();
        }
        SnapshotId finished = pending;
        write(new LogRecord.SnapshotTrailer(chunkCount));
        AtomicFileCreation.publish(disk, LogFileNames.snapshot(finished));
        pending = null;
        return Optional.of(finished);
    }
}
