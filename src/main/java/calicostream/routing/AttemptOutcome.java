// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Outcome of an attempt or a load probe. */
public enum AttemptOutcome {
    /** The engine answered. */
    OK(true),
    /** The engine answered with an error. */
    ERROR(true),
    /** The engine rejected the query because of its load. */
    OVERLOADED(false),
    /** No answer arrived within the time limit. */
    TIMEOUT(true),
    /** No connection could be opened. */
    CONNECT_FAILED(false),
    /** The engine's process ended during the attempt. */
    RESET(true),
    /**
     * The connection failed while the engine's process kept running, or the answer could not be
     * parsed. The simulator's protocol has no code for this outcome.
     */
    CONNECTION_BROKEN(true),
    /** The gateway cancelled the attempt. */
    CANCELLED(true),
    /** The gateway could not start the attempt. */
    NOT_STARTED(false);

    /** Whether the query may have run, completely or partially. */
    public final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }
}
