// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import java.io.IOException;

/**
 * What runs beside a front end's own clients and ends with it, such as a front for another
 * protocol. All calls are the loop's, but for {@link #awaitEnd}.
 */
public interface Service {
    /** Its name in the log. */
    String name();

    /** Opens it, once, when the front end has begun to listen. */
    void start() throws IOException;

    /** The port it listens on, once started. */
    int port();

    /**
     * Takes nothing new, and lets what is in hand go on; may be called again, and before {@link
     * #start}.
     */
    void stopListening();

    /**
     * What operators see of it beside the figures of all, as a JSON object; null where there is
     * nothing.
     */
    default String statusJson() {
        return null;
    }

    /**
     * Operators' words: null where it knows no such ones, empty where they were taken, else one
     * line that says why not.
     */
    default String administer(String words) {
        return null;
    }

    /**
     * Off the loop, at the end of the process: waits, for a bounded time, until what was answered
     * has gone out.
     */
    void awaitTermination() throws InterruptedException;
}
