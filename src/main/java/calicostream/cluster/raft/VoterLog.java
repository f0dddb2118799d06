// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import java.io.IOException;

/**
 * Where a voter keeps its word, in bytes; one thread. What was written before {@link #sync} returned is there after any
 * crash, what was written since is there as a prefix of the calls or not at all. After a failure every later call fails.
 */
public interface VoterLog {
    /** {@code index} is the one after the last entry or after the newest snapshot, whichever is further. */
    void appendEntry(long index, long term, byte[] bytes) throws IOException;

    /** Forgets the entries from {@code index} on. */
    void truncateFrom(long index) throws IOException;

    /** The entries up to and including {@code index} are no longer needed; a snapshot stands for them. */
    void truncateUntil(long index) throws IOException;

    /** {@code votedFor} is empty for no vote. */
    void saveTerm(long term, String votedFor) throws IOException;

    void saveNote(String name, byte[] value) throws IOException;

    /** One of {@code of} chunks; the snapshot exists from the first {@link #sync} after the last of them. */
    void snapshotChunk(long index, long term, int chunk, int of, byte[] bytes) throws IOException;

    void dropUnfinishedSnapshot() throws IOException;

    void sync() throws IOException;
}
