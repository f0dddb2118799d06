// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.LogRecord.SnapshotId;
import calicostream.durable.StateLossDetector.VotingStatus;
import java.util.Optional;

/**
 * The {@link DurableLog} on two {@link Disk}s. It performs the writes in their order and keeps the
 * status; {@link LogOpener} reads a log, and {@link LogState} has the rules.
 */
final class SegmentedLog implements DurableLog {
    private static final int MAX_RECORD_BYTES = 64 << 20;

    private final Disk disk;
    private final Disk markerDisk;
    private final LogIdentity identity;
    private final LogOptions options;
    private final LogState state;
    private final DurabilityMarkers markers;
    private final SnapshotReader snapshots;
    private final SnapshotWriter snapshotWriter;
    private final SegmentWriter segments;
    private final long incarnation;
    private final RecoveredState recoveredState;

    /** Guarded by itself, as any thread may ask for the status. */
    private final LogHealth health;

    private String suspensionReason;
    private long unneededUpToIndex;

    // Copies for the status, which any thread may ask for.
    private volatile long lastIndex;
    private volatile boolean isVotingSuspended;
    private volatile long writtenBytes;

    private SegmentedLog(
            Disk disk,
            Disk markerDisk,
            LogIdentity identity,
            LogOptions options,
            LogOpener.OpenedLog opened) {
        this.disk = disk;
        this.markerDisk = markerDisk;
        this.identity = identity;
        this.options = options;
        this.state = opened.state();
        this.markers = opened.markers();
        this.snapshots = opened.snapshots();
        this.snapshotWriter = new SnapshotWriter(disk, identity);
        this.segments = opened.segments();
        this.incarnation = opened.incarnation();
        this.recoveredState = opened.recoveredState();
        this.suspensionReason = opened.markers().last().reason();
        this.health = new LogHealth(options.slowSyncNanos(), now());
        publishStatus();
    }

    static DurableLog open(Disk disk, Disk markerDisk, LogIdentity identity, LogOptions options)
            throws DurableException {
        disk.lock();
        boolean isOpen = false;
        try {
            if (markerDisk != disk) {
                markerDisk.lock();
            }
            LogOpener.OpenedLog opened =
                    LogOpener.open(disk, markerDisk, identity, options.startOver());
            SegmentedLog log = new SegmentedLog(disk, markerDisk, identity, options, opened);
            isOpen = true;
            return log;
        } finally {
            if (!isOpen) {
                release(disk, markerDisk);
            }
        }
    }

    private static void release(Disk disk, Disk markerDisk) {
        disk.close();
        if (markerDisk != disk) {
            markerDisk.close();
        }
    }

    private long now() {
        return options.clock().getAsLong();
    }

    @Override
    public RecoveredState recoveredState() {
        return recoveredState;
    }

    @Override
    public void appendEntry(long index, long term, byte[] bytes) throws DurableException {
        checkSize("an entry", bytes);
        if (snapshotWriter.isComplete()) {
            sync();
        }
        write(new LogRecord.Entry(index, term, bytes));
    }

    private static void checkSize(String what, byte[] bytes) {
        if (bytes.length > MAX_RECORD_BYTES) {
            throw new IllegalArgumentException(
                    what + " of " + bytes.length + " bytes, " + MAX_RECORD_BYTES + " at most");
        }
    }

    @Override
    public void truncateFrom(long index) throws DurableException {
        if (index == state.lastIndex() + 1) {
            return;
        }
        write(new LogRecord.SuffixTruncation(index));
    }

    @Override
    public void truncateUntil(long index) throws DurableException {
        checkUsable();
        if (snapshotWriter.isComplete()) {
            sync();
        }
        if (index > state.snapshotIndex()) {
            throw new IllegalArgumentException(
                    "entries up to "
                            + index
                            + " are needed: the newest snapshot ends at "
                            + state.snapshotIndex());
        }
        unneededUpToIndex = Math.max(unneededUpToIndex, index);
    }

    @Override
    public void saveTermAndVote(long term, String votedFor) throws DurableException {
        if (term == state.term() && votedFor.equals(state.votedFor())) {
            return;
        }
        write(new LogRecord.TermAndVote(term, votedFor));
    }

    @Override
    public void saveMetadata(String name, byte[] value) throws DurableException {
        write(new LogRecord.MetadataEntry(name, value));
    }

    private void write(LogRecord record) throws DurableException {
        checkUsable();
        Optional<String> violation = state.violation(record);
        if (violation.isPresent()) {
            throw new IllegalArgumentException(violation.get());
        }
        runOrFail(() -> segments.write(record));
        state.apply(record);
        publishStatus();
    }

