// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.AttemptOutcome;
import calicostream.routing.AttemptResult;
import calicostream.routing.ProgressKind;
import calicostream.routing.QueryProgress;
import calicostream.routing.RouterSettings;
import java.util.ArrayDeque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Manages each attempt from the router's request to start it until it ends, and performs the
 * transitions of {@link AttemptState}. Each attempt ends exactly once. The router is notified of
 * ended attempts in order, and never while it handles another event. Not thread-safe.
 */
final class AttemptLifecycle {
    private static final Logger LOG = LoggerFactory.getLogger(AttemptLifecycle.class);

    private final Clock clock;
    private final Deadlines deadlines;
    private final int maxAttempts;
    private final RouterDriver router;
    private final RequestLifecycle requests;
    private final EndpointTable endpoints;
    private final SlotTable<Attempt> attempts = new SlotTable<>();
    private final ArrayDeque<AttemptEnd> undeliveredEnds = new ArrayDeque<>();
    private final Deadlines.Callback timeoutCallback = this::onTimeout;
    private final Deadlines.Callback cancellationDeliveredCallback = this::onCancellationDelivered;
    private EngineClient engines;
    private boolean isDeliveringEnds;

    AttemptLifecycle(
            Clock clock,
            Deadlines deadlines,
            RouterSettings settings,
            RouterDriver router,
            RequestLifecycle requests,
            EndpointTable endpoints) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.router = router;
        this.requests = requests;
        this.endpoints = endpoints;
        maxAttempts = settings.attemptLimits().maxAttempts();
    }

    /** Sets the engine client; called before the first attempt. */
    void attach(EngineClient engineClient) {
        engines = engineClient;
    }

    // Start

    /**
     * Starts an attempt, or ends it immediately if it must not be sent.
     *
     * @param routerTimeoutAt when the router wants the attempt to time out; 0 for the deadline of
     *     the request
     */
    void start(long handle, long engine, long routerTimeoutAt) {
        long now = clock.now();
        Request request = requests.find(handle);
        if (request == null) {
            LOG.error("router started an attempt for a request that already has its final answer");
            return;
        }
        long timeoutAt =
                routerTimeoutAt > 0
                        ? Math.min(routerTimeoutAt, request.deadline())
                        : request.deadline();
        Attempt attempt = new Attempt(request, request.attemptCount(), engine, now, timeoutAt);
        attempt.assignHandle(attempts.add(attempt));
        boolean mustNotSend = mustNotSend(attempt, now);
        request.countAttempt();
        if (mustNotSend) {
            end(attempt, AttemptOutcome.NOT_STARTED);
        } else if (request.responseHandler().isClientGone(request.tag())) {
            requests.abandonWithoutRouterEvent(request);
            end(attempt, AttemptOutcome.NOT_STARTED);
        } else if (!endpoints.isReady(engine)) {
            end(attempt, AttemptOutcome.CONNECT_FAILED);
        } else {
            send(attempt);
        }
    }

    /**
     * Returns whether the attempt must not be sent although the router started it: the request is
     * answered or has an active attempt, or the attempt could run a non-idempotent request twice,
     * is too late or exceeds the maximum number of attempts.
     */
    private boolean mustNotSend(Attempt attempt, long now) {
        Request request = attempt.request();
        boolean mustNotRunTwice =
                request.isNonIdempotent() || request.state() == RequestState.STREAMING;
        return request.isAnswered()
                || request.activeAttempt() != null
                || mustNotRunTwice && request.mayHaveRun()
                || now >= attempt.latestSendTime()
                || request.attemptCount() >= maxAttempts;
    }

    private void send(Attempt attempt) {
        attempt.transitionTo(AttemptState.IN_FLIGHT);
        attempt.request().setActiveAttempt(attempt);
        deadlines.add(attempt.timeoutAt(), timeoutCallback, attempt.handle());
        engines.send(attempt);
    }

    /** Returns whether an attempt may be sent now; see {@link Gateway#maySend}. */
    boolean maySend(Attempt attempt) {
        Request request = attempt.request();
        if (attempt.isInFlight() && request.responseHandler().isClientGone(request.tag())) {
            requests.abandon(request.handle());
        }
        return attempt.isInFlight() && clock.now() < attempt.latestSendTime();
    }

    // Progress

    /** Handles the first part of a result stream; see {@link Gateway#streamBegan}. */
    void streamBegan(Attempt attempt, ResultStreamHandle stream) {
        Request request = attempt.request();
        if (attempt.isInFlight() && !request.isAnswered()) {
            requests.beginStream(request, stream);
            router.deliver(r -> r.streamStarted(clock.now(), request.handle(), attempt.number()));
        }
    }

    /** Handles a progress report of a running attempt. */
    void reportProgress(Attempt attempt, ProgressKind kind, double amount) {
        if (attempt.isInFlight()) {
            engines.attemptAcknowledged(attempt);
            long query = attempt.request().handle();
            router.deliver(
                    r ->
                            r.progress(
                                    clock.now(),
                                    new QueryProgress(query, attempt.number(), kind, amount)));
        }
    }

    // End

    /**
     * Handles an attempt end that the engine client reports.
     *
     * @return false if the report is ignored because the attempt was cancelled or has ended
     */
    boolean reportEnd(AttemptEnd end) {
        return end.attempt().isInFlight() && end(end);
    }

    /**
     * Cancels an attempt. It ends {@link Gateway#CANCEL_DELIVERY_MICROS} later, when its engine has
     * had time to receive the cancellation.
     */
    void cancel(long handle, int number) {
        Request request = requests.find(handle);
        Attempt attempt = request == null ? null : request.activeAttempt();
        if (attempt != null && attempt.number() == number && attempt.isInFlight()) {
            engines.cancel(attempt);
            attempt.transitionTo(AttemptState.CANCELLING);
            deadlines.add(
                    clock.now() + Gateway.CANCEL_DELIVERY_MICROS,
                    cancellationDeliveredCallback,
                    attempt.handle());
        }
    }

    private void onCancellationDelivered(long now, long handle) {
        Attempt attempt = attempts.get(handle);
        if (attempt != null) {
            end(attempt, AttemptOutcome.CANCELLED);
        }
    }

    private void onTimeout(long now, long handle) {
        Attempt attempt = attempts.get(handle);
        if (attempt != null && attempt.request().state() != RequestState.STREAMING) {
            abort(attempt, AttemptOutcome.TIMEOUT);
        }
    }

    /** Ends an attempt immediately and ignores later reports from its engine. */
    void abort(Attempt attempt, AttemptOutcome outcome) {
        if (!attempt.isEnded()) {
            engines.cancel(attempt);
            end(attempt, outcome);
        }
    }

    private void end(Attempt attempt, AttemptOutcome outcome) {
        end(new AttemptEnd(attempt, outcome, null, null, null));
    }

    private boolean end(AttemptEnd end) {
        if (attempts.remove(end.attempt().handle()) == null) {
            return false;
        }
        end.attempt().transitionTo(AttemptState.ENDED);
        undeliveredEnds.add(end);
        deliverEnds();
        return true;
    }

    /** Notifies the router of ended attempts in order, unless it is handling an event. */
    void deliverEnds() {
        if (router.isRouterActive() || isDeliveringEnds) {
            return;
        }
        isDeliveringEnds = true;
        try {
            for (AttemptEnd end = undeliveredEnds.poll();
                    end != null;
                    end = undeliveredEnds.poll()) {
                deliver(end);
            }
        } finally {
            isDeliveringEnds = false;
        }
    }

    private void deliver(AttemptEnd end) {
        Attempt attempt = end.attempt();
        Request request = attempt.request();
        request.clearActiveAttempt(attempt);
        if (request.isAnswered()) {
            requests.releaseKey(request);
        }
        request.recordOutcome(attempt, end.outcome());
        engines.attemptEnded(attempt, end.outcome(), end.report());
        long now = clock.now();
        try {
            requests.answerFromAttemptEnd(request, end);
        } finally { // A response handler that fails must not leave the engine occupied.
            router.deliver(r -> r.attemptEnded(now, toAttemptResult(end, now)));
        }
    }

    private static AttemptResult toAttemptResult(AttemptEnd end, long now) {
        Attempt attempt = end.attempt();
        Request request = attempt.request();
        return new AttemptResult(
                request.handle(),
                attempt.number(),
                attempt.engine(),
                end.outcome(),
                request.isAnswered(),
                now - attempt.sentAt(),
                0,
                0,
                end.report());
    }
}
