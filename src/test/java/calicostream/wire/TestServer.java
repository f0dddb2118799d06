// SPDX-License-Identifier: Apache-2.0
package calicostream.wire;

import java.net.InetSocketAddress;

/** One protocol's stand-in clients and engines, so that the same fault runs play on each. */
interface TestServer extends AutoCloseable {
    /** An engine of this protocol. */
    interface Engine {
        InetSocketAddress address();

        /** Waits for the next attempt to arrive. */
        Asked next() throws Exception;

        /** Attempts that arrived and were not yet taken by {@link #next}. */
        int waiting();

        /** Dies with all that it runs. */
        void die() throws Exception;
    }

    /** An attempt at an engine. */
    interface Asked {
        String sql();

        void serve(String row) throws Exception;

        /** Turns it away unseen. */
        void full() throws Exception;

        void broke() throws Exception;

        /** Sends a part of the result and no more; the caller ends the engine. */
        void half() throws Exception;

        /** Waits until the front end gives the attempt up. */
        void awaitCancel() throws Exception;
    }

    /** A client's request under way. */
    interface Answer {
        /** Waits: "served ROWS", "refused" with a time to stay away, "failed", or "deadline". */
        String await() throws Exception;

        void cancel() throws Exception;
    }

    Engine engine() throws Exception;

    /** Files of the deploy folder that the program needs, name and text in turn. */
    String[] deploy();

    void connect(ServerProgram program) throws Exception;

    Answer ask(String queryClass, String sql, int waitMs) throws Exception;
}
