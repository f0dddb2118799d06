// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

/**
 * What operators see of a log. {@code trouble} is null in READY; {@code sinceNanos} is on the clock
 * of {@link LogOptions}; {@code bytes} are in the files that are written now.
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

    public enum State {
        /** It takes entries. */
        READY,
        /**
         * It takes entries, but a sync takes or took longer than the bound; ends after eight syncs
         * in a row within it.
         */
        SLOW,
        /** An append found no room; to be opened anew once there is. */
        FULL,
        /** The disk takes no writes; to be opened anew once it does. */
        READ_ONLY,
        /** A sync, a write or a read failed: nothing unsynced is trusted; to be opened anew. */
        FAILED,
        /** Closed. */
        CLOSED
    }
}
