// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.RecordFraming.Frame;
import calicostream.durable.StateLossDetector.StateLoss;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the segments of a log and the last mark say together: all that was promised, a doubt, or a
 * typed error. Pure. A segment's end is where the head of a later one goes on from; a bad record
 * before that had been promised, and so had one at the log's end that the mark or a later record
 * vouches for. What nobody vouches for is a torn tail and is cut.
 */
final class LogScanner {

    record Segment(String name, byte[] bytes) {}

    /**
     * {@code vouched} is what the log said at {@code seq}, {@code tail} the sound records after it.
     * {@code reach} tells for each segment the highest entry in it; {@code stale} are files that
     * came back after they were deleted.
     */
    record Result(
            LogState vouched,
            long seq,
            int crc,
            List<LogRecord> tail,
            long incarnation,
            long nextSegment,
            StateLoss doubt,
            String facts,
            Map<String, Long> reach,
            List<String> stale,
            List<String> findings) {}

    private final LogIdentity who;
    private final LogRecord.DurabilityMarker mark;
    private final List<String> findings = new ArrayList<>();
    private final Map<String, Long> reach = new TreeMap<>();
    private final List<String> stale = new ArrayList<>();
    private long maxSynced;
    private long incarnation;

    /** Where the reading stands. */
    private long seq;

    private int crc;
    private LogState contents;
    private LogState vouched;
    private boolean metMark;
    private int crcAtMark;
    private final List<LogRecord> tail = new ArrayList<>();
    private StateLoss doubt = StateLoss.NONE;

    private LogScanner(LogIdentity who, LogRecord.DurabilityMarker mark) {
        this.who = who;
        this.mark = mark;
    }

    /** {@code segments} by number; {@code mark} is null without one. */
    static Result run(LogIdentity who, List<Segment> segments, LogRecord.DurabilityMarker mark)
            throws DurableException {
        return new LogScanner(who, mark).run(segments);
    }

    private Result run(List<Segment> all) throws DurableException {
        List<Segment> segments = new ArrayList<>(all);
        List<Frame> heads = heads(segments);
        long next =
                segments.isEmpty()
                        ? 1
                        : LogFileNames.number(segments.get(segments.size() - 1).name()) + 1;
        // From the last one back: what a later head goes on before is superseded, whole segments
        // too.
        List<Segment> chain = new ArrayList<>();
        List<Frame> chainHeads = new ArrayList<>();
        long limit = Long.MAX_VALUE;
        for (int i = segments.size() - 1; i >= 0; i--) {
            if (i + 1 < segments.size()
                    && LogFileNames.number(segments.get(i).name()) + 1
                            != LogFileNames.number(segments.get(i + 1).name())) {
                for (int old = 0; old <= i; old++) stale.add(segments.get(old).name());
                break;
            }
            Frame head = heads.get(i);
            incarnation =
                    Math.max(incarnation, ((LogRecord.SegmentHeader) head.record()).incarnation());
            reach.put(segments.get(i).name(), 0L);
            if (head.seq() > limit) continue;
            chain.add(0, segments.get(i));
            chainHeads.add(0, head);
            limit = ((LogRecord.SegmentHeader) head.record()).afterSeq();
        }
        for (int i = 0; i < chain.size(); i++)
            segment(
                    chain.get(i),
                    chainHeads.get(i),
                    i + 1 < chain.size()
                            ? (LogRecord.SegmentHeader) chainHeads.get(i + 1).record()
                            : null);
        if (contents == null) contents = new LogState();
        if (contents.base() > contents.snapshotIndex())
            throw new DurableException.MissingRecords(
                    "the log begins after entry "
                            + contents.base()
                            + ", the newest snapshot ends at "
                            + contents.snapshotIndex()
                            + (stale.isEmpty()
                                    ? ""
                                    : ", and a segment between "
                                            + stale.get(stale.size() - 1)
                                            + " and "
                                            + chain.get(0).name()
                                            + " is not there"));
        if (!stale.isEmpty()) findings.add("deleted segments were there again: " + stale);
        String facts = doubt(chain);
        if (doubt != StateLoss.NONE || vouched == null) {
            // Nothing is vouched for beyond what could be read, and nothing of it may be taken for
            // a tail.
            return new Result(
                    contents,
                    seq,
                    crc,
                    List.of(),
                    incarnation,
                    next,
                    doubt,
                    facts,
                    reach,
                    stale,
                    findings);
        }
        return new Result(
                vouched,
                mark.seq(),
                mark.crc(),
                tail,
                incarnation,
                next,
                doubt,
                facts,
                reach,
                stale,
                findings);
    }

    /**
     * The head of each segment; a last file in which nothing can be read is left out, as it may
     * never have been written.
     */
    private List<Frame> heads(List<Segment> segments) throws DurableException {
        List<Frame> heads = new ArrayList<>();
        for (int i = 0; i < segments.size(); i++) {
            Segment segment = segments.get(i);
            Frame head = RecordFraming.read(segment.bytes(), 0, segment.name());
            if (head == null || !(head.record() instanceof LogRecord.SegmentHeader)) {
                Frame later = RecordFraming.find(segment.bytes(), 0, segment.name());
                if (i + 1 < segments.size() || later != null) throw rotten(segment, 0, "its head");
                findings.add(
                        segment.name() + " holds nothing that can be read and is written anew");
                segments.remove(i);
                break;
            }
            LogIdentity found = ((LogRecord.SegmentHeader) head.record()).who();
            if (!found.equals(who))
                throw new DurableException.ForeignDirectory(
                        segment.name() + " belongs to " + found + ", this is " + who);
            heads.add(head);
        }
        return heads;
    }

