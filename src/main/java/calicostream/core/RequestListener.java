// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.EngineEndpoint;

/** Told of final answers and of changes to engines, for the operators' records. */
public interface RequestListener {
    /** A watcher that records nothing. */
    RequestListener NONE = new RequestListener() {};

    /** One final answer, or the end of a request that its client left. */
    default void requestEnded(
            String id, int queryClass, RequestOutcome ending, int attempts, long elapsedUs) {}

    /** An engine as the list now names it. */
    default void engineChanged(EngineEndpoint engine) {}
}
