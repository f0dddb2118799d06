// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * What the router asks of the gateway. Each action takes effect at once, in the order called, and
 * must not call back into the router.
 */
public interface RouterActions {
    /**
     * Starts the next attempt of a query, numbered 0, 1, 2 and so on.
     *
     * @param giveUpAt when to stop waiting for the engine in microseconds, 0 for the query's
     *     deadline
     */
    void startAttempt(long query, long engine, long giveUpAt);

    /** Cancels an attempt; its {@link AttemptResult} still follows. */
    void cancelAttempt(long query, int attempt);

    /**
     * Gives the final answer that the query is rejected: to try again does no harm.
     *
     * @param retryAfterUs time that the client had best wait, in microseconds
     */
    void reject(long query, long retryAfterUs);

    /** Gives the final answer that the query failed; it may have run. */
    void fail(long query);

    /**
     * Sets the resources of the query's next attempts.
     *
     * @param memoryMb memory grant in megabytes, 0 to leave it to the engine
     * @param priority from 0 to 3, usually 1
     */
    void assignResources(long query, double memoryMb, int priority);

    /** Asks for {@link QueryRouter#timerFired} with this token after a delay in microseconds. */
    void scheduleTimer(long delayUs, long token);

    /** Asks an engine for a load report; {@link QueryRouter#probeCompleted} follows. */
    void probeLoad(long engine);

    /**
     * Asks for the endpoint list and its changes from now on; used only where {@link
     * RouterSettings#watchEndpointsOnRequest} is set.
     */
    void watchEndpoints();

    /**
     * Returns whether the query's tenant has capacity at an engine now. It may only grow until the
     * router is next called, but for the attempts that the router starts. Called for each engine
     * that is considered, so it must not block.
     */
    default boolean hasTenantCapacity(long query, long engine) {
        return true;
    }

    /** Writes a line to the operators' log. */
    void log(String text);
}
