// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/** One send of a {@link Request} to an engine. Times are the gateway's clock, in microseconds. */
public final class Attempt {
    private final Request request;
    private final int number;
    private final long engine;
    private final long sentAt;
    private final long giveUpAt;
    private final long latestSendTime;
    private AttemptState state = AttemptState.CREATED;
    private long handle;
    private AttemptContext context;

    Attempt(Request request, int number, long engine, long sentAt, long giveUpAt) {
        this.request = request;
        this.number = number;
        this.engine = engine;
        this.sentAt = sentAt;
        this.giveUpAt = giveUpAt;
        latestSendTime = Math.min(giveUpAt, request.retryableUntil());
    }

    // ---- State, changed by AttemptLifecycle only

    /** Passes to the next state; an illegal transition is a fault of the gateway. */
    void become(AttemptState next) {
        assert state.canBecome(next) : state + " cannot become " + next;
        state = next;
    }

    /** Whether the engine client has it and what is reported of it counts. */
    boolean isInFlight() {
        return state == AttemptState.IN_FLIGHT;
    }

    /** Whether its end is known. */
    boolean isEnded() {
        return state == AttemptState.ENDED;
    }

    /** Sets its handle, once. */
    void assignHandle(long newHandle) {
        handle = newHandle;
    }

    /** From when on it must not be sent any more. */
    long latestSendTime() {
        return latestSendTime;
    }

    // ---- What it is

    /** The request that it is an attempt of. */
    public Request request() {
        return request;
    }

    /** Its number among the attempts of its request, from 0. */
    public int number() {
        return number;
    }

    /** The id of the engine that it goes to. */
    public long engine() {
        return engine;
    }

    /** When it was handed to the engine client. */
    public long sentAt() {
        return sentAt;
    }

    /** When the gateway gives it up unless its result stream has begun. */
    public long giveUpAt() {
        return giveUpAt;
    }

    /** Its handle in the gateway's slot table. */
    public long handle() {
        return handle;
    }

    /** What the engine client keeps with it, or null. */
    public AttemptContext context() {
        return context;
    }

    /** Set by the engine client, which alone uses it. */
    public void setContext(AttemptContext newContext) {
        context = newContext;
    }
}