    @Override
    public void saveSnapshotChunk(long index, long term, int position, int chunkCount, byte[] bytes)
            throws DurableException {
        checkUsable();
        if (chunkCount < 1 || position < 0 || position >= chunkCount) {
            throw new IllegalArgumentException("chunk " + position + " of " + chunkCount);
        }
        checkSize("a chunk", bytes);
        if (index <= state.snapshotIndex()) {
            return;
        }
        SnapshotId id = new SnapshotId(index, term);
        runOrFail(() -> snapshotWriter.addChunk(id, position, chunkCount, bytes));
    }

    @Override
    public void discardUnfinishedSnapshot() throws DurableException {
        checkUsable();
        runOrFail(snapshotWriter::discard);
    }

    @Override
    public void sync() throws DurableException {
        checkUsable();
        runOrFail(this::syncAll);
        publishStatus();
    }

    private void syncAll() throws DurableException {
        Optional<SnapshotId> finished = snapshotWriter.finish();
        if (finished.isPresent()) {
            recordSnapshot(finished.get());
        }
        if (segments.isDirty()) {
            syncSegmentAndMarker();
            segments.markerSynced();
        }
        // Only now, as the log on the disk has needed the older files until here.
        if (finished.isPresent()) {
            snapshots.deleteAllBut(state.snapshots());
        }
        if (unneededUpToIndex > 0) {
            long deletableIndex = Math.min(unneededUpToIndex, state.deletableIndex());
            segments.deleteSegmentsUpTo(deletableIndex);
        }
        if (segments.segmentBytes() > options.segmentBytes()) {
            segments.beginNextSegment(state);
        }
    }

    private void recordSnapshot(SnapshotId id) throws DurableException {
        LogRecord record = new LogRecord.SnapshotCompleted(id);
        // While the chunks were collected, a later snapshot may have been taken.
        if (state.violation(record).isEmpty()) {
            segments.write(record);
            state.apply(record);
        }
    }

    private void syncSegmentAndMarker() throws DurableException {
        synchronized (health) {
            health.syncStarted(now());
        }
        try {
            segments.sync();
            markers.append(
                    new LogRecord.DurabilityMarker(
                            identity,
                            incarnation,
                            segments.sequence(),
                            segments.checksum(),
                            state.votingStatus(),
                            suspensionReason));
        } finally {
            synchronized (health) {
                health.syncEnded(now());
            }
        }
    }

    @Override
    public void suspendVoting(String reason) throws DurableException {
        changeVotingStatus(VotingStatus.SUSPENDED, reason);
    }

    @Override
    public void admit() throws DurableException {
        changeVotingStatus(VotingStatus.ADMITTED, "");
    }

    private void changeVotingStatus(VotingStatus votingStatus, String reason)
            throws DurableException {
        write(new LogRecord.VotingStatusChange(votingStatus));
        suspensionReason = reason;
        sync();
    }

    private interface DiskOperation {
        void run() throws DurableException;
    }

    /** Runs an operation; if it fails, the log has failed. */
    private void runOrFail(DiskOperation operation) throws DurableException {
        try {
            operation.run();
        } catch (DurableException e) {
            fail(e);
            throw e;
        } catch (RuntimeException | Error e) {
            // A part may have been done already, and a second attempt would do it twice.
            fail(new DurableException.DiskFailed(description() + ": " + e, e));
            throw e;
        }
    }

    private String description() {
        return identity + " at " + disk.location();
    }

    private void fail(DurableException failure) {
        synchronized (health) {
            health.failed(failure, now());
        }
    }

    private void checkUsable() throws DurableException {
        synchronized (health) {
            if (health.state() == LogStatus.State.CLOSED) {
                throw new DurableException.LogClosed(description());
            }
            if (!health.acceptsWrites()) {
                throw new DurableException.LogFailed(health.fault());
            }
        }
    }

    private void publishStatus() {
        lastIndex = state.lastIndex();
        isVotingSuspended = state.votingStatus() == VotingStatus.SUSPENDED;
        writtenBytes = segments.segmentBytes() + markers.fileBytes();
    }

    @Override
    public LogStatus status() {
        synchronized (health) {
            return health.status(now(), incarnation, isVotingSuspended, lastIndex, writtenBytes);
        }
    }

    @Override
    public void close() {
        synchronized (health) {
            if (health.state() == LogStatus.State.CLOSED) {
                return;
            }
        }
        try {
            sync();
        } catch (DurableException e) {
            // What was not synced was not acknowledged; the status has the cause.
        } finally {
            synchronized (health) {
                health.closed(now());
            }
            release(disk, markerDisk);
        }
    }
}
