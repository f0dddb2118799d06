// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.AttemptOutcome;
import calicostream.routing.RouterSettings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Manages each request from its acceptance until its final answer, and performs the transitions of
 * {@link RequestState}. Each request gets exactly one final answer. Not thread-safe.
 */
final class RequestLifecycle {
    /** The router fails a query at most this many of its ticks before the deadline. */
    private static final int DEADLINE_SLACK_TICKS = 4;

    private static final int MICROS_PER_MILLI = 1000;

    private final Clock clock;
    private final Deadlines deadlines;
    private final RouterSettings settings;
    private final RouterDriver router;
    private final RequestListener listener;
    private final RequestMetrics metrics;
    private final UnrepeatableRequestIds unrepeatableIds = new UnrepeatableRequestIds();
    private final KeyedRequestQueue<Request> keyQueue;
    private final SlotTable<Request> requests = new SlotTable<>();
    private final Deadlines.Callback deadlineCallback = this::onDeadlinePassed;
    private PeerRequestIds peerIds = PeerRequestIds.ALONE;
    private AttemptLifecycle attempts;
    private EngineClient engines;

    RequestLifecycle(
            Clock clock,
            Deadlines deadlines,
            RouterSettings settings,
            RouterDriver router,
            RequestListener listener) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.settings = settings;
        this.router = router;
        this.listener = listener;
        metrics = new RequestMetrics(settings.classes().size());
        keyQueue =
                new KeyedRequestQueue<>(
                        clock,
                        deadlines,
                        settings.protectionRules().keyQuietPeriodUs(),
                        this::offerToEngineClient);
    }

    /** Sets the attempt lifecycle, which ends the attempts of answered requests; called first. */
    void attach(AttemptLifecycle attemptLifecycle) {
        attempts = attemptLifecycle;
    }

    /** Sets the engine client; called before the first request. */
    void attach(EngineClient engineClient) {
        engines = engineClient;
    }

    /** Sets how processes share request ids; called before the first request. */
    void attach(PeerRequestIds peerRequestIds) {
        peerIds = peerRequestIds;
    }

    /** Returns the counters of requests and attempts. */
    RequestMetrics metrics() {
        return metrics;
    }

    /** Returns the queue of requests whose ordered key another process of this front end owns. */
    KeyedRequestQueue<Request> keyQueue() {
        return keyQueue;
    }

    /** Returns the number of requests without a final answer. */
    int openRequests() {
        return requests.size();
    }

    /** Returns the open request with this handle, or null. */
    Request find(long handle) {
        return requests.get(handle);
    }

    /** See {@link Gateway#mayHaveRunBefore}. */
    boolean mayHaveRunBefore(String requestId) {
        return unrepeatableIds.contains(requestId, clock.now());
    }

    /** See {@link Gateway#publishUnrepeatableIds}. */
    void publishUnrepeatableIds() {
        unrepeatableIds.forEach(clock.now(), peerIds::addUnrepeatable);
    }

    // Acceptance

    /** Accepts a request; see {@link Gateway#accept}. */
    long accept(IncomingRequest incoming) {
        int queryClass = incoming.query().queryClass();
        Request request = new Request(incoming, settings.classes().get(queryClass), clock.now());
        request.assignHandle(requests.add(request));
        if (isRefusedByPeers(request)) {
            request.markKeyReleased(); // It has not queued for its key.
            fail(request, FailureReason.ENGINE);
            return request.handle();
        }
        deadlines.add(request.deadline(), deadlineCallback, request.handle());
        if (request.isOrderedByKey()) {
            keyQueue.add(request.key(), request);
        } else {
            offerToEngineClient(request);
        }
        return request.handle();
    }

    private boolean isRefusedByPeers(Request request) {
        if (request.needsUniqueId()) {
            return !peerIds.tryOpen(request.id());
        }
        return request.mustNotRunElsewhere() && peerIds.isUnrepeatable(request.id());
    }

    private void offerToEngineClient(Request request) {
        if (engines.admits(request)) {
            admit(request);
        }
    }

    /** Passes a request to the router, unless it was passed before or is answered. */
    void admit(Request request) {
        long now = clock.now();
        if (request.state() == RequestState.QUEUED) {
            request.transitionTo(RequestState.ROUTED);
            router.deliver(r -> r.queryAccepted(now, request.queryAt(now)));
        }
    }

    /** Starts the result stream to the client. */
    void beginStream(Request request, ResultStreamHandle stream) {
        request.transitionTo(RequestState.STREAMING);
        request.responseHandler().streamBegan(request.tag(), stream);
    }

    // Called for actions and queries of the router

    /** Returns whether the request's tenant has capacity at the engine. */
    boolean hasTenantCapacity(long handle, long engine) {
        Request request = requests.get(handle);
        return request == null || engines.hasTenantCapacity(request, engine);
    }

    /** Sets the priority of the request and of its attempt in flight. */
    void setPriority(long handle, int priority) {
        Request request = requests.get(handle);
        if (request == null || request.priority() == priority) {
            return;
        }
        request.setPriority(priority);
        Attempt attempt = request.activeAttempt();
        if (attempt != null && attempt.isInFlight()) {
            engines.priorityChanged(attempt);
        }
    }

    // Final answers

    /** Rejects a request that was not yet passed to the router. */
    void rejectQueued(Request request, long retryAfterMicros) {
        if (request.state() == RequestState.QUEUED) {
            reject(request.handle(), retryAfterMicros);
        }
    }

    /** Rejects a request, or fails it if the client must not send it again. */
    void reject(long handle, long retryAfterMicros) {
        Request request = requests.get(handle);
        if (request == null || request.isAnswered()) {
            return;
        }
        boolean cannotHaveRun = !request.mayHaveRun() && request.activeAttempt() == null;
        if (cannotHaveRun || request.isSafeToRetryByClient()) {
            close(request, RequestOutcome.REJECTED);
            request.responseHandler().rejected(request.tag(), retryAfterMicros / MICROS_PER_MILLI);
        } else { // A rejection would tell the client that a retry is safe.
            fail(handle);
        }
    }

    /** Fails a request. */
    void fail(long handle) {
        Request request = requests.get(handle);
        if (request == null || request.isAnswered()) {
            return;
        }
        long slackMicros = DEADLINE_SLACK_TICKS * settings.tickUs();
        boolean isNearDeadline = clock.now() + slackMicros >= request.deadline();
        fail(request, isNearDeadline ? FailureReason.DEADLINE : FailureReason.ENGINE);
    }

    private void fail(Request request, FailureReason reason) {
        close(request, RequestOutcome.FAILED);
        request.responseHandler().failed(request.tag(), reason);
    }

    /** Answers a request from the end of its attempt, if that is final. */
    void answerFromAttemptEnd(Request request, AttemptEnd end) {
        if (request.isAnswered()) {
            return;
        }
        if (end.status() != null) {
            close(request, RequestOutcome.FAILED);
            request.responseHandler().answeredWithStatus(request.tag(), end.status());
        } else if (end.outcome() == AttemptOutcome.OK) {
            close(request, RequestOutcome.SERVED);
            request.responseHandler().served(request.tag(), end.result());
        } else if (request.state() == RequestState.STREAMING) {
            fail(request, FailureReason.STREAM_BROKEN);
        }
    }

    /** Abandons a request: no answer is delivered, and an attempt in flight is cancelled. */
    void abandon(long handle) {
        Request request = requests.get(handle);
        if (request != null) {
            router.deliver(
                    r -> {
                        close(request, RequestOutcome.ABANDONED);
                        r.queryAbandoned(clock.now(), handle);
                    });
        }
    }

    /** Abandons a request whose current attempt ends now, which also informs the router. */
    void abandonWithoutRouterEvent(Request request) {
        close(request, RequestOutcome.ABANDONED);
    }

    /** Answers all open requests before the process ends; see {@link Gateway#terminateAll}. */
    void terminateAll() {
        List<Request> unanswered = new ArrayList<>();
        requests.forEach(unanswered::add);
        // Requests without an attempt come first: the end of an attempt frees capacity, with which
        // the router would send them.
        unanswered.sort(Comparator.comparing(request -> request.activeAttempt() != null));
        unanswered.forEach(this::terminate);
    }

    private void terminate(Request request) {
        router.deliver(
                r -> {
                    if (request.state() == RequestState.STREAMING) {
                        fail(request, FailureReason.STREAM_BROKEN);
                    } else {
                        reject(request.handle(), 0);
                    }
                    r.queryAbandoned(clock.now(), request.handle());
                });
    }

    /**
     * Answers a request whose deadline has passed. The router normally answers shortly before; this
     * ensures an answer if it does not.
     */
    private void onDeadlinePassed(long now, long handle) {
        Request request = requests.get(handle);
        if (request == null || request.state() == RequestState.STREAMING) {
            return;
        }
        router.deliver(
                r -> {
                    if (request.state() == RequestState.QUEUED) {
                        reject(handle, 0);
                    } else {
                        fail(handle);
                    }
                    r.queryAbandoned(now, handle);
                });
    }

    /** Records the final answer, and ends the active attempt or else leaves the key queue. */
    private void close(Request request, RequestOutcome outcome) {
        request.transitionTo(RequestState.ANSWERED);
        metrics.recordRequestEnd(request.queryClass(), outcome);
        listener.requestEnded(
                request.id(),
                request.queryClass(),
                outcome,
                request.attemptCount(),
                clock.now() - request.acceptedAt());
        requests.remove(request.handle());
        if (isUnserved(outcome) && mustNotRunAgain(request)) {
            unrepeatableIds.add(request.id(), clock.now());
            peerIds.addUnrepeatable(request.id(), UnrepeatableRequestIds.TIME_TO_LIVE_MICROS);
        }
        if (request.needsUniqueId()) { // Withdrawn last: a peer sees the id all the time.
            peerIds.close(request.id());
        }
        if (request.activeAttempt() != null) {
            attempts.abort(request.activeAttempt(), AttemptOutcome.CANCELLED);
        } else {
            releaseKey(request);
        }
    }

    private static boolean isUnserved(RequestOutcome outcome) {
        return outcome == RequestOutcome.ABANDONED || outcome == RequestOutcome.FAILED;
    }

    /** An engine that a request is bound to keeps its state, and with it what may run there. */
    private static boolean mustNotRunAgain(Request request) {
        boolean mayHaveRun = request.mayHaveRun() || request.activeAttempt() != null;
        return mayHaveRun && request.mustNotRunElsewhere();
    }

    /** Removes an answered request from its key queue once no attempt of it is active. */
    void releaseKey(Request request) {
        if (request.isOrderedByKey()
                && request.activeAttempt() == null
                && request.markKeyReleased()) {
            keyQueue.requestEnded(request.key(), request);
        }
    }
}
