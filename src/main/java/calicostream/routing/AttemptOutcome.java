// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * How an attempt or a probe ended. {@code RESET}: with the engine's process; {@code SPOILT}: with
 * its connection alone, or by an answer that can't be read. The simulator's wire has no word for
 * the latter.
 */
public enum AttemptOutcome {
    OK(true),
    ERROR(true),
    OVERLOADED(false),
    TIMEOUT(true),
    CONNECT_FAILED(false),
    RESET(true),
    CONNECTION_BROKEN(true),
    CANCELLED(true),
    NOT_STARTED(false);

    /** Whether the query may have run, wholly or in part. */
    public final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }
}
