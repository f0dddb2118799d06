// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.AttemptOutcome;
import calicostream.routing.RouterSettings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Takes each request from its acceptance to its one final answer, and owns the transitions of
 * {@link RequestState}. One thread.
 */
final class RequestLifecycle {
    /** The router fails a query this many of its ticks before the deadline, at most. */
    private static final int DEADLINE_SLACK_TICKS = 4;

    private static final int MICROS_PER_MILLI = 1000;

    private final Clock clock;
    private final Deadlines deadlines;
    private final RouterSettings settings;
    private final RouterDriver router;
    private final RequestListener listener;
    private final RequestMetrics metrics;
    private final KeyedRequestQueue<Request> keyQueue;
    private final SlotTable<Request> requests = new SlotTable<>();
    private final Deadlines.Target deadlinePassed = this::deadlinePassed;
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

    /** Sets who ends the attempts of a request that is answered, before anything else. */
    void attach(AttemptLifecycle attemptLifecycle) {
        attempts = attemptLifecycle;
    }

    /** Sets the way to the engines, before the first request. */
    void attach(EngineClient engineClient) {
        engines = engineClient;
    }

    /** What has become of requests and attempts so far. */
    RequestMetrics metrics() {
        return metrics;
    }

    /** The requests whose keys another process of this front end serves. */
    KeyedRequestQueue<Request> keyQueue() {
        return keyQueue;
    }

    /** The number of requests without a final answer. */
    int openRequests() {
        return requests.size();
    }

    /** The request with this handle that has no final answer yet, or null. */
    Request find(long handle) {
        return requests.get(handle);
    }

    // ---- Acceptance

    /** Accepts a request; see {@link Gateway#accept}. */
    long accept(IncomingRequest incoming) {
        int queryClass = incoming.query().queryClass();
        Request request = new Request(incoming, settings.classes().get(queryClass), clock.now());
        request.assignHandle(requests.add(request));
        deadlines.add(request.deadline(), deadlinePassed, request.handle());
        if (request.isOrderedByKey()) {
            keyQueue.add(request.key(), request);
        } else {
            offerToEngineClient(request);
        }
        return request.handle();
    }

    private void offerToEngineClient(Request request) {
        if (engines.admits(request)) {
            admit(request);
        }
    }

    /** Passes a request on to the router, unless it has been or is answered. */
    void admit(Request request) {
        long now = clock.now();
        if (request.state() == RequestState.QUEUED) {
            request.become(RequestState.ROUTED);
            router.deliver(r -> r.queryAccepted(now, request.queryAt(now)));
        }
    }

    /** The first part of its result goes to the client. */
    void beginStream(Request request, ResultStreamHandle stream) {
        request.become(RequestState.STREAMING);
        request.responseHandler().streamBegan(request.tag(), stream);
    }

    // ---- What the router decides while it runs

    /** Whether the request's tenant has capacity at the engine. */
    boolean hasTenantCapacity(long handle, long engine) {
        Request request = requests.get(handle);
        return request == null || engines.hasTenantCapacity(request, engine);
    }

    /** Sets the priority of the request, and of its attempt that is in flight. */
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

    // ---- Final answers

    /** Rejects a request that the router does not know yet. */
    void rejectQueued(Request request, long retryAfterMicros) {
        if (request.state() == RequestState.QUEUED) {
            reject(request.handle(), retryAfterMicros);
        }
    }

    /** Rejects a request, or fails it where its client must not send it again. */
    void reject(long handle, long retryAfterMicros) {
        Request request = requests.get(handle);
        if (request == null || request.isAnswered()) {
            return;
        }
        boolean neverRan = !request.mayHaveRun() && request.activeAttempt() == null;
        if (neverRan || request.isSafeToRetryByClient()) {
            close(request, RequestOutcome.REJECTED);
            request.responseHandler().rejected(request.tag(), retryAfterMicros / MICROS_PER_MILLI);
        } else { // A rejection would promise the client that it may send the request again.
            fail(handle);
        }
    }

    /** Fails a request. */
    void fail(long handle) {
        Request request = requests.get(handle);
        if (request == null || request.isAnswered()) {
            return;
        }
        long slack = DEADLINE_SLACK_TICKS * settings.tickUs();
        boolean late = clock.now() + slack >= request.deadline();
        fail(request, late ? FailureReason.DEADLINE : FailureReason.ENGINE);
    }

    private void fail(Request request, FailureReason reason) {
        close(request, RequestOutcome.FAILED);
        request.responseHandler().failed(request.tag(), reason);
    }

    /** Answers a request by the end of its attempt where that is final. */
    void answerByAttemptEnd(Request request, AttemptEnd end) {
        if (request.isAnswered()) {
            return;
        }
        if (end.status() != null) {
            close(request, RequestOutcome.FAILED);
            request.responseHandler().concluded(request.tag(), end.status());
        } else if (end.outcome() == AttemptOutcome.OK) {
            close(request, RequestOutcome.SERVED);
            request.responseHandler().served(request.tag(), end.result());
        } else if (request.state() == RequestState.STREAMING) {
            fail(request, FailureReason.STREAM_BROKEN);
        }
    }

    /** The client has left: no answer is owed, and an attempt in flight is cancelled. */
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

    /** The client has left, and the router learns it from the end of the attempt. */
    void abandonWithAttempt(Request request) {
        close(request, RequestOutcome.ABANDONED);
    }

    /** Answers all open requests at the end of the process; see {@link Gateway#terminateAll}. */
    void terminateAll() {
        List<Request> open = new ArrayList<>();
        requests.forEach(open::add);
        // Those without an attempt first: the end of an attempt frees capacity for them.
        open.sort(Comparator.comparing(request -> request.activeAttempt() != null));
        open.forEach(this::terminate);
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

    /** The last guard against a lost request: the router normally answers just before this. */
    private void deadlinePassed(long now, long handle) {
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

    /** Counts the one final answer and gives up the attempt that is in flight. */
    private void close(Request request, RequestOutcome outcome) {
        request.become(RequestState.ANSWERED);
        metrics.recordRequestEnd(request.queryClass(), outcome);
        listener.requestEnded(
                request.id(),
                request.queryClass(),
                outcome,
                request.attempts(),
                clock.now() - request.acceptedAt());
        requests.remove(request.handle());
        if (request.activeAttempt() != null) {
            attempts.giveUp(request.activeAttempt(), AttemptOutcome.CANCELLED);
        } else {
            releaseKey(request);
        }
    }

    /** Releases the request's place in its key's order, once no attempt of it is in flight. */
    void releaseKey(Request request) {
        if (request.isOrderedByKey()
                && request.activeAttempt() == null
                && request.leaveKeyQueue()) {
            keyQueue.requestEnded(request.key(), request);
        }
    }
}
