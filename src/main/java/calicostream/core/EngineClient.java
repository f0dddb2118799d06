// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.AttemptOutcome;
import calicostream.routing.LoadReport;
import java.net.InetSocketAddress;

/**
 * Sends attempts to engines. All calls are made by the gateway's thread and may take effect
 * asynchronously. The client reports the end of each attempt once, by {@link Gateway#attemptEnded},
 * unless {@link #cancel} was called for it before.
 */
public interface EngineClient {
    /** Sets the gateway to which attempts are reported; called once, before any other method. */
    void attach(Gateway gateway);

    /** Sets the address of an engine; called before the first send and after each change. */
    void setAddress(long engine, InetSocketAddress address);

    /**
     * Returns whether a request may be passed to the router now. If not, the engine client queues
     * it until it calls {@link Gateway#admit} or {@link Gateway#reject}, or until the request is
     * {@linkplain Request#isAnswered answered}.
     */
    default boolean admits(Request request) {
        return true;
    }

    /**
     * Returns whether the tenant of a request has capacity at an engine now. Called many times per
     * request, so it must be answered from memory.
     */
    default boolean hasTenantCapacity(Request request, long engine) {
        return true;
    }

    /**
     * Handles the end of an attempt, whatever caused it; called before the router is notified.
     *
     * @param report the engine's load report, or null
     */
    default void attemptEnded(Attempt attempt, AttemptOutcome outcome, LoadReport report) {}

    /**
     * Sets the start time of the engine's process; called with each update of the engine. The time
     * is taken from the endpoint list and is therefore the same in all front ends.
     */
    default void engineStarted(long engine, long unixMillis) {}

    /** Handles the engine's confirmation that it has received the attempt. */
    default void attemptAcknowledged(Attempt attempt) {}

    /**
     * Handles the end of a load probe.
     *
     * @param report the engine's load report, or null
     */
    default void loadReported(long engine, LoadReport report) {}

    /**
     * Sends an attempt, now or later; no byte of it may be sent after {@link #engineDraining} for
     * its engine.
     */
    void send(Attempt attempt);

    /** Cancels an attempt; the client need not report on it any more. */
    void cancel(Attempt attempt);

    /**
     * Starts a load probe of an engine; the client later calls {@link Gateway#probeCompleted} once.
     *
     * @return false if the engine cannot be probed; {@link Gateway#probeCompleted} is not called
     */
    default boolean probe(long engine) {
        return false;
    }

    /**
     * Sets the maximum number of connections to all engines together, for clients that have such a
     * limit.
     */
    default void setMaxConnections(int connections) {}

    /** Handles a changed priority of an attempt that is in flight. */
    void priorityChanged(Attempt attempt);

    /** Handles a draining engine: attempts that are not yet sent must not be sent to it. */
    void engineDraining(long engine);

    /**
     * Handles an engine that an operator has reinstated: new attempts must not use connections that
     * were opened before.
     */
    void engineReinstated(long engine);

    /** Handles the end of an engine's process: ends its attempts and deletes its state. */
    void engineRemoved(long engine);
}
