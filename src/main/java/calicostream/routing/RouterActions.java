// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** What the module asks of the gateway. Each takes effect at once, in the order called. */
public interface RouterActions {
    /**
     * Starts the query's next attempt (0, 1, 2 ...) on an engine; stop waiting at {@code giveUpAt}.
     */
    void startAttempt(long query, long engine, long giveUpAt);

    /** Stops an attempt; an {@link AttemptResult} still follows. */
    void cancelAttempt(long query, int attempt);

    /**
     * Final answer: turned away, and trying again does no harm, best after {@code retryAfterUs}.
     */
    void reject(long query, long retryAfterUs);

    /** Final answer: failed, with nothing promised about its effect. */
    void fail(long query);

    /**
     * Memory (0: the engine chooses) and priority (0 to 3, usual 1) of the query's next attempts.
     */
    void assignResources(long query, double memoryMb, int priority);

    /** Asks for {@link QueryRouter#timerFired} with this token after {@code delayUs}. */
    void scheduleTimer(long delayUs, long token);

    /** Asks an engine for a load report. */
    void probeLoad(long engine);

    /**
     * Asks to be told of roster changes from now on; used only where {@link
     * Settings#watchEndpointsOnRequest}.
     */
    void watchEndpoints();

    /**
     * Whether the query's tenant has room at this engine now; what it has can only grow until the
     * module is next called, but for what the module sends. Asked for each engine in question, so
     * the answer comes from memory.
     */
    default boolean hasTenantCapacity(long query, long engine) {
        return true;
    }

    /** A line for the operators' log. */
    void log(String text);
}