    private void segment(Segment segment, Frame first, LogRecord.SegmentHeader next)
            throws DurableException {
        LogRecord.SegmentHeader head = (LogRecord.SegmentHeader) first.record();
        if (contents == null) {
            contents =
                    head.afterSeq() == 0 && head.lastIndex() == 0
                            ? new LogState()
                            : LogState.of(head);
            seq = head.afterSeq();
            crc = head.afterCrc();
            meet();
        } else if (head.afterSeq() != seq || head.afterCrc() != crc || !contents.agrees(head)) {
            throw new DurableException.MissingRecords(
                    segment.name()
                            + " goes on after record "
                            + head.afterSeq()
                            + " of another history");
        }
        if (first.seq() != seq + 1) throw rotten(segment, 0, "its head's number");
        contents.adopt(head);
        step(first);
        int at = first.end();
        while (next == null || seq < next.afterSeq()) {
            Frame frame = RecordFraming.read(segment.bytes(), at, segment.name());
            boolean goesOn = frame != null && frame.seq() == seq + 1 && frame.prev() == crc;
            if (!goesOn) {
                ended(segment, at, next);
                return;
            }
            String wrong = contents.check(frame.record());
            if (wrong != null)
                throw new DurableException.MissingRecords(
                        segment.name() + " at byte " + at + ": " + wrong);
            contents.apply(frame.record());
            if (frame.record() instanceof LogRecord.Entry entry)
                reach.merge(segment.name(), entry.index(), Math::max);
            if (vouched != null && metMark) tail.add(frame.record());
            step(frame);
            at = frame.end();
        }
    }

    private void step(Frame frame) {
        maxSynced = Math.max(maxSynced, frame.synced());
        seq = frame.seq();
        crc = frame.crc();
        meet();
    }

    /** Keeps what the log said where the mark was made. */
    private void meet() {
        if (mark == null || seq != mark.seq()) return;
        metMark = true;
        crcAtMark = crc;
        vouched = contents.copy();
        tail.clear();
    }

    /**
     * No sound record follows in this segment: its honest end, a torn tail, forgotten records, rot
     * or a hole.
     */
    private void ended(Segment segment, int at, LogRecord.SegmentHeader next)
            throws DurableException {
        byte[] bytes = segment.bytes();
        if (next == null && at == bytes.length) return;
        boolean blank = RecordFraming.isBlank(bytes, at);
        if (next != null) {
            if (blank)
                throw new DurableException.MissingRecords(
                        segment.name()
                                + " ends at record "
                                + seq
                                + ", the next segment goes on after "
                                + next.afterSeq());
            throw rotten(segment, at, "record " + (seq + 1));
        }
        Frame later = blank ? null : RecordFraming.find(bytes, at, segment.name());
        for (Frame found = later;
                found != null;
                found = RecordFraming.find(bytes, found.end(), segment.name()))
            maxSynced = Math.max(maxSynced, found.synced());
        boolean promised = maxSynced > seq || mark != null && mark.seq() > seq;
        if (promised && (later != null || !blank && !cutShort(bytes, at)))
            throw rotten(segment, at, "record " + (seq + 1));
        findings.add(
                segment.name()
                        + ": "
                        + (bytes.length - at)
                        + " bytes after record "
                        + seq
                        + (promised ? " are no record" : " were a torn tail"));
    }

    /**
     * Whether the record there says that it goes on past the file's end, as one does that did not
     * get to the disk whole.
     */
    private static boolean cutShort(byte[] bytes, int at) {
        if (bytes.length - at < RecordFraming.OVERHEAD) return true;
        int length = java.nio.ByteBuffer.wrap(bytes).getInt(at);
        return length < 0 || length > bytes.length - at - 8;
    }

    private static DurableException rotten(Segment segment, int at, String what) {
        return new DurableException.CorruptRecord(
                segment.name()
                        + " at byte "
                        + at
                        + ": "
                        + what
                        + " was promised and can't be read");
    }

    /** What log and mark say of each other. */
    private String doubt(List<Segment> chain) {
        if (mark == null) {
            if (chain.isEmpty()) return "";
            doubt = StateLoss.MARKER_BEHIND_LOG;
            return "no mark is there, and the log ends at record " + seq;
        }
        if (chain.isEmpty() && mark.seq() == 0) return "";
        if (mark.seq() > seq) {
            doubt = StateLoss.LOG_BEHIND_MARKER;
            return "record " + mark.seq() + " was synced, the log ends at " + seq;
        }
        if (maxSynced > mark.seq() || incarnation > mark.incarnation() || !metMark) {
            doubt = StateLoss.MARKER_BEHIND_LOG;
            return "the marks end at record "
                    + mark.seq()
                    + " of incarnation "
                    + mark.incarnation()
                    + ", the log knows of syncs up to "
                    + maxSynced
                    + " and of incarnation "
                    + incarnation;
        }
        if (crcAtMark != mark.crc()) {
            doubt = StateLoss.HISTORIES_DIVERGED;
            return "record " + mark.seq() + " is another one than was marked";
        }
        return "";
    }
}
