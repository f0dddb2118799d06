// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

/**
 * The complete state of a {@link LeaseHolder}, for model checks that store and restore it.
 *
 * @param phase the current phase
 * @param wanted whether the process wants to hold the lease
 * @param token token that is held, being confirmed or being released; 0 if there is none
 * @param lastEndedToken greatest token that this process no longer holds; events with this or a
 *     lower token are outdated
 * @param requestNumber number of the most recent command
 * @param requestPending whether the outcome of the most recent command is outstanding
 * @param requestedAt time at which the most recent command was first sent
 * @param validUntil time at which the grant expires; in {@code IDLE}, the end of the pause before
 *     the next request
 * @param nextRequestAt time of the next renewal, or of the next poll of the queue position
 * @param successor session to transfer the lease to, {@link LeaseCommand.Transfer#FIRST_WAITER}, or
 *     {@link LeaseHolder#NO_SUCCESSOR}
 */
record LeaseHolderState(
        LeaseHolder.Phase phase,
        boolean wanted,
        long token,
        long lastEndedToken,
        long requestNumber,
        boolean requestPending,
        long requestedAt,
        long validUntil,
        long nextRequestAt,
        long successor) {}
