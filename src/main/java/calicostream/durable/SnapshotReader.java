// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.LogRecord.SnapshotId;
import calicostream.durable.RecordFraming.Frame;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads complete snapshots, chooses the newest usable one and deletes old ones. One thread. */
final class SnapshotReader {
    private final Disk disk;
    private final LogIdentity identity;

    SnapshotReader(Disk disk, LogIdentity identity) {
        this.disk = disk;
        this.identity = identity;
    }

    /**
     * The result of {@link #newestUsable}.
     *
     * @param snapshot null if the log is to be replayed from its first entry
     * @param unreadable newer snapshots that can't be read
     */
    record Selection(RecoveredState.Snapshot snapshot, List<SnapshotId> unreadable) {}

    /**
     * Selects the newest snapshot that can be read and from which the log continues without a gap.
     *
     * @param findings to which remarks for operators are added
     * @throws DurableException.CorruptSnapshot if there is none, and the log's first entries are
     *     gone
     */
    Selection newestUsable(LogState state, List<String> findings) throws DurableException {
        List<SnapshotId> ids = state.snapshots();
        List<SnapshotId> unreadable = new ArrayList<>();
        for (int i = ids.size() - 1; i >= 0; i--) {
            SnapshotId id = ids.get(i);
            Optional<List<byte[]>> chunks = load(id);
            if (chunks.isEmpty()) {
                unreadable.add(id);
            } else if (state.baseIndex() <= id.index()) {
                if (!unreadable.isEmpty()) {
                    String replacement = LogFileNames.snapshot(id) + " and the log replace them";
                    findings.add(unreadableFinding(unreadable, replacement));
                }
                return new Selection(
                        new RecoveredState.Snapshot(id.index(), id.term(), chunks.get()),
                        unreadable);
            }
        }
        if (state.baseIndex() > 0) {
            throw new DurableException.CorruptSnapshot(
                    "no readable snapshot reaches the log, which begins after entry "
                            + state.baseIndex()
                            + "; not readable: "
                            + unreadable);
        }
        if (!unreadable.isEmpty()) {
            findings.add(
                    unreadableFinding(unreadable, "the log from its first entry replaces them"));
        }
        return new Selection(null, unreadable);
    }

    private static String unreadableFinding(List<SnapshotId> unreadable, String replacement) {
        return "snapshots that can't be read: " + unreadable + "; " + replacement;
    }

    /** The chunks of a snapshot; empty if its file is missing, incomplete or corrupt. */
    Optional<List<byte[]>> load(SnapshotId id) throws DurableException {
        String name = LogFileNames.snapshot(id);
        try {
            return decode(id, disk.read(name), name);
        } catch (DurableException.FileMissing e) {
            return Optional.empty();
        }
    }

    private Optional<List<byte[]>> decode(SnapshotId id, byte[] file, String name)
            throws DurableException {
        Frame frame = RecordFraming.read(file, 0, name);
        if (frame == null || !(frame.record() instanceof LogRecord.SnapshotHeader header)) {
            return Optional.empty();
        }
        if (!header.identity().equals(identity)) {
            throw new DurableException.ForeignDirectory(
                    name + " belongs to " + header.identity() + ", this is " + identity);
        }
        if (!header.id().equals(id)) {
            return Optional.empty();
        }
        byte[][] chunks = new byte[header.chunkCount()][];
        for (int left = header.chunkCount(); left > 0; left--) {
            frame = next(file, frame, name);
            if (frame == null
                    || !(frame.record() instanceof LogRecord.SnapshotChunk chunk)
                    || !isMissing(chunks, chunk.position())) {
                return Optional.empty();
            }
            chunks[chunk.position()] = chunk.bytes();
        }
        Frame trailer = next(file, frame, name);
        boolean isComplete =
                trailer != null
                        && trailer.record() instanceof LogRecord.SnapshotTrailer
                        && trailer.endOffset() == file.length;
        return isComplete ? Optional.of(List.of(chunks)) : Optional.empty();
    }

    private static boolean isMissing(byte[][] chunks, int position) {
        return position >= 0 && position < chunks.length && chunks[position] == null;
    }

    /** The frame that follows {@code previous}; null if there is none that belongs to it. */
    private static Frame next(byte[] file, Frame previous, String name) throws DurableException {
        Frame frame = RecordFraming.read(file, previous.endOffset(), name);
        boolean follows =
                frame != null
                        && frame.sequence() == previous.sequence() + 1
                        && frame.previousChecksum() == previous.checksum();
        return follows ? frame : null;
    }

    /** Deletes all complete snapshot files but those of {@code retained}. */
    void deleteAllBut(List<SnapshotId> retained) throws DurableException {
        List<String> retainedNames = retained.stream().map(LogFileNames::snapshot).toList();
        for (String name : LogFileNames.filesOfKind(LogFileNames.SNAPSHOT_PREFIX, disk.list())) {
            if (!retainedNames.contains(name)) {
                disk.delete(name);
            }
        }
    }
}
