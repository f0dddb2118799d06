// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import java.util.List;
import java.util.Map;

/**
 * What was found when a log was opened. Immutable, but for the byte arrays, which the reader must
 * not change.
 *
 * @param term the latest term
 * @param votedFor the candidate that got this member's vote in {@code term}; empty for none
 * @param metadata the small named values of {@link DurableLog#saveMetadata}
 * @param snapshot the newest readable snapshot; null if there is none
 * @param entries the entries above the snapshot, without a gap
 * @param localState what the member's own files say, the input of {@link StateLossDetector}
 * @param findings remarks for operators, such as a truncated tail or a snapshot that was skipped
 */
public record RecoveredState(
        long term,
        String votedFor,
        Map<String, byte[]> metadata,
        Snapshot snapshot,
        List<Entry> entries,
        StateLossDetector.LocalState localState,
        List<String> findings) {
    /**
     * An entry of the replicated log.
     *
     * @param index position in the log, from 1
     * @param term the term in which it was appended
     * @param bytes its content
     */
    public record Entry(long index, long term, byte[] bytes) {}

    /**
     * A complete snapshot.
     *
     * @param index the last entry that it covers
     * @param term the term of that entry
     * @param chunks its content, in order
     */
    public record Snapshot(long index, long term, List<byte[]> chunks) {}

    /** The index of the last entry; that of the snapshot if there is no entry, or 0. */
    public long lastIndex() {
        if (!entries.isEmpty()) {
            return entries.get(entries.size() - 1).index();
        }
        return snapshot == null ? 0 : snapshot.index();
    }

    /** The same without entries and snapshot, to free their memory once they have been used. */
    public RecoveredState withoutLogData() {
        return new RecoveredState(term, votedFor, metadata, null, List.of(), localState, findings);
    }
}
