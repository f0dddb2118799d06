// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/** One send of a {@link Request} to an engine. Times are the gateway's clock, in microseconds. */
public final class Attempt {
    final long latestSendTime;
    long handle;
    boolean cancelled;

    private final Request request;
    private final int number;
    private final long engine;
    private final long sentAt;
    private final long giveUpAt;
    private AttemptContext context;

    Attempt(Request request, int number, long engine, long sentAt, long giveUpAt) {
        this.request = request;
        this.number = number;
        this.engine = engine;
        this.sentAt = sentAt;
        this.giveUpAt = giveUpAt;
        latestSendTime = Math.min(giveUpAt, request.retryableUntil());
    }

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
