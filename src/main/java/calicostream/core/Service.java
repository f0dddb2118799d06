// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.io.IOException;

/**
 * A part of the process that starts and ends with the front end, such as the server of another
 * protocol. The event loop's thread makes all calls except {@link #awaitTermination}.
 */
public interface Service {
    /** Its name in the log. */
    String name();

    /**
     * Opens it, once, when the front end has begun to listen.
     *
     * @throws IOException it cannot listen
     */
    void start() throws IOException;

    /** The port it listens on, once started. */
    int port();

    /**
     * Accepts nothing new, and lets what is in flight go on. May be called more than once, and
     * before {@link #start}.
     */
    void stopListening();

    /** Its status for operators beside the metrics of all, as a JSON object; null: none. */
    default String statusJson() {
        return null;
    }

    /**
     * Runs an administrative command.
     *
     * @return null: it knows no such command; empty: done; else one line that says why not
     */
    default String administer(String command) {
        return null;
    }

    /**
     * Waits, for a bounded time, until what was answered has gone out. Called at the end of the
     * process, not by the event loop's thread.
     *
     * @throws InterruptedException the wait was interrupted
     */
    void awaitTermination() throws InterruptedException;
}
