// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.StateLossDetector.Standing;
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
    record Ref(long index, long term) {}

    /**
     * The first record of a segment: whose it is, after which record of the segment before it goes
     * on, and all small state, so that the segments before it may go. {@code first} is the place of
     * the log's first entry less one, if all before it are gone.
     */
    record Head(
            LogIdentity who,
            long segment,
            long incarnation,
            long afterSeq,
            int afterCrc,
            Standing standing,
            long term,
            String votedFor,
            long lastIndex,
            List<Ref> snapshots,
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
            out.u64(segment);
            out.u64(incarnation);
            out.u64(afterSeq);
            out.u32(afterCrc);
            out.u8(standing.ordinal());
            out.u64(term);
            out.text(votedFor);
            out.u64(lastIndex);
            out.u8(snapshots.size());
            for (Ref ref : snapshots) {
                out.u64(ref.index());
                out.u64(ref.term());
            }
            out.u32(notes.size());
            notes.forEach(
                    (name, value) -> {
                        out.text(name);
                        out.bytes(value);
                    });
        }

        private static Head read(ByteBuffer in) {
            LogIdentity who = new LogIdentity(FieldBuffer.text(in), FieldBuffer.text(in));
            long segment = in.getLong();
            long incarnation = in.getLong();
            long afterSeq = in.getLong();
            int afterCrc = in.getInt();
            Standing standing = Standing.values()[in.get()];
            long term = in.getLong();
            String votedFor = FieldBuffer.text(in);
            long lastIndex = in.getLong();
            List<Ref> snapshots = new ArrayList<>();
            for (int left = in.get(); left > 0; left--)
                snapshots.add(new Ref(in.getLong(), in.getLong()));
            Map<String, byte[]> notes = new TreeMap<>();
            for (int left = in.getInt(); left > 0; left--)
                notes.put(FieldBuffer.text(in), FieldBuffer.bytes(in));
            return new Head(
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
            out.u64(index);
            out.u64(term);
            out.bytes(bytes);
        }
    }

    record CutFrom(long index) implements LogRecord {
        @Override
        public int kind() {
            return 3;
        }

        @Override
        public void write(FieldBuffer out) {
            out.u64(index);
        }
    }

    record Term(long term, String votedFor) implements LogRecord {
        @Override
        public int kind() {
            return 4;
        }

        @Override
        public void write(FieldBuffer out) {
            out.u64(term);
            out.text(votedFor);
        }
    }

    /** {@code value} is null where the note is removed. */
    record Note(String name, byte[] value) implements LogRecord {
        @Override
        public int kind() {
            return 5;
        }

        @Override
        public void write(FieldBuffer out) {
            out.text(name);
            out.u8(value == null ? 0 : 1);
            if (value != null) out.bytes(value);
        }
    }

    /** From here on the log rests on this snapshot, whose file was whole before. */
    record Snapshot(Ref ref) implements LogRecord {
        @Override
        public int kind() {
            return 6;
        }

        @Override
        public void write(FieldBuffer out) {
            out.u64(ref.index());
            out.u64(ref.term());
        }
    }

    record Stands(Standing standing) implements LogRecord {
        @Override
        public int kind() {
            return 7;
        }

        @Override
        public void write(FieldBuffer out) {
            out.u8(standing.ordinal());
        }
    }

    /**
     * The mark: {@code seq} and {@code crc} are of the last record of the log that was synced;
     * {@code why} is of a member that is barred.
     */
    record Mark(LogIdentity who, long incarnation, long seq, int crc, Standing standing, String why)
            implements LogRecord {
        @Override
        public int kind() {
            return 8;
        }

        @Override
        public void write(FieldBuffer out) {
            out.text(who.cluster());
            out.text(who.member());
            out.u64(incarnation);
            out.u64(seq);
            out.u32(crc);
            out.u8(standing.ordinal());
            out.text(why);
        }
    }

    record SnapshotHead(LogIdentity who, Ref ref, int chunks) implements LogRecord {
        @Override
        public int kind() {
            return 9;
        }

        @Override
        public void write(FieldBuffer out) {
            out.text(who.cluster());
            out.text(who.member());
            out.u64(ref.index());
            out.u64(ref.term());
            out.u32(chunks);
        }
    }

    record Chunk(int number, byte[] bytes) implements LogRecord {
        @Override
        public int kind() {
            return 10;
        }

        @Override
        public void write(FieldBuffer out) {
            out.u32(number);
            out.bytes(bytes);
        }
    }

    record SnapshotEnd(int chunks) implements LogRecord {
        @Override
        public int kind() {
            return 11;
        }

        @Override
        public void write(FieldBuffer out) {
            out.u32(chunks);
        }
    }

    /**
     * Null for a kind that this version does not know; runtime exceptions for fields that can't be.
     */
    static LogRecord read(int kind, ByteBuffer in) {
        return switch (kind) {
            case 1 -> Head.read(in);
            case 2 -> new Entry(in.getLong(), in.getLong(), FieldBuffer.bytes(in));
            case 3 -> new CutFrom(in.getLong());
            case 4 -> new Term(in.getLong(), FieldBuffer.text(in));
            case 5 -> new Note(FieldBuffer.text(in), in.get() == 0 ? null : FieldBuffer.bytes(in));
            case 6 -> new Snapshot(new Ref(in.getLong(), in.getLong()));
            case 7 -> new Stands(Standing.values()[in.get()]);
            case 8 ->
                    new Mark(
                            new LogIdentity(FieldBuffer.text(in), FieldBuffer.text(in)),
                            in.getLong(),
                            in.getLong(),
                            in.getInt(),
                            Standing.values()[in.get()],
                            FieldBuffer.text(in));
            case 9 ->
                    new SnapshotHead(
                            new LogIdentity(FieldBuffer.text(in), FieldBuffer.text(in)),
                            new Ref(in.getLong(), in.getLong()),
                            in.getInt());
            case 10 -> new Chunk(in.getInt(), FieldBuffer.bytes(in));
            case 11 -> new SnapshotEnd(in.getInt());
            default -> null;
        };
    }
}
