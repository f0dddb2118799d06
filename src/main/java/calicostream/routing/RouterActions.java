// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Actions that the router requests from the gateway. Each action takes effect immediately, in the
 * order called, and must not call back into the router.
 */
public interface RouterActions {
    /**
     * Starts the next attempt of a query; attempts are numbered from 0.
     *
     * @param timeoutAt time in microseconds at which the attempt times out, 0 for the query's
     *     deadline
     */
    void startAttempt(long query, long engine, long timeoutAt);

    /** Cancels an attempt; its {@link AttemptResult} still follows. */
    void cancelAttempt(long query, int attempt);

    /**
     * Rejects the query as its final answer; the client can safely retry it.
     *
     * @param retryAfterUs recommended delay before the retry, in microseconds
     */
    void reject(long query, long retryAfterUs);

    /** Fails the query as its final answer; the query may have run. */
    void fail(long query);

    /**
     * Sets the resources of the query's following attempts.
     *
     * @param memoryMb memory grant in megabytes, 0 to let the engine decide
     * @param priority priority from 0 to 3, normally 1
     */
    void assignResources(long query, double memoryMb, int priority);

    /**
     * Schedules a call of {@link QueryRouter#timerFired} with the token after a delay in
     * microseconds.
     */
    void scheduleTimer(long delayUs, long token);

    /** Requests a load report from an engine; {@link QueryRouter#probeCompleted} follows. */
    void probeLoad(long engine);

    /**
     * Requests the endpoint list and its subsequent changes; used only if {@link
     * RouterSettings#watchEndpointsOnRequest} is set.
     */
    void watchEndpoints();

    /**
     * Returns whether the query's tenant has capacity on an engine now. Until the next call of the
     * router, this capacity may only grow, except for attempts that the router starts. The router
     * calls this for each engine it considers, so it must not block.
     */
    default boolean hasTenantCapacity(long query, long engine) {
        return true;
    }

    /** Writes a line to the operators' log. */
    void log(String text);
}
