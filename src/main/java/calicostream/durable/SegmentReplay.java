// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.LogRecord.DurabilityMarker;
import calicostream.durable.LogRecord.SegmentHeader;
import calicostream.durable.RecordFraming.Frame;
import calicostream.durable.SegmentChain.Link;
import calicostream.durable.SegmentChain.Segment;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Applies the records of a chain of segments to a {@link LogState}, and remembers the state at the
 * record that the durability marker names. A record that can't be read is a corruption if anything
 * shows that it had been synced, and the torn end of the last write otherwise. Pure, for one use.
 */
final class SegmentReplay {
    private final SegmentChain chain;
    private final DurabilityMarker marker;
    private final List<String> findings;

    /** Null before the first segment. */
    private LogState state;

    private long sequence;
    private int checksum;
    private long maxSyncedSequence;

    /** Null until the record of the marker was reached. */
    private LogState stateAtMarker;

    private int checksumAtMarker;
    private final List<LogRecord> recordsAfterMarker = new ArrayList<>();

    private SegmentReplay(SegmentChain chain, DurabilityMarker marker, List<String> findings) {
        this.chain = chain;
        this.marker = marker;
        this.findings = findings;
    }

    /**
     * Replays all segments.
     *
     * @param marker null without one
     * @param findings to which remarks for operators are added
     */
    static SegmentReplay run(SegmentChain chain, DurabilityMarker marker, List<String> findings)
            throws DurableException {
        SegmentReplay replay = new SegmentReplay(chain, marker, findings);
        List<Link> links = chain.links();
        for (int i = 0; i < links.size(); i++) {
            boolean isLast = i + 1 == links.size();
            replay.replay(links.get(i), isLast ? null : links.get(i + 1).header());
        }
        if (replay.state == null) {
            replay.state = new LogState();
        }
        return replay;
    }

    /**
     * @param nextHeader of the following segment; null for the last one
     */
    private void replay(Link link, SegmentHeader nextHeader) throws DurableException {
        Segment segment = link.segment();
        joinHeader(link);
        int offset = link.headerFrame().endOffset();
        while (nextHeader == null || sequence < nextHeader.previousSequence()) {
            Frame frame = RecordFraming.read(segment.bytes(), offset, segment.name());
            boolean follows =
                    frame != null
                            && frame.sequence() == sequence + 1
                            && frame.previousChecksum() == checksum;
            if (!follows) {
                checkEnd(segment, offset, nextHeader);
                return;
            }
            applyRecord(segment, offset, frame);
            offset = frame.endOffset();
        }
    }

    private void joinHeader(Link link) throws DurableException {
        SegmentHeader header = link.header();
        Segment segment = link.segment();
        if (state == null) {
            boolean isFirstOfLog = header.previousSequence() == 0 && header.lastIndex() == 0;
            state = isFirstOfLog ? new LogState() : LogState.of(header);
            sequence = header.previousSequence();
            checksum = header.previousChecksum();
            captureAtMarker();
        } else if (header.previousSequence() != sequence
                || header.previousChecksum() != checksum
                || !state.agreesWith(header)) {
            throw new DurableException.MissingRecords(
                    segment.name()
                            + " follows record "
                            + header.previousSequence()
                            + " of another history");
        }
        if (link.headerFrame().sequence() != sequence + 1) {
            throw SegmentChain.corrupt(segment, 0, "its header's number");
        }
        state.adopt(header);
        advance(link.headerFrame());
    }

    private void applyRecord(Segment segment, int offset, Frame frame) throws DurableException {
        LogRecord record = frame.record();
        Optional<String> violation = state.violation(record);
        if (violation.isPresent()) {
            throw new DurableException.MissingRecords(
                    segment.name() + " at byte " + offset + ": " + violation.get());
        }
        state.apply(record);
        if (record instanceof LogRecord.Entry entry) {
            chain.highestIndexBySegment().merge(segment.name(), entry.index(), Math::max);
        }
        if (hasReachedMarker()) {
            recordsAfterMarker.add(record);
        }
        advance(frame);
    }

    private void advance(Frame frame) {
        maxSyncedSequence = Math.max(maxSyncedSequence, frame.syncedSequence());
        sequence = frame.sequence();
        checksum = frame.checksum();
        captureAtMarker();
    }

    private void captureAtMarker() {
        if (marker == null || sequence != marker.sequence()) {
            return;
        }
        checksumAtMarker = checksum;
        stateAtMarker = state.copy();
        recordsAfterMarker.clear();
    }

    /**
     * No valid record follows in this segment. That is its regular end, a torn write, lost records,
     * a corrupt record or a gap.
     */
    private void checkEnd(Segment segment, int offset, SegmentHeader nextHeader)
            throws DurableException {
        byte[] bytes = segment.bytes();
        if (nextHeader == null && offset == bytes.length) {
            return;
        }
        boolean isBlank = RecordFraming.isBlank(bytes, offset);
        if (nextHeader != null && isBlank) {
            throw new DurableException.MissingRecords(
                    segment.name()
                            + " ends at record "
                            + sequence
                            + ", the next segment follows record "
                            + nextHeader.previousSequence());
        }
        if (nextHeader != null) {
            throw SegmentChain.corrupt(segment, offset, "record " + (sequence + 1));
        }
        checkEndOfLog(segment, offset, isBlank);
    }

    private void checkEndOfLog(Segment segment, int offset, boolean isBlank)
            throws DurableException {
        byte[] bytes = segment.bytes();
        boolean laterRecordExists = !isBlank && findLaterRecords(segment, offset);
        boolean wasSynced =
                maxSyncedSequence > sequence || marker != null && marker.sequence() > sequence;
        boolean isDamaged = !isBlank && !RecordFraming.isTruncated(bytes, offset);
        if (wasSynced && (laterRecordExists || isDamaged)) {
            throw SegmentChain.corrupt(segment, offset, "record " + (sequence + 1));
        }
        findings.add(
                segment.name()
                        + ": "
                        + (bytes.length - offset)
                        + " bytes after record "
                        + sequence
                        + (wasSynced ? " are no record" : " were a torn write"));
    }

    /**
     * Whether any valid record follows after {@code offset}; takes into account up to where those
     * say that the log was synced.
     */
    private boolean findLaterRecords(Segment segment, int offset) throws DurableException {
        Frame later = RecordFraming.find(segment.bytes(), offset, segment.name());
        boolean exists = later != null;
        while (later != null) {
            maxSyncedSequence = Math.max(maxSyncedSequence, later.syncedSequence());
            later = RecordFraming.find(segment.bytes(), later.endOffset(), segment.name());
        }
        return exists;
    }

    /** The state after the last record. */
    LogState state() {
        return state;
    }

    /** Number of the last record. */
    long sequence() {
        return sequence;
    }

    /** Checksum of the last record. */
    int checksum() {
        return checksum;
    }

    /** The highest number up to which any record says that the log was synced. */
    long maxSyncedSequence() {
        return maxSyncedSequence;
    }

    /** Whether the record that the marker names is in the log. */
    boolean hasReachedMarker() {
        return stateAtMarker != null;
    }

    /** The state at the record of the marker; null if that was not reached. */
    LogState stateAtMarker() {
        return stateAtMarker;
    }

    int checksumAtMarker() {
        return checksumAtMarker;
    }

    /** The valid records after the one that the marker names. */
    List<LogRecord> recordsAfterMarker() {
        return recordsAfterMarker;
    }
}
