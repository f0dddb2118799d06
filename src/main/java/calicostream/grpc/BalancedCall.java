// SPDX-License-Identifier: Apache-2.0
package calicostream.grpc;

import calicostream.core.Attempt;
import calicostream.core.FailureReason;
import calicostream.core.IncomingRequest;
import calicostream.core.RequestResult;
import calicostream.core.ResponseHandler;
import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.Deadline;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * One call of the application through a {@link BalancingChannel}. Its messages are buffered until
 * the application half-closes; from then on the event loop owns it. The application's listener runs
 * on the executor of the call's options.
 */
final class BalancedCall<Q, R> extends ClientCall<Q, R> implements ResponseHandler {
    private static final byte[] NO_BODY = {};

    private final ChannelContext context;
    private final MethodDescriptor<Q, R> method;
    private final CallOptions options;
    private final Executor executor;
    private final String id = String.format("%016x", ThreadLocalRandom.current().nextLong());
    private final List<Q> messages = new ArrayList<>();
    private Listener<R> listener;
    private Metadata headers;
    private long handle;
    private boolean closed;
    private AttemptResponse<R> response;

    BalancedCall(ChannelContext context, MethodDescriptor<Q, R> method, CallOptions options) {
        this.context = context;
        this.method = method;
        this.options = options;
        executor = options.getExecutor() == null ? Runnable::run : options.getExecutor();
    }

    @Override
    public void start(Listener<R> responseListener, Metadata requestHeaders) {
        listener = responseListener;
        headers = requestHeaders;
    }

    @Override
    public void request(int count) {
        // Responses are complete before any message is passed on: there is no flow to control.
    }

    @Override
    public void sendMessage(Q message) {
        messages.add(message);
    }

    @Override
    public void halfClose() {
        Deadline deadline = options.getDeadline();
        long arrivedAt = context.loop().clock().now();
        context.loop().post(() -> accept(deadline, arrivedAt));
    }

    private void accept(Deadline deadline, long arrivedAt) {
        int queryClass =
                context.classNames().indexOf(options.getOption(BalancingChannel.QUERY_CLASS));
        if (method.getType() == MethodDescriptor.MethodType.BIDI_STREAMING) {
            close(Status.UNIMPLEMENTED.withDescription("no bidirectional streams"));
            return;
        }
        if (closed || queryClass < 0) {
            close(Status.INVALID_ARGUMENT.withDescription("the call names no class"));
            return;
        }
        long timeLeftMicros = timeLeftMicros(queryClass, deadline, arrivedAt);
        if (timeLeftMicros <= 0) {
            close(Status.DEADLINE_EXCEEDED);
            return;
        }
        context.openCalls().put(id, this);
        int tableGroup = options.getOption(BalancingChannel.TABLE_GROUP);
        handle =
                context.gateway()
                        .accept(
                                IncomingRequest.of(
                                        this,
                                        0,
                                        id,
                                        queryClass,
                                        tableGroup,
                                        timeLeftMicros,
                                        NO_BODY));
    }

    /** Time until the earlier of the class's deadline and the call's own, which may be null. */
    private long timeLeftMicros(int queryClass, Deadline deadline, long arrivedAt) {
        long elapsedMicros = context.loop().clock().now() - arrivedAt;
        long classMicros = context.classes().get(queryClass).deadlineUs() - elapsedMicros;
        if (deadline == null) {
            return classMicros;
        }
        return Math.min(classMicros, deadline.timeRemaining(TimeUnit.MICROSECONDS));
    }

    @Override
    public void cancel(String message, Throwable cause) {
        context.loop()
                .post(
                        () -> {
                            context.gateway().abandon(handle);
                            close(Status.CANCELLED.withDescription(message).withCause(cause));
                        });
    }

    /** Ends the call with a status and no trailers, unless it has ended; on the event loop. */
    void close(Status status) {
        close(status, new Metadata());
    }

    private void close(Status status, Metadata trailers) {
        context.openCalls().remove(id);
        if (!closed && listener != null) {
            closed = true;
            executor.execute(() -> listener.onClose(status, trailers));
        }
    }

    /** Sends the buffered messages to an engine; on the event loop. */
    void startAttempt(Attempt attempt, ManagedChannel channel) {
        AttemptResponse<R> attemptResponse =
                new AttemptResponse<>(context.loop(), context.gateway(), attempt);
        Metadata attemptHeaders = attemptHeaders(attempt);
        long timeLeftMicros = Math.max(1, attempt.timeoutAt() - context.loop().clock().now());
        ClientCall<Q, R> outbound =
                channel.newCall(
                        method,
                        options.withDeadlineAfter(timeLeftMicros, TimeUnit.MICROSECONDS)
                                .withoutWaitForReady()
                                .withExecutor(Runnable::run));
        attempt.setContext(new OutboundCall(outbound));
        response = attemptResponse;
        outbound.start(attemptResponse, attemptHeaders);
        outbound.request(Integer.MAX_VALUE);
        messages.forEach(outbound::sendMessage);
        outbound.halfClose();
    }

    private Metadata attemptHeaders(Attempt attempt) {
        Metadata attemptHeaders = new Metadata();
        attemptHeaders.merge(headers);
        attemptHeaders.put(
                GrpcStatuses.QUERY_CLASS, context.classNames().get(attempt.request().queryClass()));
        attemptHeaders.put(GrpcStatuses.REQUEST_ID, id);
        attemptHeaders.put(GrpcStatuses.PRIORITY, Integer.toString(attempt.request().priority()));
        return attemptHeaders;
    }

    @Override
    public void served(long tag, RequestResult result) {
        AttemptResponse<R> complete = response;
        context.openCalls().remove(id);
        closed = true;
        executor.execute(() -> complete.deliverTo(listener));
    }

    @Override
    public void rejected(long tag, long retryAfterMs) {
        Metadata trailers = new Metadata();
        trailers.put(GrpcStatuses.RETRY_PUSHBACK, Long.toString(retryAfterMs));
        String description = "refused; stay away for " + retryAfterMs + " ms";
        close(Status.UNAVAILABLE.withDescription(description), trailers);
    }

    @Override
    public void failed(long tag, FailureReason reason) {
        if (reason == FailureReason.DEADLINE) {
            close(Status.DEADLINE_EXCEEDED.withDescription("not answered in time"));
        } else if (reason == FailureReason.ENGINE
                && response != null
                && response.status() != null) {
            close(response.status(), response.trailers());
        } else {
            close(Status.INTERNAL.withDescription("failed; it may have run"));
        }
    }
}
