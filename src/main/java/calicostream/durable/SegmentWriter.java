// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The segment that is written, and which older ones may go. Records wait in memory until they are
 * many or the log is synced. One thread.
 */
final class SegmentWriter {

    private static final int FLUSH = 64 << 10;

    private final Disk disk;
    private final LogIdentity who;
    private final long incarnation;
    private final FieldBuffer out = new FieldBuffer(FLUSH * 2);

    /** The highest entry in each segment, by name, the oldest first. */
    private final TreeMap<String, Long> reach = new TreeMap<>();

    private String file;
    private long next;
    private long size;
    private long seq;
    private int crc;
    private long synced;

    SegmentWriter(
            Disk disk, LogIdentity who, long incarnation, long next, Map<String, Long> reach) {
        this.disk = disk;
        this.who = who;
        this.incarnation = incarnation;
        this.next = next;
        this.reach.putAll(reach);
    }

    /**
     * Begins a segment that goes on after record {@code afterSeq}; it is there, with {@code first}
     * in it, on return.
     */
    void begin(LogState state, long afterSeq, int afterCrc, List<LogRecord> first)
            throws DurableException {
        out.clear();
        String name = LogFileNames.segment(next);
        reach.put(name, 0L);
        seq = afterSeq + 1;
        crc =
                RecordFraming.write(
                        out,
                        state.head(who, next, incarnation, afterSeq, afterCrc),
                        seq,
                        synced,
                        afterCrc);
        file = name;
        for (LogRecord record : first) add(record);
        DurabilityMarkers.place(disk, name, out.view());
        size = out.size();
        out.clear();
        next++;
    }

    void write(LogRecord record) throws DurableException {
        add(record);
        if (out.size() >= FLUSH) flush();
    }

    private void add(LogRecord record) {
        crc = RecordFraming.write(out, record, ++seq, synced, crc);
        if (record instanceof LogRecord.Entry entry) reach.merge(file, entry.index(), Math::max);
    }

    void flush() throws DurableException {
        if (out.size() == 0) return;
        disk.append(file, out.view());
        size += out.size();
        out.clear();
    }

    void sync() throws DurableException {
        flush();
        disk.sync(file);
    }

    /** The mark of record {@code seq} is on the disk: from here on records say so. */
    void marked() {
        synced = seq;
    }

    void vouched(long upTo) {
        synced = upTo;
    }

    long synced() {
        return synced;
    }

    boolean isDirty() {
        return seq > synced;
    }

    long seq() {
        return seq;
    }

    int crc() {
        return crc;
    }

    long size() {
        return size + out.size();
    }

    /** Deletes the oldest segments whose entries are all at or below {@code floor}. */
    void deleteUpTo(long floor) throws DurableException {
        while (!reach.firstKey().equals(file) && reach.firstEntry().getValue() <= floor) {
            disk.delete(reach.firstKey());
            reach.pollFirstEntry();
        }
    }
}
