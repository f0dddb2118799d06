// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

/**
 * A deterministic state machine that is replicated under a name. Every voter applies the same calls
 * in the same order on one thread, so an implementation must be a function of its calls alone: no
 * clock, no randomness, no I/O, no order taken from identity hashes. Time reaches it only as
 * commands of the leader ({@link Command#isFromLeader}), which an {@link ExpiryMonitor} proposes.
 * Invalid input is answered with {@link CommandEffects#rejected}. An exception stops the voter: one
 * copy less is better than copies that diverge.
 */
public interface StateMachine {
    /**
     * Applies one command exactly once: the layer above answers a retry with the same session and
     * sequence number from the stored outcome.
     *
     * @param index of the log; strictly increasing, so it may serve as a fencing token
     */
    CommandEffects apply(long index, Command command);

    /**
     * A session has ended, closed by its member or expired by the leader; its number is never used
     * again.
     */
    default CommandEffects sessionEnded(long index, long session) {
        return CommandEffects.NONE;
    }

    /**
     * A new leader has started. Its epoch is larger than all before; what an earlier leader
     * measured is void from here on.
     */
    default CommandEffects epochStarted(long index, long epoch) {
        return CommandEffects.NONE;
    }

    /**
     * Answers a query without any change, from a copy that may be stale; the caller knows how
     * stale.
     *
     * @return a response in the state machine's own encoding
     */
    default byte[] query(byte[] question) {
        return new byte[0];
    }

    /**
     * Encodes the complete state, starting with the version of its format. Equal states give equal
     * bytes on every copy.
     */
    byte[] snapshot();

    /**
     * Replaces the complete state.
     *
     * @throws ClusterException.Malformed if the bytes are not a snapshot of this state machine; the
     *     state is then unchanged
     */
    void restore(byte[] snapshot);
}
