// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.QueryRouter.Engine;

/** Told of final answers and of changes to engines, for the operators' records. */
public interface Watcher {
    /** A watcher that records nothing. */
    Watcher NONE = new Watcher() {};

    /** How a request ended: served, refused, failed, or abandoned by its client. */
    enum Ending {
        SERVED,
        REFUSED,
        FAILED,
        ABANDONED
    }

    /** One final answer, or the end of a request that its client left. */
    default void answered(String id, int queryClass, Ending ending, int attempts, long elapsedUs) {}

    /** An engine as the list now names it. */
    default void engine(Engine engine) {}
}
