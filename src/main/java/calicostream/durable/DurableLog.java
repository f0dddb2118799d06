// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

/**
 * The write-ahead log of one member: its entries, term, vote, metadata and snapshots, as bytes. It
 * is used by one thread at a time, but for {@link #status()}, which any thread may call. Whatever
 * was written before {@link #sync()} returned is there after any crash, or the next {@link #open}
 * reports that it is not; of what was written since, any prefix of the calls may be there.
 *
 * <p>Every failure is a {@link DurableException}. After a writing call or {@code sync} has thrown
 * one, the log has failed: every later call but {@code status} and {@code close} throws {@link
 * DurableException.LogFailed}. The way back is to close the log and open it again, which reads and
 * checks all of it; nothing written since the last {@code sync} may then be taken as kept. A call
 * that violates the rules of a log (an index that is not the next one, a lower term, a second vote
 * in a term) is a mistake of the caller: it throws {@link IllegalArgumentException}, and the log
 * stays as it was.
 */
public interface DurableLog extends AutoCloseable {
    /**
     * Locks both disks, reads and checks everything, writes the marker of the next incarnation and
     * only then returns. The two disks may be the same. If they are two, best on two devices, each
     * shows when the other one has lost state.
     *
     * @param disk for segments and snapshots
     * @param markers for the durability markers
     * @throws DurableException if an operator has to decide: another process or another member uses
     *     the directory, or records that were synced are missing or corrupt
     */
    static DurableLog open(Disk disk, Disk markers, LogIdentity identity, LogOptions options)
            throws DurableException {
        return SegmentedLog.open(disk, markers, identity, options);
    }

    /**
     * What was found when the log was opened. Callers that hold it for long keep {@link
     * RecoveredState#withoutLogData} instead.
     */
    RecoveredState recoveredState();

    /**
     * Appends an entry.
     *
     * @param index the one after the last entry or after the newest snapshot, whichever is greater
     * @param bytes its content, 64 MB at most
     */
    void appendEntry(long index, long term, byte[] bytes) throws DurableException;

    /** Removes the entries from {@code index} on, all of which are above the newest snapshot. */
    void truncateFrom(long index) throws DurableException;

    /**
     * Declares that the entries up to and including {@code index}, none above the newest snapshot,
     * are no longer needed. They stay on the disk while the older snapshot needs them, and are not
     * returned any more.
     */
    void truncateUntil(long index) throws DurableException;

    /**
     * Saves the term and the vote in it. The term never decreases, and a vote in a term never
     * changes.
     *
     * @param votedFor the candidate; empty for no vote
     */
    void saveTermAndVote(long term, String votedFor) throws DurableException;

    /**
     * Saves a small named value, such as this member's endpoint or the first voters. All values
     * together are at most 64 KB.
     *
     * @param value null to remove it
     */
    void saveMetadata(String name, byte[] value) throws DurableException;

    /**
     * Saves a chunk of the snapshot that replaces all entries up to {@code index}. Chunks come in
     * any order, and a second copy of one has no effect. The snapshot exists from the first {@link
     * #sync()} after its last chunk on, which the next entry or {@link #truncateUntil} calls by
     * itself; until then a crash leaves nothing of it. A chunk of another snapshot discards those
     * of an unfinished one.
     *
     * @param index the last entry that the snapshot covers
     * @param term the term of that entry
     * @param position place of this chunk, from 0
     * @param chunkCount number of chunks of the snapshot
     * @param bytes the chunk, 64 MB at most
     */
    void saveSnapshotChunk(long index, long term, int position, int chunkCount, byte[] bytes)
            throws DurableException;

    /** Saves a snapshot of one chunk. */
    default void saveSnapshot(long index, long term, byte[] bytes) throws DurableException {
        saveSnapshotChunk(index, term, 0, 1, bytes);
    }

    /** Discards the chunks of an unfinished snapshot. The two latest complete ones are kept. */
    void discardUnfinishedSnapshot() throws DurableException;

    /** Returns when all that was written before, and the marker of it, is on the disk. */
    void sync() throws DurableException;

    /**
     * Suspends this member's voting because state was lost, before the log is used for anything
     * else: after any number of restarts it is {@link RecoveryVerdict#LEARNER} until {@link
     * #admit()}. Synced on return.
     *
     * @param reason for operators
     */
    void suspendVoting(String reason) throws DurableException;

    /**
     * Records that the group has admitted this member, for the first time or again, and that what
     * the member acknowledged is in this log. Synced on return.
     */
    void admit() throws DurableException;

    /** The present status; any thread. */
    LogStatus status();

    /**
     * Syncs what can be synced and releases the disks. Never throws; of a log that has failed, it
     * only releases the disks.
     */
    @Override
    void close();
}
