// SPDX-License-Identifier: Apache-2.0
package calicostream.grpc;

import calicostream.core.Attempt;
import calicostream.core.AttemptContext;
import calicostream.core.Clock;
import calicostream.core.Deadlines;
import calicostream.core.FailureReason;
import calicostream.core.Gateway;
import calicostream.core.IncomingRequest;
import calicostream.core.RequestListener;
import calicostream.core.RequestResult;
import calicostream.core.ResponseHandler;
import calicostream.net.SelectorLoop;
import calicostream.routing.AttemptOutcome;
import calicostream.routing.EndpointUpdate;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.QueryClass;
import calicostream.routing.SettingsParser;
import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientCall;
import io.grpc.Deadline;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The client-side plug-in: a gRPC channel whose every call goes through a {@link Gateway} in this
 * process to one of several engines. A call's messages are kept until its client has half-closed,
 * so that a further attempt can send them again, and an answer is passed on once it is whole. Calls
 * name their class and table group by {@link #QUERY_CLASS} and {@link #TABLE_GROUP}; bidirectional
 * streams are not taken.
 */
public final class BalancingChannel extends Channel implements AutoCloseable {
    public static final CallOptions.Key<String> QUERY_CLASS =
            CallOptions.Key.create("calicostream-class");
    public static final CallOptions.Key<Integer> TABLE_GROUP =
            CallOptions.Key.createWithDefault("table-group", 0);
    private static final Logger LOG = LoggerFactory.getLogger(BalancingChannel.class);
    private static final byte[] NO_BODY = {};
    private final SelectorLoop loop;
    private final Gateway gateway;
    private final EngineChannels channels;
    private final List<String> classNames;
    private final List<QueryClass> classes;
    private final Map<String, Call<?, ?>> calls = new HashMap<>();
    private final Thread thread;

    /**
     * Starts with no engines; {@code dial} makes the channel to one, with gRPC's own retries
     * disabled.
     */
    public BalancingChannel(
            SettingsParser settings,
            Function<InetSocketAddress, ManagedChannel> dial,
            RequestListener watcher)
            throws IOException {
        Clock clock = new Clock();
        loop = new SelectorLoop(clock, new Deadlines());
        classNames = settings.classNames();
        classes = settings.settings().classes();
        channels = new EngineChannels(loop, settings.connectionSettings(), dial);
        // A plain gRPC service sends no notes of progress: silence there means nothing.
        gateway =
                new Gateway(
                        clock,
                        loop.deadlines(),
                        settings.settings().withoutProgressNotes(),
                        watcher);
        gateway.start(new Side(channels), List.of());
        thread = new Thread(this::run, "calicostream");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            loop.run();
        } catch (IOException e) {
            LOG.error("the plug-in's loop ended", e);
        }
    }

    /** News of the engines; addresses of those that are new or have moved. */
    public void roster(
            EndpointUpdate kind,
            List<EngineEndpoint> engines,
            Map<Long, InetSocketAddress> addresses) {
        loop.post(
                () -> {
                    addresses.forEach(channels::locate);
                    gateway.endpointsChanged(kind, engines);
                });
    }

    @Override
    public void close() {
        loop.post(
                () -> {
                    List.copyOf(calls.values())
                            .forEach(
                                    call ->
                                            call.end(
                                                    Status.UNAVAILABLE.withDescription("closed"),
                                                    new Metadata()));
                    channels.close();
                    loop.stop();
                });
    }

    @Override
    public String authority() {
        return "calicostream";
    }

    @Override
    public <Q, R> ClientCall<Q, R> newCall(MethodDescriptor<Q, R> method, CallOptions options) {
        return new Call<>(method, options);
    }

    /** The engine side: replays a call's messages on the channel to the engine chosen. */
    private final class Side extends GrpcEngineClient {
        Side(EngineChannels channels) {
            super(channels);
        }

        @Override
        public void send(Attempt attempt) {
            Call<?, ?> call = calls.get(attempt.request().id());
            channels.start(attempt, channel -> call.attempt(attempt, channel));
        }

        @Override
        protected void cancel(Attempt attempt) {
            if (attempt.context() instanceof EngineCall out) {
                out.call().cancel("given up", null);
            }
        }
    }

    /** The call to an engine that an attempt consists of. */
    private record EngineCall(ClientCall<?, ?> call) implements AttemptContext {}

    /** One call of the application's. */
    private final class Call<Q, R> extends ClientCall<Q, R> implements ResponseHandler {
        private final MethodDescriptor<Q, R> method;
        private final CallOptions options;
        private final Executor executor;
        private final String id = String.format("%016x", ThreadLocalRandom.current().nextLong());
        private final List<Q> messages = new ArrayList<>();
        private Listener<R> listener;
        private Metadata headers;
        private long handle;
        private boolean over;
        private Received<R> received;

        Call(MethodDescriptor<Q, R> method, CallOptions options) {
            this.method = method;
            this.options = options;
            executor = options.getExecutor() == null ? Runnable::run : options.getExecutor();
        }

        @Override
        public void start(Listener<R> to, Metadata metadata) {
            listener = to;
            headers = metadata;
        }

        @Override
        public void request(int count) {
            // Answers are kept whole before any is passed on, so there is nothing to hold back.
        }

        @Override
        public void sendMessage(Q message) {
            messages.add(message);
        }

        @Override
        public void halfClose() {
            Deadline deadline = options.getDeadline();
            long arrived = loop.clock().now();
            loop.post(() -> accept(deadline, arrived));
        }

        private void accept(Deadline deadline, long arrived) {
            int queryClass = classNames.indexOf(options.getOption(QUERY_CLASS));
            boolean both = method.getType() == MethodDescriptor.MethodType.BIDI_STREAMING;
            if (over || both || queryClass < 0) {
                end(
                        both
                                ? Status.UNIMPLEMENTED.withDescription("no bidirectional streams")
                                : Status.INVALID_ARGUMENT.withDescription(
                                        "the call names no class"),
                        new Metadata());
                return;
            }
            long budget = classes.get(queryClass).deadlineUs() - (loop.clock().now() - arrived);
            budget =
                    deadline == null
                            ? budget
                            : Math.min(budget, deadline.timeRemaining(TimeUnit.MICROSECONDS));
            if (budget <= 0) {
                end(Status.DEADLINE_EXCEEDED, new Metadata());
                return;
            }
            calls.put(id, this);
            handle =
                    gateway.accept(
                            IncomingRequest.of(
                                    this,
                                    0,
                                    id,
                                    queryClass,
                                    options.getOption(TABLE_GROUP),
                                    budget,
                                    NO_BODY));
        }

        @Override
        public void cancel(String message, Throwable cause) {
            loop.post(
                    () -> {
                        gateway.abandon(handle);
                        end(
                                Status.CANCELLED.withDescription(message).withCause(cause),
                                new Metadata());
                    });
        }

        private void end(Status status, Metadata trailers) {
            calls.remove(id);
            if (!over && listener != null) {
                over = true;
                executor.execute(() -> listener.onClose(status, trailers));
            }
        }

        void attempt(Attempt attempt, ManagedChannel channel) {
            Received<R> into = new Received<>(attempt);
            Metadata sent = new Metadata();
            sent.merge(headers);
            sent.put(GrpcStatuses.CLASS, classNames.get(attempt.request().queryClass()));
            sent.put(GrpcStatuses.REQUEST, id);
            sent.put(GrpcStatuses.URGENCY, Integer.toString(attempt.request().priority()));
            long left = Math.max(1, attempt.giveUpAt() - loop.clock().now());
            ClientCall<Q, R> out =
                    channel.newCall(
                            method,
                            options.withDeadlineAfter(left, TimeUnit.MICROSECONDS)
                                    .withoutWaitForReady()
                                    .withExecutor(Runnable::run));
            attempt.setContext(new EngineCall(out));
            received = into;
            out.start(into, sent);
            out.request(Integer.MAX_VALUE);
            messages.forEach(out::sendMessage);
            out.halfClose();
        }

        @Override
        public void served(long tag, RequestResult result) {
            Received<R> whole = received;
            calls.remove(id);
            over = true;
            executor.execute(
                    () -> {
                        listener.onHeaders(whole.headers);
                        whole.messages.forEach(listener::onMessage);
                        listener.onClose(Status.OK, whole.trailers);
                    });
        }

        @Override
        public void rejected(long tag, long retryAfterMs) {
            Metadata trailers = new Metadata();
            trailers.put(GrpcStatuses.STAY_AWAY, Long.toString(retryAfterMs));
            end(
                    Status.UNAVAILABLE.withDescription(
                            "refused; stay away for " + retryAfterMs + " ms"),
                    trailers);
        }

        @Override
        public void failed(long tag, FailureReason why) {
            boolean told =
                    why == FailureReason.ENGINE && received != null && received.status != null;
            end(
                    why == FailureReason.DEADLINE
                            ? Status.DEADLINE_EXCEEDED.withDescription("not answered in time")
                            : told
                                    ? received.status
                                    : Status.INTERNAL.withDescription("failed; it may have run"),
                    told ? received.trailers : new Metadata());
        }
    }

    /** What an attempt has answered so far; its end is told on the loop. */
    private final class Received<R> extends ClientCall.Listener<R> {
        final Attempt attempt;
        final List<R> messages = new ArrayList<>();
        Metadata headers = new Metadata();
        Metadata trailers = new Metadata();
        Status status;

        Received(Attempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public void onHeaders(Metadata told) {
            headers = told;
        }

        @Override
        public void onMessage(R message) {
            messages.add(message);
        }

        @Override
        public void onClose(Status ended, Metadata told) {
            loop.post(
                    () -> {
                        trailers = told;
                        status = ended;
                        AttemptOutcome outcome =
                                ended.isOk()
                                        ? AttemptOutcome.OK
                                        : GrpcStatuses.outcome(
                                                ended, told, attempt.request().isNonIdempotent());
                        gateway.attemptEnded(
                                attempt, outcome, GrpcStatuses.report(headers, told), null);
                    });
        }
    }
}
