// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

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

    final QueryClass queryClassSettings;
    final long acceptedAt;
    long handle;
    int attempts;
    long firstRiskySendAt; // when the first attempt that may have run was sent
    boolean answered;
    boolean mayHaveRun;
    boolean streaming;
    boolean routed;
    boolean leftKeyQueue;
    Query query;
    Attempt activeAttempt;
    Attempt previousAttempt;
    int priority = DEFAULT_PRIORITY;

    private final IncomingRequest incoming;
    private final long deadline;
    private int tenant;

    Request(IncomingRequest incoming, QueryClass queryClassSettings, long acceptedAt) {
        this.incoming = incoming;
        this.queryClassSettings = queryClassSettings;
        this.acceptedAt = acceptedAt;
        deadline = acceptedAt + incoming.query().timeLeftUs();
    }

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

    /** Until when a further attempt may go out, as far as what may have run bounds that. */
    long retryableUntil() {
        boolean bounded =
                mayHaveRun && queryClassSettings.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
        return bounded ? firstRiskySendAt + queryClassSettings.retryWindowUs() : Long.MAX_VALUE;
    }

    /** Whether it runs in order with the other requests of its key. */
    boolean isOrderedByKey() {
        return queryClassSettings.orderedByKey() && query.key() != 0;
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
        return answered;
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
