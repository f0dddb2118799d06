// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.EngineEndpoint;

/**
 * Receives final answers and changes of engines, for the operators' logs. Called by the gateway's
 * thread; must not call the gateway.
 */
public interface RequestListener {
    /** A listener that records nothing. */
    RequestListener NONE = new RequestListener() {};

    /**
     * Called when a request has its final answer or was abandoned by its client.
     *
     * @param attemptCount the number of attempts that the router requested
     * @param elapsedUs the time since the request was accepted, in microseconds
     */
    default void requestEnded(
            String id, int queryClass, RequestOutcome outcome, int attemptCount, long elapsedUs) {}

    /** Called when an entry of the endpoint list changes; a deleted engine is {@code REMOVED}. */
    default void engineChanged(EngineEndpoint engine) {}
}
