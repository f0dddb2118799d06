// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/**
 * One attempt to run a {@link Request} on an engine. Times are in microseconds of the gateway's
 * clock.
 */
public final class Attempt {
    private final Request request;
    private final int number;
    private final long engine;
    private final long sentAt;
    private final long timeoutAt;
    private final long latestSendTime;
    private AttemptState state = AttemptState.CREATED;
    private long handle;
    private AttemptContext context;

    Attempt(Request request, int number, long engine, long sentAt, long timeoutAt) {
        this.request = request;
        this.number = number;
        this.engine = engine;
        this.sentAt = sentAt;
        this.timeoutAt = timeoutAt;
        latestSendTime = Math.min(timeoutAt, request.retryDeadline());
    }

    // State, changed by AttemptLifecycle only

    /** Changes the state; an illegal transition is a bug in the gateway. */
    void transitionTo(AttemptState nextState) {
        assert state.canTransitionTo(nextState) : state + " cannot transition to " + nextState;
        state = nextState;
    }

    /** Returns whether the attempt was sent and is neither cancelled nor ended. */
    boolean isInFlight() {
        return state == AttemptState.IN_FLIGHT;
    }

    /** Returns whether the outcome of the attempt is known. */
    boolean isEnded() {
        return state == AttemptState.ENDED;
    }

    /** Sets the handle of the attempt; called once. */
    void assignHandle(long newHandle) {
        handle = newHandle;
    }

    /** Returns the time from which the attempt must no longer be sent. */
    long latestSendTime() {
        return latestSendTime;
    }

    // Properties

    /** Returns the request that this attempt belongs to. */
    public Request request() {
        return request;
    }

    /** Returns the index of this attempt among the attempts of its request, from 0. */
    public int number() {
        return number;
    }

    /** Returns the id of the engine that the attempt is sent to. */
    public long engine() {
        return engine;
    }

    /** Returns the time at which the attempt was passed to the engine client. */
    public long sentAt() {
        return sentAt;
    }

    /** Returns the time at which the attempt times out unless its result stream has started. */
    public long timeoutAt() {
        return timeoutAt;
    }

    /** Returns the handle of the attempt in the gateway's slot table. */
    public long handle() {
        return handle;
    }

    /** Returns the state that the engine client attached to the attempt, or null. */
    public AttemptContext context() {
        return context;
    }

    /** Attaches state of the engine client; the gateway does not use it. */
    public void setContext(AttemptContext newContext) {
        context = newContext;
    }
}
