// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.LogRecord.SnapshotId;
import calicostream.durable.StateLossDetector.VotingStatus;
import java.util.List;

/**
 * The log of {@link DurableLog} on two {@link Disk}s. It makes no judgement: {@link LogOpener}
 * reads, {@link LogState} has the rules.
 */
final class SegmentedLog implements DurableLog {

    private static final int LARGEST = 64 << 20;

    private final Disk disk;
    private final Disk marksDisk;
    private final LogIdentity who;
    private final LogOptions options;
    private final LogState contents;
    private final DurabilityMarkers marks;
    private final SnapshotFiles generations;
    private final SegmentWriter segments;
    private final long incarnation;
    private final RecoveredState recovered;

    /** Guarded by itself, as operators ask from any thread. */
    private final LogHealth health;

    private String why;
    private long wantedAfter;
    private volatile long lastIndex;
    private volatile boolean barred;
    private volatile long bytes;

    private SegmentedLog(
            Disk disk, Disk marksDisk, LogIdentity who, LogOptions options, LogOpener opening) {
        this.disk = disk;
        this.marksDisk = marksDisk;
        this.who = who;
        this.options = options;
        this.contents = opening.contents;
        this.marks = opening.marks;
        this.generations = opening.generations;
        this.segments = opening.segments;
        this.incarnation = opening.incarnation;
        this.recovered = opening.recovered;
        this.why = opening.marks.last().why();
        this.health = new LogHealth(options.slowSyncNanos(), options.clock().getAsLong());
        signs();
    }

    static DurableLog open(Disk disk, Disk marks, LogIdentity who, LogOptions options)
            throws DurableException {
        disk.lock();
        boolean open = false;
        try {
            if (marks != disk) marks.lock();
            LogOpener opening = new LogOpener(disk, marks, who, options);
            opening.run();
            SegmentedLog store = new SegmentedLog(disk, marks, who, options, opening);
            open = true;
            return store;
        } finally {
            if (!open) {
                disk.close();
                if (marks != disk) marks.close();
            }
        }
    }

    @Override
    public RecoveredState recoveredState() {
        return recovered;
    }

    @Override
    public void appendEntry(long index, long term, byte[] bytes) throws DurableException {
        if (bytes.length > LARGEST)
            throw new IllegalArgumentException(
                    "an entry of " + bytes.length + " bytes, " + LARGEST + " at most");
        if (generations.isWhole()) sync();
        write(new LogRecord.Entry(index, term, bytes));
    }

    @Override
    public void truncateFrom(long index) throws DurableException {
        if (index == contents.last() + 1) return;
        write(new LogRecord.SuffixTruncation(index));
    }

    @Override
    public void truncateUntil(long index) throws DurableException {
        usable();
        if (generations.isWhole()) sync();
        if (index > contents.snapshotIndex())
            throw new IllegalArgumentException(
                    "entries up to "
                            + index
                            + " are wanted: the newest snapshot ends at "
                            + contents.snapshotIndex());
        wantedAfter = Math.max(wantedAfter, index);
    }

    @Override
    public void saveTermAndVote(long term, String votedFor) throws DurableException {
        if (term == contents.term() && votedFor.equals(contents.votedFor())) return;
        write(new LogRecord.TermAndVote(term, votedFor));
    }

    @Override
    public void saveMetadata(String name, byte[] value) throws DurableException {
        write(new LogRecord.MetadataEntry(name, value));
    }

    private void write(LogRecord record) throws DurableException {
        usable();
        String wrong = contents.check(record);
        if (wrong != null) throw new IllegalArgumentException(wrong);
        guarded(() -> segments.write(record));
        contents.apply(record);
        signs();
    }

