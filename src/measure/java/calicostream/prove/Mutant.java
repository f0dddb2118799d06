// SPDX-License-Identifier: Apache-2.0
package calicostream.prove;

/**
 * The safeguards that proofs take out, one at a time, by subclasses of the product's classes or in
 * the model that stands for them.
 */
public enum Mutant {
    /** A resource takes acts under any token. */
    TOKEN_NOT_CHECKED,
    /** The log takes acts under any token. */
    LOG_TOKEN_NOT_CHECKED,
    /** A new leader takes what it inherits for run out. */
    NEW_LEADER_DOES_NOT_WAIT,
    /** A holder counts from when it was answered. */
    EXPIRY_FROM_ANSWER_TIME,
    /** Holder and leader count as if clocks did not drift. */
    DRIFT_NOT_COUNTED,
    /** A grant from the queue is used without a renewal, counted from its arrival. */
    QUEUE_GRANT_NOT_CONFIRMED,
    /**
     * A step of the leader's clock counts as time; taken by whole clusters, as the models' leaders
     * look when they like.
     */
    CLOCK_STEP_COUNTED,
    /** A lease ends with its holder's session. */
    LEASE_FREED_WITH_SESSION,
    /** The leader's end of a lease counts though it was renewed meanwhile. */
    EXPIRY_WITHOUT_RENEWALS,
    /** A retried command is applied as often as it arrives. */
    SESSION_RETRIED_WITHOUT_NUMBER,
    /** The last token is not in the snapshot. */
    TOKEN_LOST_IN_SNAPSHOT,
    /** A voter that has forgotten its log votes on. */
    VOTE_AFTER_AMNESIA,
    /**
     * A budget's grant is given anew before it has run out at its user; taken by the model of
     * grants.
     */
    GRANT_FREED_BEFORE_EXPIRY
}
