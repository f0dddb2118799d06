// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

/**
 * A pure state machine that is replicated under a name. Every voter applies the same calls in the
 * same order, one thread at a time, so an implementation must be a function of its calls alone: no
 * clock, no randomness, no I/O, no order taken from identity hashes. Time reaches it only as
 * commands of the leader ({@link Command#isFromLeader}), which a {@link ExpiryMonitor} beside it
 * proposes. It must not throw for bad input: what it does not accept it answers with {@link
 * CommandEffects#rejected}; an exception stops the voter, since copies that go on differently are
 * worse than one less.
 */
public interface StateMachine {
    /**
     * Applies one command, once: a retry with the same session and sequence number is answered by
     * the layer above from what was answered first and does not get here.
     *
     * @param index of the log; grows by at least one with each call, so it may serve as a fencing
     *     token
     */
    CommandEffects apply(long index, Command command);

    /**
     * A session is over, closed by its member or expired by the leader; its number never comes
     * back.
     */
    default CommandEffects sessionEnded(long index, long session) {
        return CommandEffects.NONE;
    }

    /**
     * A leader starts; its era is larger than all before. What an older leader counted is void from
     * here on.
     */
    default CommandEffects epochStarted(long index, long era) {
        return CommandEffects.NONE;
    }

    /**
     * Answers a question without changing anything, from a copy that may be behind; the caller was
     * told how far.
     *
     * @return an answer in the machine's own encoding
     */
    default byte[] query(byte[] question) {
        return new byte[0];
    }

    /**
     * The whole state; equal states give equal bytes on every copy. Starts with a version of its
     * format.
     */
    byte[] snapshot();

    /**
     * Replaces the whole state.
     *
     * @throws ClusterException.Malformed if the bytes are no snapshot of this machine; the state is
     *     then as before
     */
    void restore(byte[] snapshot);
}
