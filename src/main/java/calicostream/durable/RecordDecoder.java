// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import calicostream.durable.LogRecord.DurabilityMarker;
import calicostream.durable.LogRecord.MetadataEntry;
import calicostream.durable.LogRecord.SegmentHeader;
import calicostream.durable.LogRecord.SnapshotHeader;
import calicostream.durable.LogRecord.SnapshotId;
import calicostream.durable.StateLossDetector.VotingStatus;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Reads the fields of a {@link LogRecord}, in the order in which the record writes them. Pure. */
final class RecordDecoder {
    private RecordDecoder() {}

    /**
     * Reads the fields of one record.
     *
     * @throws RuntimeException of any type if the fields are not those of {@code type}
     */
    static LogRecord decode(RecordType type, ByteBuffer in) {
        return switch (type) {
            case SEGMENT_HEADER -> segmentHeader(in);
            case ENTRY ->
                    new LogRecord.Entry(in.getLong(), in.getLong(), FieldBuffer.readBytes(in));
            case SUFFIX_TRUNCATION -> new LogRecord.SuffixTruncation(in.getLong());
            case TERM_AND_VOTE -> new LogRecord.TermAndVote(in.getLong(), FieldBuffer.readText(in));
            case METADATA_ENTRY -> metadataEntry(in);
            case SNAPSHOT_COMPLETED -> new LogRecord.SnapshotCompleted(snapshotId(in));
            case VOTING_STATUS_CHANGE ->
                    new LogRecord.VotingStatusChange(VotingStatus.ofCode(in.get()));
            case DURABILITY_MARKER -> durabilityMarker(in);
            case SNAPSHOT_HEADER ->
                    new SnapshotHeader(FieldBuffer.readIdentity(in), snapshotId(in), in.getInt());
            case SNAPSHOT_CHUNK ->
                    new LogRecord.SnapshotChunk(in.getInt(), FieldBuffer.readBytes(in));
            case SNAPSHOT_TRAILER -> new LogRecord.SnapshotTrailer(in.getInt());
        };
    }

    private static SnapshotId snapshotId(ByteBuffer in) {
        return new SnapshotId(in.getLong(), in.getLong());
    }

    private static MetadataEntry metadataEntry(ByteBuffer in) {
        String name = FieldBuffer.readText(in);
        boolean isRemoved = in.get() == MetadataEntry.REMOVED;
        return new MetadataEntry(name, isRemoved ? null : FieldBuffer.readBytes(in));
    }

    private static DurabilityMarker durabilityMarker(ByteBuffer in) {
        return new DurabilityMarker(
                FieldBuffer.readIdentity(in),
                in.getLong(),
                in.getLong(),
                in.getInt(),
                VotingStatus.ofCode(in.get()),
                FieldBuffer.readText(in));
    }

    private static SegmentHeader segmentHeader(ByteBuffer in) {
        return new SegmentHeader(
                FieldBuffer.readIdentity(in),
                in.getLong(),
                in.getLong(),
                in.getLong(),
                in.getInt(),
                VotingStatus.ofCode(in.get()),
                in.getLong(),
                FieldBuffer.readText(in),
                in.getLong(),
                snapshotIds(in),
                metadata(in));
    }

    private static List<SnapshotId> snapshotIds(ByteBuffer in) {
        List<SnapshotId> ids = new ArrayList<>();
        for (int left = in.get(); left > 0; left--) {
            ids.add(snapshotId(in));
        }
        return ids;
    }

    private static Map<String, byte[]> metadata(ByteBuffer in) {
        Map<String, byte[]> values = new TreeMap<>();
        for (int left = in.getInt(); left > 0; left--) {
            String name = FieldBuffer.readText(in);
            values.put(name, FieldBuffer.readBytes(in));
        }
        return values;
    }
}
