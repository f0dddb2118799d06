// SPDX-License-Identifier: Apache-2.0
package calicostream.prove;

/**
 * The safeguards that checks remove, one at a time, to show that the lack of each is detected: by
 * subclasses of the product's classes, or in the model that stands for them. Names are used on
 * command lines and in reports.
 */
public enum Mutant {
    /** A resource accepts actions under any fencing token. */
    TOKEN_NOT_CHECKED,
    /** The log accepts actions under any fencing token. */
    LOG_TOKEN_NOT_CHECKED,
    /** A new leader treats inherited grants as expired. */
    NEW_LEADER_DOES_NOT_WAIT,
    /** A grant is valid from its answer instead of its request. */
    EXPIRY_FROM_ANSWER_TIME,
    /** Holder and leader assume that clocks do not drift. */
    DRIFT_NOT_COUNTED,
    /** A grant from the queue is used without a renewal, and is valid from its event's arrival. */
    QUEUE_GRANT_NOT_CONFIRMED,
    /**
     * A jump of the leader's clock counts as elapsed time. Removed in cluster simulations only, as
     * the models' leaders check at any time.
     */
    CLOCK_STEP_COUNTED,
    /** A grant ends with its holder's session. */
    LEASE_FREED_WITH_SESSION,
    /** The leader's expiry of a grant is applied though the grant was renewed since. */
    EXPIRY_WITHOUT_RENEWALS,
    /** A repeated command is applied as often as it arrives. */
    SESSION_RETRIED_WITHOUT_NUMBER,
    /** The last token is not in the snapshot. */
    TOKEN_LOST_IN_SNAPSHOT,
    /** A voter that lost its log keeps voting. */
    VOTE_AFTER_AMNESIA,
    /**
     * A budget's grant is reassigned before it has expired at its user. Removed in the model of
     * grants.
     */
    GRANT_FREED_BEFORE_EXPIRY
}
