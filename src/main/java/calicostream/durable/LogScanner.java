// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.LogRecord.DurabilityMarker;
import calicostream.durable.SegmentChain.Segment;
import calicostream.durable.StateLossDetector.StateLoss;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads the segments of a log and compares them with the last durability marker. The result is the
 * state that was synced, or a loss of state, or a typed error. Pure.
 *
 * <p>A segment ends where the header of a later one continues. An unreadable record before that end
 * had been synced, and so had one at the end of the log that the marker or a later record covers.
 * What nothing covers is a torn write and is truncated.
 */
final class LogScanner {
    private final DurabilityMarker marker;
    private final List<String> findings = new ArrayList<>();

    private LogScanner(DurabilityMarker marker) {
        this.marker = marker;
    }

    /**
     * What the segments and the marker say together.
     *
     * @param confirmedState the state at record {@code sequence}
     * @param sequence number of the last confirmed record
     * @param checksum checksum of that record
     * @param unconfirmedRecords the valid records after it, which may not be on the disk yet
     * @param incarnation the latest incarnation in any segment
     * @param nextSegmentNumber number for the next segment
     * @param stateLoss what the comparison with the marker shows
     * @param facts the details of the loss; empty without one
     * @param highestIndexBySegment the highest entry in each segment
     * @param reappearedSegments files that exist although they were deleted before
     * @param findings remarks for operators
     */
    record Result(
            LogState confirmedState,
            long sequence,
            int checksum,
            List<LogRecord> unconfirmedRecords,
            long incarnation,
            long nextSegmentNumber,
            StateLoss stateLoss,
            String facts,
            Map<String, Long> highestIndexBySegment,
            List<String> reappearedSegments,
            List<String> findings) {}

    private record LossFinding(StateLoss stateLoss, String facts) {
        private static final LossFinding NONE = new LossFinding(StateLoss.NONE, "");
    }

    /**
     * Scans a log.
     *
     * @param segments ordered by number
     * @param marker the last marker; null without one
     */
    static Result scan(LogIdentity identity, List<Segment> segments, DurabilityMarker marker)
            throws DurableException {
        return new LogScanner(marker).scan(identity, segments);
    }

    private Result scan(LogIdentity identity, List<Segment> segments) throws DurableException {
        SegmentChain chain = SegmentChain.of(identity, segments, findings);
        SegmentReplay replay = SegmentReplay.run(chain, marker, findings);
        checkStart(chain, replay.state());
        if (!chain.reappearedSegments().isEmpty()) {
            findings.add("deleted segments were there again: " + chain.reappearedSegments());
        }
        LossFinding loss = compareWithMarker(chain, replay);
        // Without a marker's record nothing is confirmed beyond what could be read, and no record
        // may be taken for unconfirmed.
        boolean isConfirmedByMarker =
                loss.stateLoss() == StateLoss.NONE && replay.hasReachedMarker();
        return new Result(
                isConfirmedByMarker ? replay.stateAtMarker() : replay.state(),
                isConfirmedByMarker ? marker.sequence() : replay.sequence(),
                isConfirmedByMarker ? marker.checksum() : replay.checksum(),
                isConfirmedByMarker ? replay.recordsAfterMarker() : List.of(),
                chain.incarnation(),
                chain.nextSegmentNumber(),
                loss.stateLoss(),
                loss.facts(),
                chain.highestIndexBySegment(),
                chain.reappearedSegments(),
                findings);
    }

    /** Entries before the first segment must be covered by a snapshot. */
    private static void checkStart(SegmentChain chain, LogState state)
            throws DurableException.MissingRecords {
        if (state.baseIndex() <= state.snapshotIndex()) {
            return;
        }
        String facts =
                "the log begins after entry "
                        + state.baseIndex()
                        + ", the newest snapshot ends at "
                        + state.snapshotIndex();
        List<String> reappeared = chain.reappearedSegments();
        if (!reappeared.isEmpty()) {
            facts +=
                    ", and a segment between "
                            + reappeared.get(reappeared.size() - 1)
                            + " and "
                            + chain.links().get(0).segment().name()
                            + " is not there";
        }
        throw new DurableException.MissingRecords(facts);
    }

    private LossFinding compareWithMarker(SegmentChain chain, SegmentReplay replay) {
        boolean isEmpty = chain.links().isEmpty();
        if (marker == null) {
            return isEmpty
                    ? LossFinding.NONE
                    : new LossFinding(
                            StateLoss.MARKER_BEHIND_LOG,
                            "no mark is there, and the log ends at record " + replay.sequence());
        }
        if (isEmpty && marker.sequence() == 0) {
            return LossFinding.NONE;
        }
        if (marker.sequence() > replay.sequence()) {
            return new LossFinding(
                    StateLoss.LOG_BEHIND_MARKER,
                    "record "
                            + marker.sequence()
                            + " was synced, the log ends at "
                            + replay.sequence());
        }
        if (replay.maxSyncedSequence() > marker.sequence()
                || chain.incarnation() > marker.incarnation()
                || !replay.hasReachedMarker()) {
            return markerBehindLog(chain, replay);
        }
        if (replay.checksumAtMarker() != marker.checksum()) {
            return new LossFinding(
                    StateLoss.HISTORIES_DIVERGED,
                    "record " + marker.sequence() + " is another one than was marked");
        }
        return LossFinding.NONE;
    }

    private LossFinding markerBehindLog(SegmentChain chain, SegmentReplay replay) {
        return new LossFinding(
                StateLoss.MARKER_BEHIND_LOG,
                "the marks end at record "
                        + marker.sequence()
                        + " of incarnation "
                        + marker.incarnation()
                        + ", the log knows of syncs up to "
                        + replay.maxSyncedSequence()
                        + " and of incarnation "
                        + chain.incarnation());
    }
}
