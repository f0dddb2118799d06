// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.StateLossDetector.VotingStatus;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a frame holds, in each of the three kinds of files. The numbers of kinds and the order of
 * fields never change.
 */
sealed interface LogRecord {

    int kind();

    void write(FieldBuffer out);

    /** A snapshot as the log names it. */
    record SnapshotId(long index, long term) {}

    /**
     * The first record of a segment: whose it is, after which record of the segment before it goes
     * on, and all small state, so that the segments before it may go. {@code first} is the place of
     * the log's first entry less one, if all before it are gone.
     */
    record SegmentHeader(
            LogIdentity who,
            long segment,
            long incarnation,
            long afterSeq,
            int afterCrc,
            VotingStatus standing,
            long term,
            String votedFor,
            long lastIndex,
            List<SnapshotId> snapshots,
            Map<String, byte[]> notes)
            implements LogRecord {
        @Override
        public int kind() {
            return 1;
        }

        @Override
        public void write(FieldBuffer out) {
            out.text(who.cluster());
            out.text(who.member());
            out.writeLong(segment);
            out.writeLong(incarnation);
            out.writeLong(afterSeq);
            out.writeInt(afterCrc);
            out.writeByte(standing.ordinal());
            out.writeLong(term);
            out.text(votedFor);
            out.writeLong(lastIndex);
            out.writeByte(snapshots.size());
            for (SnapshotId ref : snapshots) {
                out.writeLong(ref.index());
                out.writeLong(ref.term());
            }
            out.writeInt(notes.size());
            notes.forEach(
                    (name, value) -> {
                        out.text(name);
                        out.bytes(value);
                    });
        }

        private static SegmentHeader read(ByteBuffer in) {
            LogIdentity who = new LogIdentity(FieldBuffer.text(in), FieldBuffer.text(in));
            long segment = in.getLong();
            long incarnation = in.getLong();
            long afterSeq = in.getLong();
            int afterCrc = in.getInt();
            VotingStatus standing = VotingStatus.values()[in.get()];
            long term = in.getLong();
            String votedFor = FieldBuffer.text(in);
            long lastIndex = in.getLong();
            List<SnapshotId> snapshots = new ArrayList<>();
            for (int left = in.get(); left > 0; left--)
                snapshots.add(new SnapshotId(in.getLong(), in.getLong()));
            Map<String, byte[]> notes = new TreeMap<>();
            for (int left = in.getInt(); left > 0; left--)
                notes.put(FieldBuffer.text(in), FieldBuffer.bytes(in));
            return new SegmentHeader(
                    who,
                    segment,
                    incarnation,
                    afterSeq,
                    afterCrc,
                    standing,
                    term,
                    votedFor,
                    lastIndex,
                    snapshots,
                    notes);
        }
    }

    record Entry(long index, long term, byte[] bytes) implements LogRecord {
        @Override
        public int kind() {
            return 2;
        }

        @Override
        public void write(FieldBuffer out) {
            out.writeLong(index);
            out.writeLong(term);
            out.bytes(bytes);
        }
    }

    record SuffixTruncation(long index) implements LogRecord {
        @Override
        public int kind() {
            return 3;
        }

        @Override
        public void write(FieldBuffer out) {
            out.writeLong(index);
        }
    }

    record TermAndVote(long term, String votedFor) implements LogRecord {
        @Override
        public int kind() {
            return 4;
        }

        @Override
        public void write(FieldBuffer out) {
            out.writeLong(term);
            out.text(votedFor);
        }
    }

    /** {@code value} is null where the note is removed. */
    record MetadataEntry(String name, byte[] value) implements LogRecord {
        @Override
        public int kind() {
            return 5;
        }

        @Override
        public void write(FieldBuffer out) {
            out.text(name);
            out.writeByte(value == null ? 0 : 1);
            if (value != null) out.bytes(value);
        }
    }

    /** From here on the log rests on this snapshot, whose file was whole before. */
    record SnapshotCompleted(SnapshotId ref) implements LogRecord {
        @Override
        public int kind() {
            return 6;
        }

        @Override
        public void write(FieldBuffer out) {
            out.writeLong(ref.index());
            out.writeLong(ref.term());
        }
    }

    record VotingStatusChange(VotingStatus standing) implements LogRecord {
        @Override
        public int kind() {
            return 7;
        }

        @Override
        public void write(FieldBuffer out) {
            out.writeByte(standing.ordinal());
        }
    }

    /**
     * The mark: {@code seq} and {@code crc} are of the last record of the log that was synced;
     * {@code why} is of a member that is barred.
     */
    record DurabilityMarker(
            LogIdentity who, long incarnation, long seq, int crc, VotingStatus standing, String why)
            implements LogRecord {
        @Override
        public int kind() {
            return 8;
        }

        @Override
        public void write(FieldBuffer out) {
            out.text(who.cluster());
            out.text(who.member());
            out.writeLong(incarnation);
            out.writeLong(seq);
            out.writeInt(crc);
            out.writeByte(standing.ordinal());
            out.text(why);
        }
    }

    record SnapshotHeader(LogIdentity who, SnapshotId ref, int chunks) implements LogRecord {
        @Override
        public int kind() {
            return 9;
        }

        @Override
        public void write(FieldBuffer out) {
            out.text(who.cluster());
            out.text(who.member());
            out.writeLong(ref.index());
            out.writeLong(ref.term());
            out.writeInt(chunks);
        }
    }

    record SnapshotChunk(int number, byte[] bytes) implements LogRecord {
        @Override
        public int kind() {
            return 10;
        }

        @Override
        public void write(FieldBuffer out) {
            out.writeInt(number);
            out.bytes(bytes);
        }
    }

    record SnapshotTrailer(int chunks) implements LogRecord {
        @Override
        public int kind() {
            return 11;
        }

        @Override
        public void write(FieldBuffer out) {
            out.writeInt(chunks);
        }
    }

    /**
     * Null for a kind that this version does not know; runtime exceptions for fields that can't be.
     */
    static LogRecord read(int kind, ByteBuffer in) {
        return switch (kind) {
            case 1 -> SegmentHeader.read(in);
            case 2 -> new Entry(in.getLong(), in.getLong(), FieldBuffer.bytes(in));
            case 3 -> new SuffixTruncation(in.getLong());
            case 4 -> new TermAndVote(in.getLong(), FieldBuffer.text(in));
            case 5 ->
                    new MetadataEntry(
                            FieldBuffer.text(in), in.get() == 0 ? null : FieldBuffer.bytes(in));
            case 6 -> new SnapshotCompleted(new SnapshotId(in.getLong(), in.getLong()));
            case 7 -> new VotingStatusChange(VotingStatus.values()[in.get()]);
            case 8 ->
                    new DurabilityMarker(
                            new LogIdentity(FieldBuffer.text(in), FieldBuffer.text(in)),
                            in.getLong(),
                            in.getLong(),
                            in.getInt(),
                            VotingStatus.values()[in.get()],
                            FieldBuffer.text(in));
            case 9 ->
                    new SnapshotHeader(
                            new LogIdentity(FieldBuffer.text(in), FieldBuffer.text(in)),
                            new SnapshotId(in.getLong(), in.getLong()),
                            in.getInt());
            case 10 -> new SnapshotChunk(in.getInt(), FieldBuffer.bytes(in));
            case 11 -> new SnapshotTrailer(in.getInt());
            default -> null;
        };
    }
}
