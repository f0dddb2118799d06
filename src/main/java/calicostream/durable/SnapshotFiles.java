// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.LogRecord.SnapshotId;
import calicostream.durable.RecordFraming.Frame;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** Snapshot files: the one that is being collected, and what is in a whole one. One thread. */
final class SnapshotFiles {

    private final Disk disk;
    private final LogIdentity who;
    private final FieldBuffer out = new FieldBuffer(1 << 16);
    private final List<SnapshotId> unreadable = new ArrayList<>();
    private SnapshotId pending;
    private BitSet got;
    private int of;
    private long seq;
    private int crc;

    SnapshotFiles(Disk disk, LogIdentity who) {
        this.disk = disk;
        this.who = who;
    }

    /**
     * The chunks in order, or null when the file is not whole. A sound file of another member is an
     * error.
     */
    static List<byte[]> decode(LogIdentity who, SnapshotId ref, byte[] file, String name)
            throws DurableException {
        Frame frame = RecordFraming.read(file, 0, name);
        if (frame == null || !(frame.record() instanceof LogRecord.SnapshotHeader head))
            return null;
        if (!head.who().equals(who))
            throw new DurableException.ForeignDirectory(
                    name + " belongs to " + head.who() + ", this is " + who);
        if (!head.ref().equals(ref)) return null;
        byte[][] chunks = new byte[head.chunks()][];
        for (int left = head.chunks(); left > 0; left--) {
            Frame next = next(file, frame, name);
            if (next == null || !(next.record() instanceof LogRecord.SnapshotChunk chunk))
                return null;
            if (chunk.number() < 0
                    || chunk.number() >= chunks.length
                    || chunks[chunk.number()] != null) return null;
            chunks[chunk.number()] = chunk.bytes();
            frame = next;
        }
        Frame end = next(file, frame, name);
        if (end == null
                || !(end.record() instanceof LogRecord.SnapshotTrailer)
                || end.end() != file.length) return null;
        return List.of(chunks);
    }

    private static Frame next(byte[] file, Frame before, String name) throws DurableException {
        Frame frame = RecordFraming.read(file, before.end(), name);
        return frame != null && frame.seq() == before.seq() + 1 && frame.prev() == before.crc()
                ? frame
                : null;
    }

    /**
     * The newest generation that can be read and from which the log goes on without a gap; null
     * where there is none and the log goes back to its first entry. Those that can't be read are
     * dropped from {@code contents}.
     */
    RecoveredState.Snapshot newest(LogState contents, List<String> findings)
            throws DurableException {
        List<SnapshotId> refs = new ArrayList<>(contents.snapshots());
        unreadable.clear();
        for (int i = refs.size() - 1; i >= 0; i--) {
            SnapshotId ref = refs.get(i);
            List<byte[]> chunks = load(ref);
            if (chunks != null && contents.base() <= ref.index()) {
                if (!unreadable.isEmpty())
                    findings.add(
                            "snapshots that can't be read: "
                                    + unreadable
                                    + "; "
                                    + LogFileNames.snapshot(ref)
                                    + " and the log stand in");
                return new RecoveredState.Snapshot(ref.index(), ref.term(), chunks);
            }
            if (chunks == null) {
                unreadable.add(ref);
                contents.drop(ref);
            }
        }
        if (contents.base() > 0)
            throw new DurableException.CorruptSnapshot(
                    "no readable generation joins the log, which begins after entry "
                            + contents.base()
                            + "; not readable: "
                            + unreadable);
        if (!unreadable.isEmpty())
            findings.add(
                    "snapshots that can't be read: "
                            + unreadable
                            + "; the log from its first entry stands in");
        return null;
    }

    /** What {@link #newest} passed over. */
    List<SnapshotId> unreadable() {
        return unreadable;
    }

    /** Null where the file is not there or not whole. */
    List<byte[]> load(SnapshotId ref) throws DurableException {
        String name = LogFileNames.snapshot(ref);
        try {
            return decode(who, ref, disk.read(name), name);
        } catch (DurableException.FileMissing e) {
            return null;
        }
    }

    void chunk(SnapshotId ref, int number, int count, byte[] bytes) throws DurableException {
        if (pending == null || !pending.equals(ref) || of != count) {
            drop();
            pending = ref;
            of = count;
            got = new BitSet(count);
            seq = 0;
            crc = 0;
            write(new LogRecord.SnapshotHeader(who, ref, count));
        }
        if (got.get(number)) return;
        write(new LogRecord.SnapshotChunk(number, bytes));
        got.set(number);
    }

    private void write(LogRecord record) throws DurableException {
        out.clear();
        crc = RecordFraming.write(out, record, ++seq, 0, crc);
        disk.append(LogFileNames.snapshot(pending) + LogFileNames.PARTIAL_SUFFIX, out.view());
    }

    void drop() throws DurableException {
        if (pending == null) return;
        disk.delete(LogFileNames.snapshot(pending) + LogFileNames.PARTIAL_SUFFIX);
        pending = null;
    }

    boolean isWhole() {
        return pending != null && got.cardinality() == of;
    }

    /**
     * Makes the collected snapshot a whole file and names it; null as long as chunks are missing.
     */
    SnapshotId finish() throws DurableException {
        if (!isWhole()) return null;
        SnapshotId done = pending;
        write(new LogRecord.SnapshotTrailer(of));
        String name = LogFileNames.snapshot(done);
        disk.sync(name + LogFileNames.PARTIAL_SUFFIX);
        disk.rename(name + LogFileNames.PARTIAL_SUFFIX, name);
        disk.syncDirectory();
        pending = null;
        return done;
    }

    /** Deletes whole files that the log does not name. */
    void deleteBut(List<SnapshotId> named) throws DurableException {
        List<String> kept = named.stream().map(LogFileNames::snapshot).toList();
        for (String name : LogFileNames.filesOfKind(LogFileNames.SNAPSHOT_PREFIX, disk.list()))
            if (!kept.contains(name)) disk.delete(name);
    }
}
