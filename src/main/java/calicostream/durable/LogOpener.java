// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.LogRecord.DurabilityMarker;
import calicostream.durable.StateLossDetector.LocalState;
import calicostream.durable.StateLossDetector.StateLoss;
import calicostream.durable.StateLossDetector.VotingStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Opens a log: reads it, or sets it aside and begins an empty one, and starts a new incarnation. A
 * crash can't make it forget a loss of state, because of the order of its writes: the marker of the
 * new incarnation, with the loss if there is one, comes before any other change. For one use.
 */
final class LogOpener {
    private final Disk disk;
    private final Disk markerDisk;
    private final LogIdentity identity;
    private final DurabilityMarkers markers;
    private final SnapshotReader snapshots;
    private final List<String> findings;

    /** The marker of the incarnation before; null without one. */
    private final DurabilityMarker previousMarker;

    private LogOpener(
            Disk disk,
            Disk markerDisk,
            LogIdentity identity,
            DurabilityMarkers markers,
            List<String> findings) {
        this.disk = disk;
        this.markerDisk = markerDisk;
        this.identity = identity;
        this.markers = markers;
        this.snapshots = new SnapshotReader(disk, identity);
        this.findings = findings;
        this.previousMarker = markers.last();
    }

    /** The parts of an opened log. */
    record OpenedLog(
            LogState state,
            DurabilityMarkers markers,
            SnapshotReader snapshots,
            SegmentWriter segments,
            long incarnation,
            RecoveredState recoveredState) {}

    /**
     * Opens the log on two locked disks, which may be the same.
     *
     * @param startOver whether to set an existing log aside
     */
    static OpenedLog open(Disk disk, Disk markerDisk, LogIdentity identity, boolean startOver)
            throws DurableException {
        List<String> findings = new ArrayList<>();
        DurabilityMarkers markers = DurabilityMarkers.read(markerDisk, identity, findings);
        LogOpener opener = new LogOpener(disk, markerDisk, identity, markers, findings);
        return startOver ? opener.startOver() : opener.resume();
    }

    private OpenedLog resume() throws DurableException {
        LogScanner.Result scan = LogScanner.scan(identity, readSegments(), previousMarker);
        findings.addAll(scan.findings());
        LogState confirmedState = scan.confirmedState();
        List<LogRecord> unconfirmed = recoverableRecords(scan.unconfirmedRecords());
        LogState state = confirmedState.copy();
        unconfirmed.forEach(state::apply);

        StateLoss stateLoss = stateLoss(scan);
        VotingStatus votingStatus = votingStatus(stateLoss, state.votingStatus());
        String reason = reason(stateLoss, scan);
        confirmedState.setVotingStatus(votingStatus);
        state.setVotingStatus(votingStatus);
        long incarnation = 1 + Math.max(scan.incarnation(), previousIncarnation());
        SnapshotReader.Selection selection = snapshots.newestUsable(state, findings);
        selection.unreadable().forEach(state::dropSnapshot);
        selection.unreadable().forEach(confirmedState::dropSnapshot);

        markers.beginFile(
                new DurabilityMarker(
                        identity,
                        incarnation,
                        scan.sequence(),
                        scan.checksum(),
                        votingStatus,
                        reason));
        deletePartialFiles();
        SegmentWriter segments =
                new SegmentWriter(
                        disk,
                        identity,
                        incarnation,
                        scan.nextSegmentNumber(),
                        scan.highestIndexBySegment(),
                        scan.sequence());
        // What may not be on the disk is written again, to a new file: after a failed sync the
        // old one can be read back from memory and is lost with the power.
        segments.beginSegment(confirmedState, scan.sequence(), scan.checksum(), unconfirmed);
        writeMarker(segments, incarnation, votingStatus, reason);
        for (String name : scan.reappearedSegments()) {
            disk.delete(name);
        }
        snapshots.deleteAllBut(state.snapshots());
        return opened(state, segments, incarnation, selection.snapshot(), stateLoss, reason);
    }

    private List<SegmentChain.Segment> readSegments() throws DurableException {
        List<SegmentChain.Segment> segments = new ArrayList<>();
        for (String name : LogFileNames.filesOfKind(LogFileNames.SEGMENT_PREFIX, disk.list())) {
            segments.add(new SegmentChain.Segment(name, disk.read(name)));
        }
        return segments;
    }

    /** The unconfirmed records, up to the first whose snapshot was never completed. */
    private List<LogRecord> recoverableRecords(List<LogRecord> unconfirmed)
            throws DurableException {
        List<LogRecord> recoverable = new ArrayList<>();
        for (LogRecord record : unconfirmed) {
            if (record instanceof LogRecord.SnapshotCompleted snapshot
                    && snapshots.load(snapshot.id()).isEmpty()) {
                break;
            }
            // The worse status of log and marker counts: peers may have been told of a suspension
            // that no marker covers, but nobody of such an admission.
            boolean isAdmission =
                    record instanceof LogRecord.VotingStatusChange change
                            && change.votingStatus() != VotingStatus.SUSPENDED;
            if (!isAdmission) {
                recoverable.add(record);
            }
        }
        return recoverable;
    }

    private StateLoss stateLoss(LogScanner.Result scan) {
        boolean markersAreUnreadable = previousMarker == null && markers.isUnreadable();
        if (scan.stateLoss() == StateLoss.NONE && markersAreUnreadable) {
            return StateLoss.MARKER_BEHIND_LOG;
        }
        return scan.stateLoss();
    }

