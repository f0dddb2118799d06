// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;

/**
 * What a log should contain, kept apart from the log. Immutable; each method returns the state
 * after one call on the log.
 *
 * @param note the value of the one metadata entry; empty for none
 * @param snapshots the indexes of all snapshots, oldest first
 * @param entries all entries since the last snapshot that was ahead of the log
 */
record ExpectedState(
        long term,
        String vote,
        String note,
        List<Long> snapshots,
        TreeMap<Long, String> entries,
        long lastIndex) {
    static final ExpectedState EMPTY = new ExpectedState(0, "", "", List.of(), new TreeMap<>(), 0);

    ExpectedState withTermAndVote(long newTerm, String newVote) {
        return new ExpectedState(newTerm, newVote, note, snapshots, entries, lastIndex);
    }

    ExpectedState withNote(String text) {
        return new ExpectedState(term, vote, text, snapshots, entries, lastIndex);
    }

    ExpectedState withEntry(String text) {
        TreeMap<Long, String> more = new TreeMap<>(entries);
        more.put(lastIndex + 1, text);
        return new ExpectedState(term, vote, note, snapshots, more, lastIndex + 1);
    }

    ExpectedState truncatedFrom(long index) {
        TreeMap<Long, String> fewer = new TreeMap<>(entries.headMap(index));
        return new ExpectedState(term, vote, note, snapshots, fewer, index - 1);
    }

    ExpectedState withSnapshot(long index) {
        List<Long> more = new ArrayList<>(snapshots);
        more.add(index);
        if (index > lastIndex) {
            return new ExpectedState(term, vote, note, more, new TreeMap<>(), index);
        }
        return new ExpectedState(term, vote, note, more, entries, lastIndex);
    }

    long newestSnapshotIndex() {
        return snapshots.isEmpty() ? 0 : snapshots.get(snapshots.size() - 1);
    }

    /**
     * Whether a recovered log has this state. An older snapshot than the newest will do, as long as
     * the entries lead from it to the same end.
     */
    boolean matches(RecoveredState recovered) {
        if (recovered.term() != term || !recovered.votedFor().equals(vote)) {
            return false;
        }
        byte[] recoveredNote = recovered.metadata().get(CrashScenario.NOTE_NAME);
        if (!note.equals(recoveredNote == null ? "" : new String(recoveredNote))) {
            return false;
        }
        if (recovered.snapshot() != null && !matches(recovered.snapshot())) {
            return false;
        }
        return matchesEntries(recovered);
    }

    private boolean matches(RecoveredState.Snapshot snapshot) {
        if (!snapshots.contains(snapshot.index())) {
            return false;
        }
        for (int position = 0; position < snapshot.chunks().size(); position++) {
            byte[] expected = CrashScenario.snapshotChunk(snapshot.index(), position);
            if (!Arrays.equals(snapshot.chunks().get(position), expected)) {
                return false;
            }
        }
        return true;
    }

    private boolean matchesEntries(RecoveredState recovered) {
        long index = recovered.snapshot() == null ? 0 : recovered.snapshot().index();
        if (recovered.lastIndex() != lastIndex || recovered.entries().size() != lastIndex - index) {
            return false;
        }
        for (RecoveredState.Entry entry : recovered.entries()) {
            index++;
            if (entry.index() != index || !new String(entry.bytes()).equals(entries.get(index))) {
                return false;
            }
        }
        return true;
    }
}
