// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import java.util.List;
import java.util.Map;

/**
 * What an opening found. {@code snapshot} is null without one; {@code entries} are those above it,
 * without a gap. {@code votedFor} is empty for no vote in {@code term}. {@code own} is what the
 * member's own marks say: {@link StateLossDetector} makes the verdict of it and of what peers
 * remember. {@code findings} are remarks for operators: a tail that was cut, a generation that was
 * passed over.
 */
public record RecoveredState(
        long term,
        String votedFor,
        Map<String, byte[]> metadata,
        Snapshot snapshot,
        List<Entry> entries,
        StateLossDetector.LocalState localState,
        List<String> findings) {

    public record Entry(long index, long term, byte[] bytes) {}

    /** The chunks of a whole snapshot, in order. */
    public record Snapshot(long index, long term, List<byte[]> chunks) {}

    /** The index of the last entry, of the snapshot when there is none, or 0. */
    public long lastIndex() {
        if (!entries.isEmpty()) return entries.get(entries.size() - 1).index();
        return snapshot == null ? 0 : snapshot.index();
    }

    /** The same without entries and snapshot, for a log that has been read. */
    public RecoveredState withoutLogData() {
        return new RecoveredState(term, votedFor, metadata, null, List.of(), localState, findings);
    }
}
