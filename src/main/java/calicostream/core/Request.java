// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.AttemptOutcome;
import calicostream.routing.Idempotency;
import calicostream.routing.IdempotencyScope;
import calicostream.routing.Query;
import calicostream.routing.QueryClass;

/**
 * A request from its acceptance to its one final answer. Times are the gateway's clock, in
 * microseconds.
 */
public final class Request {
    private static final int DEFAULT_PRIORITY = 1;

    private final IncomingRequest incoming;
    private final QueryClass queryClassSettings;
    private final long acceptedAt;
    private final long deadline;
    private RequestState state = RequestState.QUEUED;
    private long handle;
    private int tenant;
    private int priority = DEFAULT_PRIORITY;
    private int attempts;
    private boolean mayHaveRun;
    private long firstRiskySendAt; // when the first attempt that may have run was sent
    private boolean hasLeftKeyQueue;
    private Attempt activeAttempt;
    private Attempt previousAttempt;

    Request(IncomingRequest incoming, QueryClass queryClassSettings, long acceptedAt) {
        this.incoming = incoming;
        this.queryClassSettings = queryClassSettings;
        this.acceptedAt = acceptedAt;
        deadline = acceptedAt + incoming.query().timeLeftUs();
    }

    // ---- State, changed by RequestLifecycle and AttemptLifecycle only

    /** Where it stands between acceptance and answer. */
    RequestState state() {
        return state;
    }

    /** Passes to the next state; an illegal transition is a fault of the gateway. */
    void become(RequestState next) {
        assert state.canBecome(next) : id() + ": " + state + " cannot become " + next;
        state = next;
    }

    /** Sets its handle, once. */
    void assignHandle(long newHandle) {
        handle = newHandle;
    }

    /** Sets its priority for this and further attempts. */
    void setPriority(int newPriority) {
        priority = newPriority;
    }

    /** Counts an attempt that the router asked for. */
    void countAttempt() {
        attempts++;
    }

    /** The number of attempts that the router asked for. */
    int attempts() {
        return attempts;
    }

    /** The attempt that was sent and whose end the router does not know, or null. */
    Attempt activeAttempt() {
        return activeAttempt;
    }

    /** An attempt is sent. */
    void activate(Attempt attempt) {
        activeAttempt = attempt;
    }

    /** An attempt has ended; nothing happens where it had not been sent. */
    void deactivate(Attempt attempt) {
        if (activeAttempt == attempt) {
            activeAttempt = null;
            previousAttempt = attempt;
        }
    }

    /** Notes whether the attempt may have run at its engine. */
    void recordOutcome(Attempt attempt, AttemptOutcome outcome) {
        if (outcome.mayHaveRun && !mayHaveRun) {
            mayHaveRun = true;
            firstRiskySendAt = attempt.sentAt();
        }
    }

    /** Whether one of its attempts may have run. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Takes it out of its key's queue; false: that was done before. */
    boolean leaveKeyQueue() {
        boolean isFirst = !hasLeftKeyQueue;
        hasLeftKeyQueue = true;
        return isFirst;
    }

    // ---- What its class says of retries

    /** Whether it is a load, which engines take as an update and which locks its tables. */
    public boolean isLoad() {
        return queryClassSettings.load();
    }

    /** Whether it must not run twice: by its class, or as its engine holds what it changes. */
    public boolean isNonIdempotent() {
        return stickyEngine() != 0
                || queryClassSettings.idempotency() == Idempotency.NON_IDEMPOTENT;
    }

    /** Whether its client may send it again, to any front end, though it may have run. */
    boolean isSafeToRetryByClient() {
        return !isNonIdempotent()
                && (queryClassSettings.idempotency() == Idempotency.IDEMPOTENT
                        || queryClassSettings.idempotencyScope() == IdempotencyScope.ALL);
    }

    /** Until when a further attempt may be sent, as far as what may have run bounds that. */
    long retryableUntil() {
        boolean bounded =
                mayHaveRun && queryClassSettings.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
        return bounded ? firstRiskySendAt + queryClassSettings.retryWindowUs() : Long.MAX_VALUE;
    }

    /** Whether it runs in order with the other requests of its key. */
    boolean isOrderedByKey() {
        return queryClassSettings.orderedByKey() && key() != 0;
    }

    // ---- What it is

    /** The key whose requests run in order, or 0. */
    long key() {
        return incoming.query().key();
    }

    /** What the router decides by, with the time that is left. */
    Query queryAt(long now) {
        return incoming.query().withId(handle).withTimeLeft(deadline - now);
    }

    /** When it was accepted. */
    long acceptedAt() {
        return acceptedAt;
    }

    /** Its handle in the gateway's slot table. */
    public long handle() {
        return handle;
    }

    /** Gets its one final answer. */
    public ResponseHandler responseHandler() {
        return incoming.responseHandler();
    }

    /** Names the request towards its response handler. */
    public long tag() {
        return incoming.tag();
    }

    /** Names the request in logs and towards engines. */
    public String id() {
        return incoming.id();
    }

    /** The index of its query class. */
    public int queryClass() {
        return incoming.query().queryClass();
    }

    /** The text of its statement; not copied. */
    public byte[] body() {
        return incoming.body();
    }

    /** What to do where the body's text does not say it all, or null. */
    public RequestOperation operation() {
        return incoming.operation();
    }

    /** The one engine that may run it, or 0. */
    public long stickyEngine() {
        return incoming.query().stickyEngine();
    }

    /** When it must have been answered. */
    public long deadline() {
        return deadline;
    }

    /** The tenant that the engine client assigned, 0 before. */
    public int tenant() {
        return tenant;
    }

    /** For an engine client that tells tenants apart; the gateway does not use it. */
    public void assignTenant(int newTenant) {
        tenant = newTenant;
    }

    /** Whether it has had its final answer or its client has left. */
    public boolean isAnswered() {
        return state == RequestState.ANSWERED;
    }

    /** How urgent it is to engines, as the router decided last. */
    public int priority() {
        return priority;
    }

    /**
     * The attempt that ended last, or null. An engine client makes sure that the cancellation of
     * that one is sent before the next one.
     */
    public Attempt previousAttempt() {
        return previousAttempt;
    }
}
