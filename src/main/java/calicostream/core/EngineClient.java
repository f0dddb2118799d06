// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.AttemptOutcome;
import calicostream.routing.LoadReport;
import java.net.InetSocketAddress;

/**
 * The way to the engines. The gateway's thread makes all calls; they take effect at once or later.
 * The end of an attempt is reported by {@link Gateway#attemptEnded}, once, unless {@link #stop}
 * came first.
 */
public interface EngineClient {
    /** Sets where ends and progress of attempts are reported; called once, before anything else. */
    void attach(Gateway gateway);

    /** Where an engine listens; called before the first send to it and when that changes. */
    void setAddress(long engine, InetSocketAddress address);

    /**
     * Whether the router may be notified of a request now. If not, the engine client keeps it until
     * {@link Gateway#admit} or {@link Gateway#reject}, or until it is {@linkplain
     * Request#isAnswered answered}.
     */
    default boolean admits(Request request) {
        return true;
    }

    /**
     * Whether the tenant of a request has capacity at an engine now. Asked many times a request, so
     * the answer comes from memory.
     */
    default boolean hasTenantCapacity(Request request, long engine) {
        return true;
    }

    /**
     * An attempt ended, whoever ended it; called before the router is notified of it.
     *
     * @param report the engine's load report, or null
     */
    default void attemptEnded(Attempt attempt, AttemptOutcome outcome, LoadReport report) {}

    /**
     * When the engine's process started according to the endpoint list, which is the same for all
     * that read it; called with each update of the engine.
     */
    default void engineStarted(long engine, long unixMillis) {}

    /** The engine has confirmed that it has the attempt. */
    default void attemptAcknowledged(Attempt attempt) {}

    /**
     * A load probe of an engine ended.
     *
     * @param report the engine's load report, or null
     */
    default void loadReported(long engine, LoadReport report) {}

    /**
     * Starts an attempt; nothing of it may be sent after {@link #engineDraining} for its engine.
     */
    void send(Attempt attempt);

    /** Stops an attempt; nothing more need be reported of it. */
    void stop(Attempt attempt);

    /**
     * Probes the load of an engine; the probe ends in one {@link Gateway#probeCompleted}, later.
     *
     * @return false: the engine cannot be probed, and no report follows
     */
    default boolean probe(long engine) {
        return false;
    }

    /**
     * Sets the largest number of connections to all engines together, where the client has such a
     * bound.
     */
    default void setMaxConnections(int connections) {}

    /** The priority of an attempt in flight has changed. */
    void priorityChanged(Attempt attempt);

    /** The engine drains: what has not been sent to it must not be sent. */
    void engineDraining(long engine);

    /** An operator has reinstated the engine: nothing new may use a connection from before. */
    void engineReinstated(long engine);

    /** The engine's process has ended: attempts there end, and all its state is forgotten. */
    void engineRemoved(long engine);
}
