// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.AttemptOutcome;
import calicostream.routing.LoadReport;
import java.net.InetSocketAddress;

/**
 * The way to the engines. Calls take effect at once or later; what becomes of an attempt is told by
 * {@link Gateway#attemptEnded}, once, unless {@link #stop} came first.
 */
public interface EngineClient {
    /** Called once, before anything else: where ends and news of attempts are told. */
    void attach(Gateway gateway);

    /** Where an engine listens, told before the engine is first sent to and when that changes. */
    void setAddress(long engine, InetSocketAddress address);

    /**
     * Whether the module may hear of a request now. If not, it is kept here until {@link
     * Gateway#admit} or {@link Gateway#reject}, or until it {@link Request#isAnswered is over}.
     */
    default boolean admits(Request request) {
        return true;
    }

    /**
     * Whether the tenant of a request has room at an engine now; answered from memory, many times a
     * request.
     */
    default boolean hasTenantCapacity(Request request, long engine) {
        return true;
    }

    /**
     * An attempt is over, whoever ended it; told before the module hears of it. The report is null
     * where none came.
     */
    default void attemptEnded(Attempt attempt, AttemptOutcome outcome, LoadReport report) {}

    /**
     * When the engine's process began by the list's own word, the same for all that read it; told
     * with each word on the engine.
     */
    default void engineStarted(long engine, long unixMillis) {}

    /** News of an attempt: its engine has it. */
    default void attemptAcknowledged(Attempt attempt) {}

    /** An engine's answer how it fares; the report is null where none came. */
    default void loadReported(long engine, LoadReport report) {}

    /** Starts an attempt; nothing of it may go out after a {@link #withdrawn} for its engine. */
    void send(Attempt attempt);

    /** Gives the attempt up; nothing more need be told of it. */
    void stop(Attempt attempt);

    /**
     * Asks an engine how it fares, which ends in one {@link Gateway#probeCompleted}, later; false:
     * it can't be asked.
     */
    default boolean probe(long engine) {
        return false;
    }

    /**
     * At most so many connections to all engines together from now on, where a bound on them is
     * kept.
     */
    default void setMaxConnections(int connections) {}

    /** A new priority for an attempt that is out. */
    void priorityChanged(Attempt attempt);

    /** The engine drains: what has not gone out to it must not. */
    void engineDraining(long engine);

    /**
     * The engine is put back after operators had it: nothing new may use a connection from before.
     */
    void engineReinstated(long engine);

    /**
     * The engine's process has ended: attempts there end, and all that is kept for it is forgotten.
     */
    void engineRemoved(long engine);
}
