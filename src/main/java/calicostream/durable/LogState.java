// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.LogRecord.SnapshotId;
import calicostream.durable.StateLossDetector.VotingStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The content of a log as a state machine that applies its records one by one. Pure, one thread.
 * The same rules hold for records that a caller wants to write ({@link #violation}) and for those
 * that are read back. Entries are kept in memory until {@link #releaseEntries}: a log that was
 * opened needs only their bounds.
 */
final class LogState {
    private static final int MAX_METADATA_BYTES = 64 << 10;
    private static final int RETAINED_SNAPSHOTS = 2;

    private long term;
    private String votedFor = "";
    private VotingStatus votingStatus = VotingStatus.NEW;
    private final TreeMap<String, byte[]> metadata = new TreeMap<>();

    /** Oldest first. */
    private final List<SnapshotId> snapshots = new ArrayList<>();

    /** Entries are available from the one after this index up to {@code lastIndex}. */
    private long baseIndex;

    private long lastIndex;

    /** Null once they were released. */
    private List<LogRecord.Entry> entries = new ArrayList<>();

    /** The state at the header of a segment, if all before it is gone. */
    static LogState of(LogRecord.SegmentHeader header) {
        LogState state = new LogState();
        state.term = header.term();
        state.votedFor = header.votedFor();
        state.votingStatus = header.votingStatus();
        state.metadata.putAll(header.metadata());
        state.snapshots.addAll(header.snapshots());
        state.baseIndex = header.lastIndex();
        state.lastIndex = header.lastIndex();
        return state;
    }

    LogState copy() {
        LogState copy = new LogState();
        copy.term = term;
        copy.votedFor = votedFor;
        copy.votingStatus = votingStatus;
        copy.metadata.putAll(metadata);
        copy.snapshots.addAll(snapshots);
        copy.baseIndex = baseIndex;
        copy.lastIndex = lastIndex;
        copy.entries = entries == null ? null : new ArrayList<>(entries);
        return copy;
    }

    /** The header of a segment that begins with this state. */
    LogRecord.SegmentHeader header(
            LogIdentity identity,
            long segmentNumber,
            long incarnation,
            long previousSequence,
            int previousChecksum) {
        return new LogRecord.SegmentHeader(
                identity,
                segmentNumber,
                incarnation,
                previousSequence,
                previousChecksum,
                votingStatus,
                term,
                votedFor,
                lastIndex,
                List.copyOf(snapshots),
                new TreeMap<>(metadata));
    }

    /** Whether a header agrees with the records before it. */
    boolean agreesWith(LogRecord.SegmentHeader header) {
        return header.term() == term
                && header.votedFor().equals(votedFor)
                && header.lastIndex() == lastIndex
                && header.metadata().keySet().equals(metadata.keySet());
    }

    /** Which rule of a log the record would violate here; empty if none. */
    Optional<String> violation(LogRecord record) {
        if (record instanceof LogRecord.Entry entry) {
            return entry.index() == lastIndex + 1
                    ? Optional.empty()
                    : Optional.of("entry " + entry.index() + " after " + lastIndex);
        } else if (record instanceof LogRecord.SuffixTruncation truncation) {
            return truncationViolation(truncation);
        } else if (record instanceof LogRecord.TermAndVote vote) {
            return voteViolation(vote);
        } else if (record instanceof LogRecord.MetadataEntry value) {
            return metadataViolation(value);
        } else if (record instanceof LogRecord.SnapshotCompleted snapshot) {
            long index = snapshot.id().index();
            return index > snapshotIndex()
                    ? Optional.empty()
                    : Optional.of("snapshot of " + index + " after " + snapshotIndex());
        } else if (record instanceof LogRecord.VotingStatusChange) {
            return Optional.empty();
        }
        return Optional.of("a record of type " + record.type() + " in a log");
    }

    private Optional<String> truncationViolation(LogRecord.SuffixTruncation truncation) {
        if (truncation.index() > snapshotIndex() && truncation.index() <= lastIndex + 1) {
            return Optional.empty();
        }
        return Optional.of(
                "truncation from "
                        + truncation.index()
                        + " with a snapshot of "
                        + snapshotIndex()
                        + " and a last entry "
                        + lastIndex);
    }

    private Optional<String> voteViolation(LogRecord.TermAndVote vote) {
        if (vote.term() < term) {
            return Optional.of("term " + vote.term() + " after " + term);
        }
        boolean changesVote =
                vote.term() == term && !votedFor.isEmpty() && !votedFor.equals(vote.votedFor());
        if (changesVote) {
            return Optional.of(
                    "a vote for '"
                            + vote.votedFor()
                            + "' in term "
                            + term
                            + " after one for "
                            + votedFor);
        }
        return Optional.empty();
    }

    private Optional<String> metadataViolation(LogRecord.MetadataEntry changed) {
        int size = changed.value() == null ? 0 : size(changed.name(), changed.value());
        for (Map.Entry<String, byte[]> other : metadata.entrySet()) {
            if (!other.getKey().equals(changed.name())) {
                size += size(other.getKey(), other.getValue());
            }
        }
        return size <= MAX_METADATA_BYTES
                ? Optional.empty()
                : Optional.of("metadata of " + size + " bytes, " + MAX_METADATA_BYTES + " at most");
    }

    private static int size(String name, byte[] value) {
        return name.length() + value.length;
    }

    /** Applies a record that violates no rule. */
    void apply(LogRecord record) {
        if (record instanceof LogRecord.Entry entry) {
            lastIndex = entry.index();
            if (entries != null) {
                entries.add(entry);
            }
        } else if (record instanceof LogRecord.SuffixTruncation truncation) {
            truncateFrom(truncation.index());
        } else if (record instanceof LogRecord.TermAndVote vote) {
            term = vote.term();
            votedFor = vote.votedFor();
        } else if (record instanceof LogRecord.MetadataEntry value) {
            if (value.value() == null) {
                metadata.remove(value.name());
            } else {
                metadata.put(value.name(), value.value());
            }
        } else if (record instanceof LogRecord.SnapshotCompleted snapshot) {
            addSnapshot(snapshot.id());
        } else if (record instanceof LogRecord.VotingStatusChange change) {
            votingStatus = change.votingStatus();
        }
    }

    private void truncateFrom(long index) {
        lastIndex = index - 1;
        baseIndex = Math.min(baseIndex, lastIndex);
        if (entries != null) {
            entries.subList((int) (lastIndex - baseIndex), entries.size()).clear();
        }
    }

    private void addSnapshot(SnapshotId id) {
        snapshots.add(id);
        if (snapshots.size() > RETAINED_SNAPSHOTS) {
            snapshots.remove(0);
        }
        if (id.index() > lastIndex) {
            // Sent by a leader far ahead: the local entries end before it, so neither they nor an
            // older snapshot can replace it.
            baseIndex = id.index();
            lastIndex = id.index();
            if (entries != null) {
                entries.clear();
            }
        }
    }

    /**
     * Takes over what a header says beyond the records before it: a voting status that was changed
     * and snapshots that were dropped when the log was opened.
     */
    void adopt(LogRecord.SegmentHeader header) {
        votingStatus = header.votingStatus();
        snapshots.clear();
        snapshots.addAll(header.snapshots());
    }

    /** Drops a snapshot that can't be read. */
    void dropSnapshot(SnapshotId id) {
        snapshots.remove(id);
    }

    void setVotingStatus(VotingStatus status) {
        votingStatus = status;
    }

    void releaseEntries() {
        entries = null;
    }

    /** The entries above {@code index}. */
    List<RecoveredState.Entry> entriesAbove(long index) {
        List<RecoveredState.Entry> above = new ArrayList<>();
        for (LogRecord.Entry entry : entries) {
            if (entry.index() > index) {
                above.add(new RecoveredState.Entry(entry.index(), entry.term(), entry.bytes()));
            }
        }
        return above;
    }

    /** Entries up to this index are needed by none of the retained snapshots; 0 if all are. */
    long deletableIndex() {
        boolean canReplayFromFirstEntry = snapshots.size() == 1 && baseIndex == 0;
        if (snapshots.isEmpty() || canReplayFromFirstEntry) {
            return 0;
        }
        return snapshots.get(0).index();
    }

    /** Index of the newest snapshot, or 0. */
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

    Map<String, byte[]> metadata() {
        return new TreeMap<>(metadata);
    }

    VotingStatus votingStatus() {
        return votingStatus;
    }

    long baseIndex() {
        return baseIndex;
    }

    long lastIndex() {
        return lastIndex;
    }
}
