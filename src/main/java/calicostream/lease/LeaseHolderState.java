// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

/**
 * The complete state of a {@link LeaseHolder}, for model checks that store and restore it.
 *
 * @param phase current phase
 * @param wanted whether the process wants to hold the lease
 * @param token held, being confirmed or being released; 0 if none
 * @param lastEndedToken greatest token that has ended here: events up to it are outdated
 * @param requestNumber number of the last command
 * @param requestPending whether the last command's outcome is outstanding
 * @param requestedAt when the last command was first sent
 * @param validUntil end of the grant; in {@code IDLE} the end of the pause before the next request
 * @param nextRequestAt when to renew, or to poll the queue position
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