    @Override
    public void saveSnapshotChunk(long index, long term, int chunk, int of, byte[] bytes)
            throws DurableException {
        usable();
        if (of < 1 || chunk < 0 || chunk >= of)
            throw new IllegalArgumentException("chunk " + chunk + " of " + of);
        if (bytes.length > LARGEST)
            throw new IllegalArgumentException(
                    "a chunk of " + bytes.length + " bytes, " + LARGEST + " at most");
        if (index <= contents.snapshotIndex()) return;
        guarded(() -> generations.chunk(new SnapshotId(index, term), chunk, of, bytes));
    }

    @Override
    public void discardUnfinishedSnapshot() throws DurableException {
        usable();
        guarded(generations::drop);
    }

    @Override
    public void sync() throws DurableException {
        usable();
        guarded(this::syncAll);
        signs();
    }

    private void syncAll() throws DurableException {
        SnapshotId whole = generations.finish();
        if (whole != null) {
            LogRecord.SnapshotCompleted record = new LogRecord.SnapshotCompleted(whole);
            // Chunks may have waited while an entry was cut that they stand for, or a later
            // snapshot was taken.
            if (contents.check(record) == null) {
                segments.write(record);
                contents.apply(record);
            }
        }
        if (segments.isDirty()) {
            timed();
            segments.marked();
        }
        // Only now, as the files named until here might have been needed again.
        if (whole != null) generations.deleteBut(contents.snapshots());
        if (wantedAfter > 0) segments.deleteUpTo(Math.min(wantedAfter, contents.floor()));
        if (segments.size() > options.segmentBytes())
            segments.begin(contents, segments.seq(), segments.crc(), List.of());
    }

    private void timed() throws DurableException {
        synchronized (health) {
            health.syncStarted(options.clock().getAsLong());
        }
        try {
            segments.sync();
            mark();
        } finally {
            synchronized (health) {
                health.syncEnded(options.clock().getAsLong());
            }
        }
    }

    private void mark() throws DurableException {
        marks.put(
                new LogRecord.DurabilityMarker(
                        who,
                        incarnation,
                        segments.seq(),
                        segments.crc(),
                        contents.standing(),
                        why));
    }

    @Override
    public void suspendVoting(String reason) throws DurableException {
        stand(VotingStatus.SUSPENDED, reason);
    }

    @Override
    public void admit() throws DurableException {
        stand(VotingStatus.ADMITTED, "");
    }

    private void stand(VotingStatus standing, String reason) throws DurableException {
        write(new LogRecord.VotingStatusChange(standing));
        why = reason;
        sync();
    }

    private interface Step {
        void run() throws DurableException;
    }

    private void guarded(Step step) throws DurableException {
        try {
            step.run();
        } catch (DurableException e) {
            fail(e);
            throw e;
        } catch (RuntimeException | Error e) {
            // Half a step may have been done, and a second try would do it twice.
            fail(new DurableException.DiskFailed(who + " at " + disk.location() + ": " + e, e));
            throw e;
        }
    }

    private void fail(DurableException e) {
        synchronized (health) {
            health.failed(e, options.clock().getAsLong());
        }
    }

    private void usable() throws DurableException {
        synchronized (health) {
            switch (health.state()) {
                case READY, SLOW -> {}
                case CLOSED -> throw new DurableException.LogClosed(who + " at " + disk.location());
                case FULL, READ_ONLY, FAILED ->
                        throw new DurableException.LogFailed(health.fault());
            }
        }
    }

    private void signs() {
        lastIndex = contents.last();
        barred = contents.standing() == VotingStatus.SUSPENDED;
        bytes = segments.size() + marks.bytes();
    }

    @Override
    public LogStatus status() {
        synchronized (health) {
            return health.status(
                    options.clock().getAsLong(), incarnation, barred, lastIndex, bytes);
        }
    }

    @Override
    public void close() {
        synchronized (health) {
            if (health.state() == LogStatus.State.CLOSED) return;
        }
        try {
            sync();
        } catch (DurableException e) {
            // What was not synced was not promised; the state says why.
        } finally {
            synchronized (health) {
                health.closed(options.clock().getAsLong());
            }
            disk.close();
            if (marksDisk != disk) marksDisk.close();
        }
    }
}
