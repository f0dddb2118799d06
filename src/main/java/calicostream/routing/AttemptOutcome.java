// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** How an attempt or a load probe ended. */
public enum AttemptOutcome {
    /** The engine answered. */
    OK(true),
    /** The engine answered with an error. */
    ERROR(true),
    /** The engine rejected the query for its load. */
    OVERLOADED(false),
    /** No answer came in time. */
    TIMEOUT(true),
    /** No connection could be opened. */
    CONNECT_FAILED(false),
    /** The attempt ended with the engine's process. */
    RESET(true),
    /**
     * The attempt ended with its connection alone, or by an answer that cannot be read. The
     * simulator's wire has no code for it.
     */
    CONNECTION_BROKEN(true),
    /** The gateway cancelled the attempt. */
    CANCELLED(true),
    /** The gateway could not start the attempt. */
    NOT_STARTED(false);

    /** Whether the query may have run, wholly or in part. */
    public final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }
}
