// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

/**
 * The rules that keep engines within their caps. Simulations disable one of them to show that their
 * checker then finds a violation. Only package-private constructors for tests can disable any.
 */
enum Safeguard {
    /** Sessions allowed by a grant count until the leader has expired the grant. */
    GRANT_HELD_TO_EXPIRY,
    /** A lowered grant counts at its old size until its process has acknowledged the new one. */
    LOWERED_GRANT_COUNTS_UNTIL_ACKNOWLEDGED,
    /** Sessions that an expired process or an earlier incarnation may have left running count. */
    ORPHANED_SESSIONS_COUNT,
    /** An engine's count is a bound only if it was requested after the expiry was applied. */
    PROOF_AFTER_EXPIRY,
    /** Sessions in transit to the engine count in addition to the engine's own count. */
    UNACKNOWLEDGED_COUNTS,
    /** The state machine checks an allocation against the cap when it applies it. */
    CAP_CHECKED_AT_APPLY,
    /** A lowered cap comes into force only once no more sessions than it may be in use. */
    LOWERED_CAP_IS_DEFERRED,
    /** At the process the lease time starts when the report is created, not at the reply. */
    LEASE_TIMED_FROM_REQUEST,
    /** A process whose grants have expired applies no reply to an earlier report. */
    NO_REPLY_FROM_BEFORE_EXPIRY,
    /**
     * A restarted process uses no floor before it knows how many sessions its predecessors left.
     */
    FLOOR_AFTER_ORPHANS_KNOWN
}
