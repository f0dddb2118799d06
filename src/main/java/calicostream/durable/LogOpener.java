// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.StateLossDetector.StateLoss;
import calicostream.durable.StateLossDetector.VotingStatus;
import java.util.ArrayList;
import java.util.List;

/**
 * One opening of a log. The order of its writes is what keeps a doubt from being lost by a crash:
 * the mark of the new incarnation, with the doubt if there is one, comes before anything else is
 * changed.
 */
final class LogOpener {

    private final Disk disk;
    private final Disk marksDisk;
    private final LogIdentity who;
    private final LogOptions options;
    private final List<String> findings = new ArrayList<>();
    LogState contents;
    DurabilityMarkers marks;
    SnapshotFiles generations;
    SegmentWriter segments;
    long incarnation;
    RecoveredState recovered;

    LogOpener(Disk disk, Disk marksDisk, LogIdentity who, LogOptions options) {
        this.disk = disk;
        this.marksDisk = marksDisk;
        this.who = who;
        this.options = options;
    }

    void run() throws DurableException {
        marks = DurabilityMarkers.read(marksDisk, who, findings);
        generations = new SnapshotFiles(disk, who);
        if (options.startOver()) startOver();
        else resume();
    }

    private void resume() throws DurableException {
        LogRecord.DurabilityMarker mark = marks.last();
        List<LogScanner.Segment> files = new ArrayList<>();
        for (String name : LogFileNames.filesOfKind(LogFileNames.SEGMENT_PREFIX, disk.list()))
            files.add(new LogScanner.Segment(name, disk.read(name)));
        LogScanner.Result scan = LogScanner.run(who, files, mark);
        files.clear();
        findings.addAll(scan.findings());
        contents = scan.vouched();
        List<LogRecord> tail = tail(scan);
        LogState whole = contents.copy();
        for (LogRecord record : tail) whole.apply(record);
        VotingStatus standing =
                worse(mark == null ? whole.standing() : mark.standing(), whole.standing());
        String why = mark == null ? "" : mark.why();
        StateLoss doubt =
                scan.doubt() == StateLoss.NONE && mark == null && marks.isUnreadable()
                        ? StateLoss.MARKER_BEHIND_LOG
                        : scan.doubt();
        if (doubt != StateLoss.NONE) {
            standing = VotingStatus.SUSPENDED;
            why = scan.facts().isEmpty() ? "no mark can be read" : scan.facts();
        }
        contents.stand(standing);
        whole.stand(standing);
        incarnation = 1 + Math.max(scan.incarnation(), mark == null ? 0 : mark.incarnation());
        RecoveredState.Snapshot snapshot = generations.newest(whole, findings);
        generations.unreadable().forEach(contents::drop);

        marks.begin(
                new LogRecord.DurabilityMarker(
                        who, incarnation, scan.seq(), scan.crc(), standing, why));
        deleteParts();
        segments = new SegmentWriter(disk, who, incarnation, scan.nextSegment(), scan.reach());
        segments.vouched(scan.seq());
        segments.begin(contents, scan.seq(), scan.crc(), tail);
        marks.put(
                new LogRecord.DurabilityMarker(
                        who, incarnation, segments.seq(), segments.crc(), standing, why));
        segments.marked();
        for (String name : scan.stale()) disk.delete(name);
        contents = whole;
        generations.deleteBut(contents.snapshots());
        finish(doubt, why, snapshot);
    }

    /** The sound records past the mark, up to one whose snapshot never became whole. */
    private List<LogRecord> tail(LogScanner.Result scan) throws DurableException {
        List<LogRecord> tail = new ArrayList<>();
        for (LogRecord record : scan.tail()) {
            if (record instanceof LogRecord.SnapshotCompleted snapshot
                    && generations.load(snapshot.ref()) == null) break;
            // The worse of log and mark holds: a bar past the mark may have been answered for, an
            // admission was not.
            if (!(record instanceof LogRecord.VotingStatusChange stands)
                    || stands.standing() == VotingStatus.SUSPENDED) tail.add(record);
        }
        return tail;
    }

    private static VotingStatus worse(VotingStatus a, VotingStatus b) {
        if (a == VotingStatus.SUSPENDED || b == VotingStatus.SUSPENDED)
            return VotingStatus.SUSPENDED;
        return a == VotingStatus.NEW ? a : b;
    }

    private void startOver() throws DurableException {
        LogRecord.DurabilityMarker mark = marks.last();
        long before = mark == null ? 0 : mark.incarnation();
        long number = 0;
        List<String> names = disk.list();
        for (String name : LogFileNames.filesOfKind(LogFileNames.SEGMENT_PREFIX, names)) {
            number = LogFileNames.number(name);
            RecordFraming.Frame frame = RecordFraming.read(disk.read(name), 0, name);
            if (frame == null || !(frame.record() instanceof LogRecord.SegmentHeader head))
                continue;
            if (!head.who().equals(who))
                throw new DurableException.ForeignDirectory(
                        name + " belongs to " + head.who() + ", this is " + who);
            before = Math.max(before, head.incarnation());
        }
        incarnation = before + 1;
        long seq = mark == null ? 0 : mark.seq();
        int crc = mark == null ? 0 : mark.crc();
        String why = "started over at incarnation " + incarnation;
        marks.begin(
                new LogRecord.DurabilityMarker(
                        who, incarnation, seq, crc, VotingStatus.SUSPENDED, why));
        deleteParts();
        for (String name : names)
            if (name.startsWith(LogFileNames.SET_ASIDE_PREFIX)) disk.delete(name);
        List<String> old =
                new ArrayList<>(LogFileNames.filesOfKind(LogFileNames.SEGMENT_PREFIX, names));
        old.addAll(LogFileNames.filesOfKind(LogFileNames.SNAPSHOT_PREFIX, names));
        for (String name : old)
            disk.rename(name, LogFileNames.SET_ASIDE_PREFIX + incarnation + "-" + name);
        disk.syncDirectory();
        if (!old.isEmpty()) findings.add("set aside: " + old);
        contents = new LogState();
        contents.stand(VotingStatus.SUSPENDED);
        segments = new SegmentWriter(disk, who, incarnation, number + 1, java.util.Map.of());
        segments.vouched(seq);
        segments.begin(contents, seq, crc, List.of());
        marks.put(
                new LogRecord.DurabilityMarker(
                        who,
                        incarnation,
                        segments.seq(),
                        segments.crc(),
                        VotingStatus.SUSPENDED,
                        why));
        segments.marked();
        finish(StateLoss.NONE, why, null);
    }

    private void deleteParts() throws DurableException {
        for (String name : disk.list()) if (LogFileNames.isPart(name)) disk.delete(name);
        if (marksDisk == disk) return;
        for (String name : marksDisk.list()) if (LogFileNames.isPart(name)) marksDisk.delete(name);
    }

    private void finish(StateLoss doubt, String facts, RecoveredState.Snapshot snapshot) {
        long from = snapshot == null ? 0 : snapshot.index();
        recovered =
                new RecoveredState(
                        contents.term(),
                        contents.votedFor(),
                        contents.notes(),
                        snapshot,
                        contents.entriesAbove(from),
                        new StateLossDetector.LocalState(
                                incarnation,
                                contents.term(),
                                contents.votedFor(),
                                contents.last(),
                                contents.standing(),
                                doubt,
                                facts),
                        List.copyOf(findings));
        contents.forgetEntries();
    }
}
