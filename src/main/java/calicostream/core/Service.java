// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.io.IOException;

/**
 * A component that starts and ends with the front end, such as the server of another protocol. All
 * calls except {@link #awaitTermination} are made by the event loop's thread.
 */
public interface Service {
    /** Returns the name of the service in the log. */
    String name();

    /**
     * Starts the service; called once, after the front end has started to listen.
     *
     * @throws IOException if the service cannot listen
     */
    void start() throws IOException;

    /** Returns the port that the started service listens on. */
    int port();

    /**
     * Stops accepting connections and requests; requests in flight continue. May be called more
     * than once, and before {@link #start}.
     */
    void stopListening();

    /**
     * Returns whether no result is on its way to a client any more. The gateway's open requests are
     * not counted.
     */
    default boolean isDrained() {
        return true;
    }

    /**
     * Answers what the service still has open, before the process ends. Called after {@link
     * Gateway#terminateAll}.
     */
    default void terminateAll() {}

    /** Returns the status for operators, in addition to the metrics, as a JSON object, or null. */
    default String statusJson() {
        return null;
    }

    /**
     * Runs an administrative command.
     *
     * @return null if the command is unknown, an empty string if it succeeded, otherwise one line
     *     with the reason of the failure
     */
    default String runAdminCommand(String command) {
        return null;
    }

    /**
     * Waits for a bounded time until all answers are sent. Called at the end of the process, by a
     * thread other than the event loop's.
     *
     * @throws InterruptedException if the wait was interrupted
     */
    void awaitTermination() throws InterruptedException;
}
