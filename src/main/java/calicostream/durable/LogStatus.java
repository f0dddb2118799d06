// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

/**
 * The state of a log as operators see it, at one moment. Immutable.
 *
 * @param state the present state
 * @param sinceNanos when the state began, on the clock of {@link LogOptions}
 * @param fault why the log is in this state; null in READY
 * @param incarnation the number of this opening; it grows with each one
 * @param votingSuspended whether this member lost state and was not admitted again
 * @param syncs syncs since the log was opened
 * @param slowSyncs those of them that took longer than the bound
 * @param longestSyncNanos duration of the longest sync
 * @param lastIndex index of the last entry
 * @param bytes size of the files that are being written now
 */
public record LogStatus(
        State state,
        long sinceNanos,
        DurableException fault,
        long incarnation,
        boolean votingSuspended,
        long syncs,
        long slowSyncs,
        long longestSyncNanos,
        long lastIndex,
        long bytes) {
    /** States of a log. Their names are rows of the operators' page. */
    public enum State {
        /** The log accepts entries. */
        READY,
        /**
         * The log accepts entries, but a sync takes or took longer than the bound. Ends after eight
         * syncs in a row within the bound.
         */
        SLOW,
        /** A write found no space; reopen the log once there is some. */
        FULL,
        /** The disk accepts no writes; reopen the log once it does. */
        READ_ONLY,
        /** A sync, a write or a read failed: nothing unsynced is trusted; reopen the log. */
        FAILED,
        /** The log was closed. */
        CLOSED
    }
}
