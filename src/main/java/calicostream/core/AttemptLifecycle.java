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
 * Takes each attempt from the router's request for it to its one end, and owns the transitions of
 * {@link AttemptState}. The router is notified of ends in order, and never from inside its own
 * event. One thread.
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
    private final Deadlines.Target timedOut = this::timedOut;
    private final Deadlines.Target cancellationDelivered = this::cancellationDelivered;
    private EngineClient engines;
    private boolean isDelivering;

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

    /** Sets the way to the engines, before the first attempt. */
    void attach(EngineClient engineClient) {
        engines = engineClient;
    }

    // ---- Start

    /** Starts an attempt, or ends it at once where it must not be sent. */
    void start(long handle, long engine, long giveUpAt) {
        long now = clock.now();
        Request request = requests.find(handle);
        if (request == null) {
            LOG.error("attempt for a request that has been answered");
            return;
        }
        long until = giveUpAt > 0 ? Math.min(giveUpAt, request.deadline()) : request.deadline();
        Attempt attempt = new Attempt(request, request.attempts(), engine, now, until);
        attempt.assignHandle(attempts.add(attempt));
        boolean isForbidden = isForbidden(attempt, now);
        request.countAttempt();
        if (isForbidden) {
            end(attempt, AttemptOutcome.NOT_STARTED);
        } else if (request.responseHandler().isClientGone(request.tag())) {
            requests.abandonWithAttempt(request);
            end(attempt, AttemptOutcome.NOT_STARTED);
        } else if (!endpoints.isReady(engine)) {
            end(attempt, AttemptOutcome.CONNECT_FAILED);
        } else {
            send(attempt);
        }
    }

    /** Neither a second attempt at once nor a second run, whatever the router asks. */
    private boolean isForbidden(Attempt attempt, long now) {
        Request request = attempt.request();
        boolean once = request.isNonIdempotent() || request.state() == RequestState.STREAMING;
        return request.isAnswered()
                || request.activeAttempt() != null
                || once && request.mayHaveRun()
                || now >= attempt.latestSendTime()
                || request.attempts() >= maxAttempts;
    }

    private void send(Attempt attempt) {
        attempt.become(AttemptState.IN_FLIGHT);
        attempt.request().activate(attempt);
        deadlines.add(attempt.giveUpAt(), timedOut, attempt.handle());
        engines.send(attempt);
    }

    /** Whether an attempt may be sent now; see {@link Gateway#maySend}. */
    boolean maySend(Attempt attempt) {
        Request request = attempt.request();
        if (attempt.isInFlight() && request.responseHandler().isClientGone(request.tag())) {
            requests.abandon(request.handle());
        }
        return attempt.isInFlight() && clock.now() < attempt.latestSendTime();
    }

    // ---- Progress

    /** The first part of a result has come; see {@link Gateway#streamBegan}. */
    void streamBegan(Attempt attempt, ResultStreamHandle stream) {
        Request request = attempt.request();
        if (attempt.isInFlight() && !request.isAnswered()) {
            requests.beginStream(request, stream);
            router.deliver(r -> r.streamStarted(clock.now(), request.handle(), attempt.number()));
        }
    }

    /** A notification about an attempt that still runs. */
    void progressed(Attempt attempt, ProgressKind kind, double amount) {
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

    // ---- End

    /** The engine client reports an end; false: the attempt was cancelled or has ended. */
    boolean reportEnd(AttemptEnd end) {
        return end.attempt().isInFlight() && end(end);
    }

    /** Cancels an attempt; it ends when its engine has had time to receive the cancellation. */
    void cancel(long handle, int number) {
        Request request = requests.find(handle);
        Attempt attempt = request == null ? null : request.activeAttempt();
        if (attempt != null && attempt.number() == number && attempt.isInFlight()) {
            engines.stop(attempt);
            attempt.become(AttemptState.CANCELLING);
            deadlines.add(
                    clock.now() + Gateway.CANCEL_DELIVERY_MICROS,
                    cancellationDelivered,
                    attempt.handle());
        }
    }

    private void cancellationDelivered(long now, long handle) {
        Attempt attempt = attempts.get(handle);
        if (attempt != null) {
            end(attempt, AttemptOutcome.CANCELLED);
        }
    }

    private void timedOut(long now, long handle) {
        Attempt attempt = attempts.get(handle);
        if (attempt != null && attempt.request().state() != RequestState.STREAMING) {
            giveUp(attempt, AttemptOutcome.TIMEOUT);
        }
    }

    /** Ends an attempt at once, whatever its engine says of it later. */
    void giveUp(Attempt attempt, AttemptOutcome outcome) {
        if (!attempt.isEnded()) {
            engines.stop(attempt);
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
        end.attempt().become(AttemptState.ENDED);
        undeliveredEnds.add(end);
        deliverEnds();
        return true;
    }

    /** Notifies the router of ends in order; while it is active, they wait. */
    void deliverEnds() {
        if (router.isRouterActive() || isDelivering) {
            return;
        }
        isDelivering = true;
        try {
            for (AttemptEnd end = undeliveredEnds.poll();
                    end != null;
                    end = undeliveredEnds.poll()) {
                deliver(end);
            }
        } finally {
            isDelivering = false;
        }
    }

    private void deliver(AttemptEnd end) {
        Attempt attempt = end.attempt();
        Request request = attempt.request();
        request.deactivate(attempt);
        if (request.isAnswered()) {
            requests.releaseKey(request);
        }
        request.recordOutcome(attempt, end.outcome());
        engines.attemptEnded(attempt, end.outcome(), end.report());
        long now = clock.now();
        requests.answerByAttemptEnd(request, end);
        router.deliver(r -> r.attemptEnded(now, resultOf(end, now)));
    }

    private static AttemptResult resultOf(AttemptEnd end, long now) {
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
