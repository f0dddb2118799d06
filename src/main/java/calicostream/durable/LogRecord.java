// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.StateLossDetector.VotingStatus;
import java.util.List;
import java.util.Map;

/**
 * The content of one frame of a segment, marker file or snapshot. The order of fields in {@link
 * #writeFields} never changes; {@link RecordDecoder} reads them back, and {@code
 * docs/operate/durable-format.md} lists them.
 */
sealed interface LogRecord {
    RecordType type();

    /** Appends the fields to {@code out}, without the frame. */
    void writeFields(FieldBuffer out);

    /**
     * Identifies a snapshot.
     *
     * @param index the last entry that it covers
     * @param term the term of that entry
     */
    record SnapshotId(long index, long term) {
        void writeTo(FieldBuffer out) {
            out.writeLong(index);
            out.writeLong(term);
        }
    }

    /**
     * The first record of a segment: its owner, the record of the previous segment that it follows,
     * and all small state, so that earlier segments can be deleted.
     *
     * @param segmentNumber the number in the segment's file name
     * @param incarnation the opening of the log that wrote the segment
     * @param previousSequence number of the record that it follows; records of earlier segments
     *     after that one are superseded
     * @param previousChecksum checksum of the record that it follows
     * @param lastIndex index of the last entry before this segment
     * @param snapshots the snapshots that the log rests on, oldest first
     */
    record SegmentHeader(
            LogIdentity identity,
            long segmentNumber,
            long incarnation,
            long previousSequence,
            int previousChecksum,
            VotingStatus votingStatus,
            long term,
            String votedFor,
            long lastIndex,
            List<SnapshotId> snapshots,
            Map<String, byte[]> metadata)
            implements LogRecord {
        @Override
        public RecordType type() {
            return RecordType.SEGMENT_HEADER;
        }

        @Override
        public void writeFields(FieldBuffer out) {
            out.writeIdentity(identity);
            out.writeLong(segmentNumber);
            out.writeLong(incarnation);
            out.writeLong(previousSequence);
            out.writeInt(previousChecksum);
            out.writeByte(votingStatus.code());
            out.writeLong(term);
            out.writeText(votedFor);
            out.writeLong(lastIndex);
            out.writeByte(snapshots.size());
            for (SnapshotId snapshot : snapshots) {
                snapshot.writeTo(out);
            }
            out.writeInt(metadata.size());
            for (Map.Entry<String, byte[]> value : metadata.entrySet()) {
                out.writeText(value.getKey());
                out.writeBytes(value.getValue());
            }
        }
    }

    /** An entry of the replicated log. */
    record Entry(long index, long term, byte[] bytes) implements LogRecord {
        @Override
        public RecordType type() {
            return RecordType.ENTRY;
        }

        @Override
        public void writeFields(FieldBuffer out) {
            out.writeLong(index);
            out.writeLong(term);
            out.writeBytes(bytes);
        }
    }

    /** The entries from {@code index} on are removed. */
    record SuffixTruncation(long index) implements LogRecord {
        @Override
        public RecordType type() {
            return RecordType.SUFFIX_TRUNCATION;
        }

        @Override
        public void writeFields(FieldBuffer out) {
            out.writeLong(index);
        }
    }

    /** The current term and the vote in it; {@code votedFor} is empty for no vote. */
    record TermAndVote(long term, String votedFor) implements LogRecord {
        @Override
        public RecordType type() {
            return RecordType.TERM_AND_VOTE;
        }

        @Override
        public void writeFields(FieldBuffer out) {
            out.writeLong(term);
            out.writeText(votedFor);
        }
    }

    /** A small named value; {@code value} is null where it is removed. */
    record MetadataEntry(String name, byte[] value) implements LogRecord {
        static final int REMOVED = 0;
        static final int PRESENT = 1;

        @Override
        public RecordType type() {
            return RecordType.METADATA_ENTRY;
        }

        @Override
        public void writeFields(FieldBuffer out) {
            out.writeText(name);
            if (value == null) {
                out.writeByte(REMOVED);
            } else {
                out.writeByte(PRESENT);
                out.writeBytes(value);
            }
        }
    }

    /** From here on the log rests on this snapshot, whose file was complete before. */
    record SnapshotCompleted(SnapshotId id) implements LogRecord {
        @Override
        public RecordType type() {
            return RecordType.SNAPSHOT_COMPLETED;
        }

        @Override
        public void writeFields(FieldBuffer out) {
            id.writeTo(out);
        }
    }

    /** The member's voting status changes. */
    record VotingStatusChange(VotingStatus votingStatus) implements LogRecord {
        @Override
        public RecordType type() {
            return RecordType.VOTING_STATUS_CHANGE;
        }

        @Override
        public void writeFields(FieldBuffer out) {
            out.writeByte(votingStatus.code());
        }
    }

    /**
     * Says how far the log was synced. It is kept apart from the log, so that each of the two shows
     * whether the other one lost something.
     *
     * @param sequence number of the last record of the log that was synced
     * @param checksum checksum of that record
     * @param reason why voting is suspended, if it is
     */
    record DurabilityMarker(
            LogIdentity identity,
            long incarnation,
            long sequence,
            int checksum,
            VotingStatus votingStatus,
            String reason)
            implements LogRecord {
        @Override
        public RecordType type() {
            return RecordType.DURABILITY_MARKER;
        }

        @Override
        public void writeFields(FieldBuffer out) {
            out.writeIdentity(identity);
            out.writeLong(incarnation);
            out.writeLong(sequence);
            out.writeInt(checksum);
            out.writeByte(votingStatus.code());
            out.writeText(reason);
        }
    }

    /** The first record of a snapshot file. */
    record SnapshotHeader(LogIdentity identity, SnapshotId id, int chunkCount)
            implements LogRecord {
        @Override
        public RecordType type() {
            return RecordType.SNAPSHOT_HEADER;
        }

        @Override
        public void writeFields(FieldBuffer out) {
            out.writeIdentity(identity);
            id.writeTo(out);
            out.writeInt(chunkCount);
        }
    }

    /** A chunk of a snapshot; {@code position} is its place among the chunks, from 0. */
    record SnapshotChunk(int position, byte[] bytes) implements LogRecord {
        @Override
        public RecordType type() {
            return RecordType.SNAPSHOT_CHUNK;
        }

        @Override
        public void writeFields(FieldBuffer out) {
            out.writeInt(position);
            out.writeBytes(bytes);
        }
    }

    /** The last record of a snapshot file, which shows that the file is complete. */
    record SnapshotTrailer(int chunkCount) implements LogRecord {
        @Override
        public RecordType type() {
            return RecordType.SNAPSHOT_TRAILER;
        }

        @Override
        public void writeFields(FieldBuffer out) {
            out.writeInt(chunkCount);
        }
    }
}
