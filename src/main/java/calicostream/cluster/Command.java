// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

/**
 * A command as a machine sees it: who sent it, under which number, and what it says. Immutable by
 * convention: nobody writes into {@code body} once it is made.
 *
 * @param session of the member that sent it, alive when this is applied; 0 if the leader itself
 *     proposed it
 * @param sequence of the session's commands, from 1 up; 0 with session 0
 * @param era at which the sender counted: always the machine's present one when {@code byLeader},
 *     else 0
 * @param body in the machine's own encoding, at most {@link #MAX_BODY} bytes
 */
public record Command(long session, long sequence, long epoch, byte[] body) {
    /**
     * Larger bodies are refused before they are proposed, and by the machine if one gets there all
     * the same.
     */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    /**
     * The leader proposed it from its own count of time. Commands of an era that is over never
     * reach a machine: a leader that was stopped can't expire what its successor has renewed.
     */
    public boolean isFromLeader() {
        return session == 0;
    }
}
