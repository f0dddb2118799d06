// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.AttemptOutcome;
import calicostream.routing.Idempotency;
import calicostream.routing.IdempotencyScope;
import calicostream.routing.Query;
import calicostream.routing.QueryClass;

/**
 * The state of an accepted request until its final answer. Times are in microseconds of the
 * gateway's clock.
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
    private int attemptCount;
    private boolean mayHaveRun;

    /** When the first of the attempts that may have run was sent; valid if {@code mayHaveRun}. */
    private long firstPossibleRunSentAt;

    private boolean isKeyReleased;
    private Attempt activeAttempt;
    private Attempt previousAttempt;

    Request(IncomingRequest incoming, QueryClass queryClassSettings, long acceptedAt) {
        this.incoming = incoming;
        this.queryClassSettings = queryClassSettings;
        this.acceptedAt = acceptedAt;
        deadline = acceptedAt + incoming.query().timeLeftUs();
    }

    // State, changed by RequestLifecycle and AttemptLifecycle only

    /** Returns the state between acceptance and final answer. */
    RequestState state() {
        return state;
    }

    /** Changes the state; an illegal transition is a bug in the gateway. */
    void transitionTo(RequestState nextState) {
        assert state.canTransitionTo(nextState)
                : id() + ": " + state + " cannot transition to " + nextState;
        state = nextState;
    }

    /** Sets the handle of the request; called once. */
    void assignHandle(long newHandle) {
        handle = newHandle;
    }

    /** Sets the priority of the current attempt and of later ones. */
    void setPriority(int newPriority) {
        priority = newPriority;
    }

    /** Counts an attempt that the router has requested. */
    void countAttempt() {
        attemptCount++;
    }

    /** Returns the number of attempts that the router has requested. */
    int attemptCount() {
        return attemptCount;
    }

    /** Returns the sent attempt whose end the router was not yet notified of, or null. */
    Attempt activeAttempt() {
        return activeAttempt;
    }

    /** Records that an attempt is being sent. */
    void setActiveAttempt(Attempt attempt) {
        activeAttempt = attempt;
    }

    /** Records that an attempt has ended; does nothing if the attempt was not sent. */
    void clearActiveAttempt(Attempt attempt) {
        if (activeAttempt == attempt) {
            activeAttempt = null;
            previousAttempt = attempt;
        }
    }

    /** Records whether the attempt may have run on its engine. */
    void recordOutcome(Attempt attempt, AttemptOutcome outcome) {
        if (outcome.mayHaveRun && !mayHaveRun) {
            mayHaveRun = true;
            firstPossibleRunSentAt = attempt.sentAt();
        }
    }

    /** Returns whether an ended attempt of the request may have run. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Records that the request neither runs under its ordered key nor waits for it any more.
     *
     * @return false if that was recorded before
     */
    boolean markKeyReleased() {
        boolean isFirstCall = !isKeyReleased;
        isKeyReleased = true;
        return isFirstCall;
    }

    // Settings of the query class

    /** Returns whether the request is a load: an update that locks the tables it writes. */
    public boolean isLoad() {
        return queryClassSettings.load();
    }

    /**
     * Returns whether the request must not run twice: its query class is non-idempotent, or its
     * sticky engine holds the state that it changes.
     */
    public boolean isNonIdempotent() {
        return stickyEngine() != 0
                || queryClassSettings.idempotency() == Idempotency.NON_IDEMPOTENT;
    }

    /** Returns whether the request may run again on any engine. */
    public boolean isIdempotent() {
        return stickyEngine() == 0 && queryClassSettings.idempotency() == Idempotency.IDEMPOTENT;
    }

    /**
     * Returns whether the client may send the request again, to any front end, even if it may have
     * run.
     */
    boolean isSafeToRetryByClient() {
        return !isNonIdempotent()
                && (queryClassSettings.idempotency() == Idempotency.IDEMPOTENT
                        || queryClassSettings.idempotencyScope() == IdempotencyScope.ALL);
    }

    /**
     * Returns the end of the retry window, which begins when the first attempt that may have run is
     * sent; {@link Long#MAX_VALUE} if no attempt may have run or no idempotency key limits retries.
     */
    long retryDeadline() {
        boolean isLimited =
                mayHaveRun && queryClassSettings.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
        return isLimited
                ? firstPossibleRunSentAt + queryClassSettings.retryWindowUs()
                : Long.MAX_VALUE;
    }

    /** Returns whether no other request with its id may be open, in any process of a front end. */
    boolean needsUniqueId() {
        return incoming.hasUniqueId() && mustNotRunElsewhere();
    }

    /** Returns whether no other process may run a request with its id if this one may have run. */
    boolean mustNotRunElsewhere() {
        return stickyEngine() == 0 && !isIdempotent();
    }

    /** Returns whether the request runs in order with the other requests of its key. */
    boolean isOrderedByKey() {
        return queryClassSettings.orderedByKey() && key() != 0;
    }

    // Properties

    /** Returns the ordered key of the request, or 0. */
    long key() {
        return incoming.query().key();
    }

    /** Returns the query for the router, with the time left until the deadline. */
    Query queryAt(long now) {
        return incoming.query().withId(handle).withTimeLeft(deadline - now);
    }

    /** Returns the time at which the request was accepted. */
    long acceptedAt() {
        return acceptedAt;
    }

    /** Returns the handle of the request in the gateway's slot table. */
    public long handle() {
        return handle;
    }

    /** Returns the handler that gets the final answer. */
    public ResponseHandler responseHandler() {
        return incoming.responseHandler();
    }

    /** Returns the tag that identifies the request to its response handler. */
    public long tag() {
        return incoming.tag();
    }

    /** Returns the id that identifies the request in logs and to engines. */
    public String id() {
        return incoming.id();
    }

    /** Returns the index of the query class. */
    public int queryClass() {
        return incoming.query().queryClass();
    }

    /** Returns the text of the statement; not copied. */
    public byte[] body() {
        return incoming.body();
    }

    /** Returns the operation if the body does not describe it completely, or null. */
    public RequestOperation operation() {
        return incoming.operation();
    }

    /** Returns the id of the only engine that may run the request, or 0 for any engine. */
    public long stickyEngine() {
        return incoming.query().stickyEngine();
    }

    /** Returns the time by which the request must have its final answer. */
    public long deadline() {
        return deadline;
    }

    /** Returns the index of the tenant that the engine client assigned, 0 until then. */
    public int tenant() {
        return tenant;
    }

    /** Sets the tenant, for engine clients with per-tenant limits; not used by the gateway. */
    public void assignTenant(int newTenant) {
        tenant = newTenant;
    }

    /** Returns whether the request has its final answer or was abandoned by its client. */
    public boolean isAnswered() {
        return state == RequestState.ANSWERED;
    }

    /** Returns the priority on engines that the router assigned last. */
    public int priority() {
        return priority;
    }

    /**
     * Returns the attempt that ended last, or null. The engine client must send its cancellation
     * before it sends the next attempt.
     */
    public Attempt previousAttempt() {
        return previousAttempt;
    }
}
