// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

/**
 * The rules that keep engines within their caps, by name, so that simulations can disable one and
 * show that their checker finds what it guards against. Only this package's constructors for tests
 * disable any.
 */
enum Safeguard {
    /** What may be in use counts until the leader has counted the grant's whole lease time. */
    GRANT_HELD_TO_EXPIRY,
    /** A lowered grant counts at its old size until its process has acknowledged the new one. */
    LOWERED_GRANT_COUNTS_UNTIL_ACKNOWLEDGED,
    /** Sessions that an expired or earlier process may have left running count. */
    ORPHANED_SESSIONS_COUNT,
    /** An engine's count is proof only if it was asked for after the expiry was known. */
    PROOF_AFTER_EXPIRY,
    /** Sessions that are sent and not yet at the engine count in addition to its own count. */
    UNACKNOWLEDGED_COUNTS,
    /** Sums are checked against the cap where an allocation is applied. */
    CAP_CHECKED_AT_APPLY,
    /** A lowered cap is in force only once no more than it may be in use. */
    LOWERED_CAP_IS_DEFERRED,
    /** A process counts the lease time from before it sent its report. */
    LEASE_TIMED_FROM_REQUEST,
    /** A process that has reported its grants as expired applies no reply to an older report. */
    NO_REPLY_FROM_BEFORE_EXPIRY,
    /** A started process uses no floor before it knows what its predecessor left running. */
    FLOOR_AFTER_ORPHANS_KNOWN
}