    private VotingStatus votingStatus(StateLoss stateLoss, VotingStatus statusOfLog) {
        if (stateLoss != StateLoss.NONE) {
            return VotingStatus.SUSPENDED;
        }
        return previousMarker == null
                ? statusOfLog
                : worseOf(previousMarker.votingStatus(), statusOfLog);
    }

    private static VotingStatus worseOf(VotingStatus first, VotingStatus second) {
        if (first == VotingStatus.SUSPENDED || second == VotingStatus.SUSPENDED) {
            return VotingStatus.SUSPENDED;
        }
        return first == VotingStatus.NEW ? first : second;
    }

    /** Why voting is suspended; empty if it is not. */
    private String reason(StateLoss stateLoss, LogScanner.Result scan) {
        if (stateLoss != StateLoss.NONE) {
            return scan.facts().isEmpty() ? "no mark can be read" : scan.facts();
        }
        return previousMarker == null ? "" : previousMarker.reason();
    }

    private long previousIncarnation() {
        return previousMarker == null ? 0 : previousMarker.incarnation();
    }

    private OpenedLog startOver() throws DurableException {
        List<String> names = disk.list();
        List<String> oldSegments = LogFileNames.filesOfKind(LogFileNames.SEGMENT_PREFIX, names);
        long incarnation = 1 + latestIncarnation(oldSegments);
        long sequence = previousMarker == null ? 0 : previousMarker.sequence();
        int checksum = previousMarker == null ? 0 : previousMarker.checksum();
        String reason = "started over at incarnation " + incarnation;
        markers.beginFile(
                new DurabilityMarker(
                        identity, incarnation, sequence, checksum, VotingStatus.SUSPENDED, reason));
        deletePartialFiles();
        setAside(names, incarnation);

        LogState state = new LogState();
        state.setVotingStatus(VotingStatus.SUSPENDED);
        long lastSegmentNumber =
                oldSegments.isEmpty()
                        ? 0
                        : LogFileNames.number(oldSegments.get(oldSegments.size() - 1));
        SegmentWriter segments =
                new SegmentWriter(
                        disk, identity, incarnation, lastSegmentNumber + 1, Map.of(), sequence);
        segments.beginSegment(state, sequence, checksum, List.of());
        writeMarker(segments, incarnation, VotingStatus.SUSPENDED, reason);
        return opened(state, segments, incarnation, null, StateLoss.NONE, reason);
    }

    /** The latest incarnation that the marker or a readable header of a segment names. */
    private long latestIncarnation(List<String> segmentNames) throws DurableException {
        long latest = previousIncarnation();
        for (String name : segmentNames) {
            RecordFraming.Frame frame = RecordFraming.read(disk.read(name), 0, name);
            if (frame == null || !(frame.record() instanceof LogRecord.SegmentHeader header)) {
                continue;
            }
            if (!header.identity().equals(identity)) {
                throw new DurableException.ForeignDirectory(
                        name + " belongs to " + header.identity() + ", this is " + identity);
            }
            latest = Math.max(latest, header.incarnation());
        }
        return latest;
    }

    /** Renames the segments and snapshots among {@code names}; deletes those set aside before. */
    private void setAside(List<String> names, long incarnation) throws DurableException {
        for (String name : names) {
            if (name.startsWith(LogFileNames.SET_ASIDE_PREFIX)) {
                disk.delete(name);
            }
        }
        List<String> old =
                new ArrayList<>(LogFileNames.filesOfKind(LogFileNames.SEGMENT_PREFIX, names));
        old.addAll(LogFileNames.filesOfKind(LogFileNames.SNAPSHOT_PREFIX, names));
        for (String name : old) {
            disk.rename(name, LogFileNames.setAside(incarnation, name));
        }
        disk.syncDirectory();
        if (!old.isEmpty()) {
            findings.add("set aside: " + old);
        }
    }

    private void writeMarker(
            SegmentWriter segments, long incarnation, VotingStatus votingStatus, String reason)
            throws DurableException {
        markers.append(
                new DurabilityMarker(
                        identity,
                        incarnation,
                        segments.sequence(),
                        segments.checksum(),
                        votingStatus,
                        reason));
        segments.markerSynced();
    }

    private void deletePartialFiles() throws DurableException {
        deletePartialFiles(disk);
        if (markerDisk != disk) {
            deletePartialFiles(markerDisk);
        }
    }

    private static void deletePartialFiles(Disk disk) throws DurableException {
        for (String name : disk.list()) {
            if (LogFileNames.isPartial(name)) {
                disk.delete(name);
            }
        }
    }

    private OpenedLog opened(
            LogState state,
            SegmentWriter segments,
            long incarnation,
            RecoveredState.Snapshot snapshot,
            StateLoss stateLoss,
            String facts) {
        LocalState localState =
                new LocalState(
                        incarnation,
                        state.term(),
                        state.votedFor(),
                        state.lastIndex(),
                        state.votingStatus(),
                        stateLoss,
                        facts);
        long snapshotIndex = snapshot == null ? 0 : snapshot.index();
        RecoveredState recoveredState =
                new RecoveredState(
                        state.term(),
                        state.votedFor(),
                        state.metadata(),
                        snapshot,
                        state.entriesAbove(snapshotIndex),
                        localState,
                        List.copyOf(findings));
        state.releaseEntries();
        return new OpenedLog(state, markers, snapshots, segments, incarnation, recoveredState);
    }
}
