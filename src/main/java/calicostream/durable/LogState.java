// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.LogRecord.SnapshotId;
import calicostream.durable.StateLossDetector.VotingStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a log says, as a machine that takes its records one by one. Pure. The same rules hold for
 * records that a caller wants to write ({@link #check}) and for those that are read back. Entries
 * are kept until {@link #forgetEntries}: a running log needs bounds only.
 */
final class LogState {

    static final int NOTES_LIMIT = 64 << 10;

    private long term;
    private String votedFor = "";
    private VotingStatus standing = VotingStatus.NEW;
    private final TreeMap<String, byte[]> notes = new TreeMap<>();

    /** Oldest first, two at most. */
    private final List<SnapshotId> snapshots = new ArrayList<>();

    /** Entries are held from the one after {@code base} to {@code last}. */
    private long base;

    private long last;
    private List<LogRecord.Entry> entries = new ArrayList<>();

    /** The state at a segment's head, where all before it is gone. */
    static LogState of(LogRecord.SegmentHeader head) {
        LogState contents = new LogState();
        contents.term = head.term();
        contents.votedFor = head.votedFor();
        contents.standing = head.standing();
        contents.notes.putAll(head.notes());
        contents.snapshots.addAll(head.snapshots());
        contents.base = contents.last = head.lastIndex();
        return contents;
    }

    LogState copy() {
        LogState copy = of(head(new LogIdentity("-", "-"), 0, 0, 0, 0));
        copy.base = base;
        copy.entries = entries == null ? null : new ArrayList<>(entries);
        return copy;
    }

    LogRecord.SegmentHeader head(
            LogIdentity who, long segment, long incarnation, long afterSeq, int afterCrc) {
        return new LogRecord.SegmentHeader(
                who,
                segment,
                incarnation,
                afterSeq,
                afterCrc,
                standing,
                term,
                votedFor,
                last,
                List.copyOf(snapshots),
                new TreeMap<>(notes));
    }

    /** Whether a head tells the same as the records before it did. */
    boolean agrees(LogRecord.SegmentHeader head) {
        return head.term() == term
                && head.votedFor().equals(votedFor)
                && head.lastIndex() == last
                && head.notes().keySet().equals(notes.keySet());
    }

    /** Why the record breaks the rules of a log here; null when it does not. */
    String check(LogRecord record) {
        if (record instanceof LogRecord.Entry entry) {
            if (entry.index() != last + 1) return "entry " + entry.index() + " after " + last;
        } else if (record instanceof LogRecord.SuffixTruncation cut) {
            if (cut.index() <= snapshotIndex() || cut.index() > last + 1)
                return "cut from "
                        + cut.index()
                        + " with a snapshot of "
                        + snapshotIndex()
                        + " and a last entry "
                        + last;
        } else if (record instanceof LogRecord.TermAndVote vote) {
            if (vote.term() < term) return "term " + vote.term() + " after " + term;
            if (vote.term() == term && !votedFor.isEmpty() && !votedFor.equals(vote.votedFor()))
                return "a vote for '"
                        + vote.votedFor()
                        + "' in term "
                        + term
                        + " after one for "
                        + votedFor;
        } else if (record instanceof LogRecord.MetadataEntry note) {
            int size = note.value() == null ? 0 : note.name().length() + note.value().length;
            for (Map.Entry<String, byte[]> other : notes.entrySet())
                if (!other.getKey().equals(note.name()))
                    size += other.getKey().length() + other.getValue().length;
            if (size > NOTES_LIMIT)
                return "notes of " + size + " bytes, " + NOTES_LIMIT + " at most";
        } else if (record instanceof LogRecord.SnapshotCompleted snapshot) {
            if (snapshot.ref().index() <= snapshotIndex())
                return "snapshot of " + snapshot.ref().index() + " after " + snapshotIndex();
        } else if (!(record instanceof LogRecord.VotingStatusChange)) {
            return "no record of a log: " + record.getClass().getSimpleName();
        }
        return null;
    }

    void apply(LogRecord record) {
        if (record instanceof LogRecord.Entry entry) {
            last = entry.index();
            if (entries != null) entries.add(entry);
        } else if (record instanceof LogRecord.SuffixTruncation cut) {
            last = cut.index() - 1;
            base = Math.min(base, last);
            if (entries != null) entries.subList((int) (last - base), entries.size()).clear();
        } else if (record instanceof LogRecord.TermAndVote vote) {
            term = vote.term();
            votedFor = vote.votedFor();
        } else if (record instanceof LogRecord.MetadataEntry note) {
            if (note.value() == null) notes.remove(note.name());
            else notes.put(note.name(), note.value());
        } else if (record instanceof LogRecord.SnapshotCompleted snapshot) {
            snapshots.add(snapshot.ref());
            if (snapshots.size() > 2) snapshots.remove(0);
            if (snapshot.ref().index() > last) {
                // Sent by a leader far ahead: what is held ends before it, so nothing older can
                // stand in for it.
                base = last = snapshot.ref().index();
                if (entries != null) entries.clear();
            }
        } else if (record instanceof LogRecord.VotingStatusChange stands) {
            standing = stands.standing();
        }
    }

    /**
     * What a head says beyond the records before it: a standing that was changed and generations
     * that were passed over at an opening.
     */
    void adopt(LogRecord.SegmentHeader head) {
        standing = head.standing();
        snapshots.clear();
        snapshots.addAll(head.snapshots());
    }

    /** Passes over a generation that can't be read. */
    void drop(SnapshotId ref) {
        snapshots.remove(ref);
    }

    void stand(VotingStatus now) {
        standing = now;
    }

    void forgetEntries() {
        entries = null;
    }

    /** The entries above {@code index}. */
    List<RecoveredState.Entry> entriesAbove(long index) {
        List<RecoveredState.Entry> above = new ArrayList<>();
        for (LogRecord.Entry entry : entries) {
            if (entry.index() > index)
                above.add(new RecoveredState.Entry(entry.index(), entry.term(), entry.bytes()));
        }
        return above;
    }

    /** Up to where no generation that is kept needs entries. */
    long floor() {
        if (snapshots.isEmpty() || snapshots.size() == 1 && base == 0) return 0;
        return snapshots.get(0).index();
    }

    long snapshotIndex() {
        return snapshots.isEmpty() ? 0 : snapshots.get(snapshots.size() - 1).index();
    }

    List<SnapshotId> snapshots() {
        return List.copyOf(snapshots);
    }

    long term() {
        return term;
    }

    String votedFor() {
        return votedFor;
    }

    Map<String, byte[]> notes() {
        return new TreeMap<>(notes);
    }

    VotingStatus standing() {
        return standing;
    }

    long base() {
        return base;
    }

    long last() {
        return last;
    }
}
