// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

/**
 * A command as a {@link StateMachine} applies it. Immutable by convention: nobody writes into
 * {@code body} after construction.
 *
 * @param session of the member that sent it, alive when this is applied; 0 if the leader proposed
 *     it
 * @param sequence number within the session, from 1 up; 0 with session 0
 * @param epoch of the leader that proposed it, always the current one; 0 for a member's command
 * @param body in the state machine's own encoding, at most {@link #MAX_BODY_BYTES} bytes
 */
public record Command(long session, long sequence, long epoch, byte[] body) {
    /** Larger bodies are rejected before they are proposed, and again when they are applied. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    /**
     * Whether the leader proposed it from its own measurement of time. Commands of an earlier epoch
     * never reach a state machine, so a leader that was paused can't expire what its successor has
     * renewed.
     */
    public boolean isFromLeader() {
        return session == 0;
    }
}
