// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

/**
 * An entry of the replicated log, as {@link ReplicatedState} applies it. An entry of an unknown
 * version stops the voter, since guessing its meaning would make copies diverge. Immutable by
 * convention; {@link ReplicatedEntryCodec} has the encoding.
 */
public sealed interface ReplicatedEntry {
    /** The longest name of a state machine, in bytes. */
    int MAX_NAME_BYTES = 64;

    /**
     * A leader starts its epoch, whose number is this entry's index.
     *
     * @param member the leader
     * @param nonce by which the leader recognises its own entry
     */
    record EpochStart(int member, long nonce) implements ReplicatedEntry {}

    /**
     * A member asks for a session; the same {@code nonce} gets the same session as long as that one
     * is alive.
     */
    record OpenSession(int member, long nonce, int ttlMillis) implements ReplicatedEntry {}

    /**
     * A command for a state machine.
     *
     * @param acknowledgedSequence outcomes up to and including this number are no longer needed by
     *     the sender
     */
    record RunCommand(
            long session, long sequence, long acknowledgedSequence, String machine, byte[] body)
            implements ReplicatedEntry {}

    /** A member renews its session. */
    record KeepAlive(long session) implements ReplicatedEntry {}

    /** A member ends its session. */
    record CloseSession(long session) implements ReplicatedEntry {}

    /**
     * The leader found that a session was not renewed for its time to live.
     *
     * @param epoch of that leader
     * @param renewedIndex the renewal from which the leader measured; a later one voids this entry
     */
    record ExpireSession(long epoch, long session, long renewedIndex) implements ReplicatedEntry {}

    /** A command that an {@link ExpiryMonitor} of the leader of {@code epoch} proposed. */
    record LeaderCommand(long epoch, String machine, byte[] body) implements ReplicatedEntry {}

    /** The leader is about to add or promote this voter; rejected for a retired generation. */
    record AddVoter(int member, int generation) implements ReplicatedEntry {}

    /** The leader is about to remove this voter, whose generation is retired by this. */
    record RemoveVoter(int member, int generation) implements ReplicatedEntry {}

    /** Whether only a leader may propose this entry, from its own state; no member may send it. */
    default boolean isLeaderOnly() {
        return this instanceof EpochStart
                || this instanceof ExpireSession
                || this instanceof LeaderCommand
                || this instanceof AddVoter
                || this instanceof RemoveVoter;
    }

    /** Encodes this entry. */
    default byte[] encode() {
        return ReplicatedEntryCodec.encode(this);
    }

    /**
     * Decodes an entry.
     *
     * @throws ClusterException.Malformed if the bytes are not an entry of the known version
     */
    static ReplicatedEntry decode(byte[] bytes) {
        return ReplicatedEntryCodec.decode(bytes);
    }
}
