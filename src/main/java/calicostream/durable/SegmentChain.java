// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.LogRecord.SegmentHeader;
import calicostream.durable.RecordFraming.Frame;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The segments of a log that follow each other, found by their headers. Segments before a gap in
 * the numbers are left over from deletions; segments that a later header supersedes as a whole are
 * skipped. Pure.
 */
final class SegmentChain {
    /** The bytes of a segment file. */
    record Segment(String name, byte[] bytes) {}

    /** A segment with its first frame. */
    record Link(Segment segment, Frame headerFrame) {
        SegmentHeader header() {
            return (SegmentHeader) headerFrame.record();
        }

        long number() {
            return LogFileNames.number(segment.name());
        }
    }

    private final List<Link> links = new ArrayList<>();
    private final List<String> reappearedSegments = new ArrayList<>();
    private final Map<String, Long> highestIndexBySegment = new TreeMap<>();
    private long incarnation;
    private long nextSegmentNumber = 1;

    private SegmentChain() {}

    /**
     * Reads the headers of {@code segments}, which are ordered by number.
     *
     * @param findings to which remarks for operators are added
     */
    static SegmentChain of(LogIdentity identity, List<Segment> segments, List<String> findings)
            throws DurableException {
        SegmentChain chain = new SegmentChain();
        chain.link(readHeaders(identity, segments, findings));
        return chain;
    }

    /**
     * Reads the header of each segment. A last segment in which nothing can be read is left out, as
     * it may never have been written.
     */
    private static List<Link> readHeaders(
            LogIdentity identity, List<Segment> segments, List<String> findings)
            throws DurableException {
        List<Link> readable = new ArrayList<>();
        for (int i = 0; i < segments.size(); i++) {
            Segment segment = segments.get(i);
            Frame frame = RecordFraming.read(segment.bytes(), 0, segment.name());
            if (frame == null || !(frame.record() instanceof SegmentHeader header)) {
                Frame later = RecordFraming.find(segment.bytes(), 0, segment.name());
                boolean isLast = i + 1 == segments.size();
                if (!isLast || later != null) {
                    throw corrupt(segment, 0, "its header");
                }
                findings.add(segment.name() + " has no readable record and is written again");
                break;
            }
            if (!header.identity().equals(identity)) {
                throw new DurableException.ForeignDirectory(
                        segment.name()
                                + " belongs to "
                                + header.identity()
                                + ", this is "
                                + identity);
            }
            readable.add(new Link(segment, frame));
        }
        return readable;
    }

    /** Goes from the last segment back, as each header says where the segment before it ends. */
    private void link(List<Link> readable) {
        long lastValidSequence = Long.MAX_VALUE;
        for (int i = readable.size() - 1; i >= 0; i--) {
            Link link = readable.get(i);
            boolean isLast = i + 1 == readable.size();
            if (isLast) {
                nextSegmentNumber = link.number() + 1;
            } else if (link.number() + 1 != readable.get(i + 1).number()) {
                for (Link old : readable.subList(0, i + 1)) {
                    reappearedSegments.add(old.segment().name());
                }
                return;
            }
            incarnation = Math.max(incarnation, link.header().incarnation());
            highestIndexBySegment.put(link.segment().name(), 0L);
            if (link.headerFrame().sequence() > lastValidSequence) {
                continue;
            }
            links.add(0, link);
            lastValidSequence = link.header().previousSequence();
        }
    }

    /** The error for a record that was synced and can't be read. */
    static DurableException corrupt(Segment segment, int offset, String what) {
        return new DurableException.CorruptRecord(
                segment.name()
                        + " at byte "
                        + offset
                        + ": "
                        + what
                        + " was synced and can't be read");
    }

    /** The segments to read, oldest first. */
    List<Link> links() {
        return links;
    }

    /** Segments that exist although they were deleted before. */
    List<String> reappearedSegments() {
        return reappearedSegments;
    }

    /** All segments but the reappeared ones, by name, each with 0; filled in by the reader. */
    Map<String, Long> highestIndexBySegment() {
        return highestIndexBySegment;
    }

    /** The latest incarnation in any header; 0 without segments. */
    long incarnation() {
        return incarnation;
    }

    long nextSegmentNumber() {
        return nextSegmentNumber;
    }
}
