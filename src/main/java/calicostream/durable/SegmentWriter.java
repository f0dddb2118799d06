// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Writes the current segment of a log and deletes segments that are no longer needed. Records are
 * buffered in memory until there are many or the log is synced. One thread.
 */
final class SegmentWriter {
    private static final int FLUSH_BYTES = 64 << 10;

    private final Disk disk;
    private final LogIdentity identity;
    private final long incarnation;
    private final FieldBuffer buffer = new FieldBuffer(FLUSH_BYTES * 2);

    /** By segment name, the oldest first; 0 for a segment without entries. */
    private final TreeMap<String, Long> highestIndexBySegment = new TreeMap<>();

    private String segmentName;
    private long nextSegmentNumber;
    private long flushedBytes;
    private long sequence;
    private int checksum;
    private long syncedSequence;

    /**
     * Creates a writer without a segment; {@link #beginSegment} is to be called first.
     *
     * @param nextSegmentNumber number of the first segment to write
     * @param highestIndexBySegment the highest entry in each segment that exists
     * @param syncedSequence sequence number up to which the log is known to be synced
     */
    SegmentWriter(
            Disk disk,
            LogIdentity identity,
            long incarnation,
            long nextSegmentNumber,
            Map<String, Long> highestIndexBySegment,
            long syncedSequence) {
        this.disk = disk;
        this.identity = identity;
        this.incarnation = incarnation;
        this.nextSegmentNumber = nextSegmentNumber;
        this.highestIndexBySegment.putAll(highestIndexBySegment);
        this.syncedSequence = syncedSequence;
    }

    /** Begins a new segment after the last record of the current one; it is synced on return. */
    void beginNextSegment(LogState state) throws DurableException {
        beginSegment(state, sequence, checksum, List.of());
    }

    /**
     * Begins a segment that follows the record {@code previousSequence}. On return it is synced,
     * with {@code firstRecords} in it.
     */
    void beginSegment(
            LogState state,
            long previousSequence,
            int previousChecksum,
            List<LogRecord> firstRecords)
            throws DurableException {
        buffer.clear();
        String name = LogFileNames.segment(nextSegmentNumber);
        highestIndexBySegment.put(name, 0L);
        sequence = previousSequence + 1;
        LogRecord header =
                state.header(
                        identity,
                        nextSegmentNumber,
                        incarnation,
                        previousSequence,
                        previousChecksum);
        checksum = RecordFraming.write(buffer, header, sequence, syncedSequence, previousChecksum);
        segmentName = name;
        for (LogRecord record : firstRecords) {
            addToBuffer(record);
        }
        AtomicFileCreation.create(disk, name, buffer.view());
        flushedBytes = buffer.size();
        buffer.clear();
        nextSegmentNumber++;
    }

    void write(LogRecord record) throws DurableException {
        addToBuffer(record);
        if (buffer.size() >= FLUSH_BYTES) {
            flush();
        }
    }

    private void addToBuffer(LogRecord record) {
        sequence++;
        checksum = RecordFraming.write(buffer, record, sequence, syncedSequence, checksum);
        if (record instanceof LogRecord.Entry entry) {
            highestIndexBySegment.merge(segmentName, entry.index(), Math::max);
        }
    }

    private void flush() throws DurableException {
        if (buffer.size() == 0) {
            return;
        }
        disk.append(segmentName, buffer.view());
        flushedBytes += buffer.size();
        buffer.clear();
    }

    void sync() throws DurableException {
        flush();
        disk.sync(segmentName);
    }

    /** The marker of the last record is on the disk: later records say that it was synced. */
    void markerSynced() {
        syncedSequence = sequence;
    }

    /** Whether there are records that no marker covers. */
    boolean isDirty() {
        return sequence > syncedSequence;
    }

    /** Sequence number of the last record. */
    long sequence() {
        return sequence;
    }

    /** Checksum of the last record. */
    int checksum() {
        return checksum;
    }

    /** Size of the current segment, with what is buffered. */
    long segmentBytes() {
        return flushedBytes + buffer.size();
    }

    /** Deletes the oldest segments whose entries are all at or below {@code index}. */
    void deleteSegmentsUpTo(long index) throws DurableException {
        while (!highestIndexBySegment.firstKey().equals(segmentName)
                && highestIndexBySegment.firstEntry().getValue() <= index) {
            disk.delete(highestIndexBySegment.firstKey());
            highestIndexBySegment.pollFirstEntry();
        }
    }
}
