// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.EngineEndpoint;

/**
 * Notified of final answers and of changes to engines, for the operators' records. The gateway's
 * thread calls it; it must not call the gateway.
 */
public interface RequestListener {
    /** A listener that records nothing. */
    RequestListener NONE = new RequestListener() {};

    /**
     * A request had its one final answer, or its client left.
     *
     * @param attempts the number of attempts that the router asked for
     * @param elapsedUs the time since the request was accepted, in microseconds
     */
    default void requestEnded(
            String id, int queryClass, RequestOutcome outcome, int attempts, long elapsedUs) {}

    /** The endpoint list names an engine in a new way; one that is gone is {@code REMOVED}. */
    default void engineChanged(EngineEndpoint engine) {}
}
