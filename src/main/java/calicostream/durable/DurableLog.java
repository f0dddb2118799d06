// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

/**
 * The log, term, vote, notes and snapshots of one member, in bytes. One thread at a time calls it,
 * but {@link #status()}, which any thread may ask. Whatever was written before {@link #sync()}
 * returned is there after any crash, or the next {@link #open} says that it is not; what was
 * written since may be there or not, always as a prefix of the calls.
 *
 * <p>Every failure is a {@link DurableException}. After one that is thrown by a writing call or by
 * {@code sync} the log has failed: every later call but {@code status} and {@code close} throws
 * {@link DurableException.LogFailed}, and the way back is to close it and open it anew, which reads
 * and checks all of it again. Nothing written since the last {@code sync} may be taken as kept
 * then. A call against the rules of a log (an index that is not the next one, a lower term, a
 * second vote in a term) is a mistake of the caller: {@link IllegalArgumentException}, and the log
 * stays as it was.
 */
public interface DurableLog extends AutoCloseable {

    /**
     * Locks both places, reads and checks everything, makes the next incarnation known and only
     * then returns. {@code disk} and {@code marks} may be the same place; apart from each other,
     * best on two devices, each tells when the other forgets. Throws what an operator has to decide
     * on: another process, another member's folder, a hole or a rotten record that had been
     * promised.
     */
    static DurableLog open(Disk disk, Disk marks, LogIdentity who, LogOptions options)
            throws DurableException {
        return SegmentedLog.open(disk, marks, who, options);
    }

    /**
     * What was found at the opening; its entries are let go by {@link
     * RecoveredState#withoutLogData}.
     */
    RecoveredState recoveredState();

    /**
     * {@code index} is the one after the last entry or after the newest snapshot, whichever is
     * further.
     */
    void appendEntry(long index, long term, byte[] bytes) throws DurableException;

    /** Forgets the entries from {@code index} on. They are above the newest snapshot. */
    void truncateFrom(long index) throws DurableException;

    /**
     * The entries up to and including {@code index}, none above the newest snapshot, are no longer
     * wanted. They stay on the disk while the older generation of snapshots needs them, and are not
     * handed out any more.
     */
    void truncateUntil(long index) throws DurableException;

    /**
     * {@code votedFor} is empty for no vote. The term never falls, and a vote in a term is never
     * changed.
     */
    void saveTermAndVote(long term, String votedFor) throws DurableException;

    /**
     * A small named value, such as this member's endpoint or the first voters; {@code null} removes
     * it. All together below 64 KB.
     */
    void saveMetadata(String name, byte[] value) throws DurableException;

    /**
     * One of {@code of} chunks of the snapshot that stands for all entries up to {@code index}; in
     * any order, a second copy does nothing. The snapshot exists from the first {@link #sync()}
     * after its last chunk on, which the next entry or {@link #truncateUntil} calls by itself;
     * until then a crash leaves nothing of it. Chunks of another snapshot drop those of an
     * unfinished one.
     */
    void saveSnapshotChunk(long index, long term, int chunk, int of, byte[] bytes)
            throws DurableException;

    default void saveSnapshot(long index, long term, byte[] bytes) throws DurableException {
        saveSnapshotChunk(index, term, 0, 1, bytes);
    }

    /**
     * Drops the chunks of an unfinished snapshot; whole ones are kept and dropped by generation,
     * two of them stay.
     */
    void discardUnfinishedSnapshot() throws DurableException;

    /** Returns when all that was written before is on the disk and the mark that says so is too. */
    void sync() throws DurableException;

    /**
     * Makes it known for good that this member's disk has forgotten, before anything else is done
     * with it: from now on, after any number of starts, it is {@link RecoveryVerdict#LEARNER} until
     * {@link #admit()}. Synced on return.
     */
    void suspendVoting(String why) throws DurableException;

    /**
     * The group has admitted this member (anew), and what it promised is in this log. Synced on
     * return.
     */
    void admit() throws DurableException;

    /** What operators see. */
    LogStatus status();

    /** Syncs what can be synced, unlocks. Never throws; a log that had failed just unlocks. */
    @Override
    void close();
}
