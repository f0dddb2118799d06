// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

/**
 * Rules that keep engines under their caps, by name, so that runs can take one out and show that
 * the checker finds what it guards against. The program itself never takes one out: only this
 * package's constructors for tests do.
 */
enum Safeguard {
    /**
     * Nothing that may be in use is counted as free before the leader has counted the grant's whole
     * time.
     */
    GRANT_HELD_TO_EXPIRY,
    /**
     * A lowered grant counts at its old size until its process has said that it knows the new one.
     */
    LOWERED_GRANT_COUNTS_UNTIL_ACKNOWLEDGED,
    /**
     * What a process that fell silent may have left running counts until it is known to have ended.
     */
    ORPHANED_SESSIONS_COUNT,
    /** An engine's count is proof only if it was asked for after the expiry was seen. */
    PROOF_AFTER_EXPIRY,
    /** Sessions that are sent and not yet at the engine count beside the engine's own count. */
    UNACKNOWLEDGED_COUNTS,
    /** Sums are checked against the cap where a division is applied. */
    CAP_CHECKED_AT_APPLY,
    /** A lowered cap is in force only once no more than it may be in use. */
    LOWERED_CAP_IS_DEFERRED,
    /** A process counts its grants' time from before it asked. */
    LEASE_TIMED_FROM_REQUEST,
    /** A process that has said that its grants are over takes no answer to an older report. */
    NO_REPLY_FROM_BEFORE_EXPIRY,
    /**
     * A started process uses no floor before it knows what its former start may have left running.
     */
    FLOOR_AFTER_ORPHANS_KNOWN
}
