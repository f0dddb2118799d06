// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.engine;

import calicostream.core.Attempt;
import calicostream.core.AttemptContext;
import calicostream.core.RequestResult;
import calicostream.flight.state.EngineConnection;
import calicostream.flight.wire.EngineOperation;
import calicostream.flight.wire.EngineResult;
import calicostream.flight.wire.FlightWire;
import calicostream.grpc.GrpcStatuses;
import calicostream.routing.AttemptOutcome;
import calicostream.routing.LoadReport;
import com.google.protobuf.ByteString;
import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientInterceptors;
import io.grpc.Context;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.stub.MetadataUtils;
import io.grpc.stub.StreamObserver;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.impl.FlightServiceGrpc;

/**
 * One attempt at an engine. It begins on the loop; gRPC's threads use it one after another; its end
 * is told on the loop.
 */
abstract class EngineCall implements AttemptContext {
    /** Words that engines have for a statement that none of them can run. */
    private static final Set<Status.Code> OWN_WORDS =
            Set.of(
                    Status.Code.INVALID_ARGUMENT,
                    Status.Code.NOT_FOUND,
                    Status.Code.ALREADY_EXISTS,
                    Status.Code.UNIMPLEMENTED,
                    Status.Code.PERMISSION_DENIED,
                    Status.Code.FAILED_PRECONDITION,
                    Status.Code.OUT_OF_RANGE,
                    Status.Code.ABORTED);

    private static final Status CONNECTION_ENDED =
            Status.ABORTED.withDescription(
                    "the transaction is dead: the connection to its engine ended; begin anew");

    private static final String LOCAL_BOUND =
            "gRPC message exceeds maximum size"; // how gRPC says it of what it reads
    final FlightEngineClient engines;
    final Attempt attempt;
    final Context.CancellableContext context = Context.ROOT.withCancellation();
    final AtomicReference<Metadata> headers = new AtomicReference<>();
    final AtomicReference<Metadata> trailers = new AtomicReference<>();
    private final AtomicBoolean over = new AtomicBoolean();
    private final Metadata sent = new Metadata();
    private Channel channel;
    private EngineConnection connection;
    private LongSupplier currentConnection;

    EngineCall(FlightEngineClient engines, Attempt attempt, Metadata with) {
        this.engines = engines;
        this.attempt = attempt;
        sent.merge(with);
        sent.put(
                GrpcStatuses.QUERY_CLASS,
                engines.settings.classNames().get(attempt.request().queryClass()));
        sent.put(GrpcStatuses.REQUEST_ID, attempt.request().id());
        sent.put(GrpcStatuses.PRIORITY, Integer.toString(attempt.request().priority()));
    }

    /** The channel is up. On the loop. */
    final void begin(ManagedChannel up) {
        currentConnection = engines.connectionNumber(attempt.engine());
        connection = new EngineConnection(attempt.engine(), currentConnection.getAsLong());
        long required = requiredConnection();
        if (required != 0 && required != connection.number()) {
            conclude(CONNECTION_ENDED);
            return;
        }
        channel =
                ClientInterceptors.intercept(
                        up,
                        MetadataUtils.newAttachHeadersInterceptor(sent),
                        MetadataUtils.newCaptureMetadataInterceptor(headers, trailers));
        run(this::begin);
    }

    private long requiredConnection() {
        return attempt.request().operation() instanceof EngineOperation.Job job
                ? job.connection().number()
                : 0;
    }

    /** The connection on which the attempt began. */
    final EngineConnection connection() {
        return connection;
    }

    /** Whether the connection on which the attempt began has not ended. */
    final boolean isConnected() {
        return currentConnection.getAsLong() == connection.number();
    }

    /** On the loop, in the attempt's context. */
    abstract void begin();

    /**
     * Runs a step of the attempt. A step that follows the end of its connection is not run: what
     * the steps before it made is of a process that may be gone.
     */
    final void run(Runnable work) {
        if (isConnected()) {
            context.run(work);
        } else {
            finish(AttemptOutcome.RESET, null);
        }
    }

    final Channel channel() {
        return channel;
    }

    /** Options of a call that ends with the attempt's time. */
    final CallOptions timed() {
        long left = Math.max(1, attempt.timeoutAt() - engines.loop.clock().now());
        return CallOptions.DEFAULT.withDeadlineAfter(left, TimeUnit.MICROSECONDS);
    }

    final FlightServiceGrpc.FlightServiceStub stub() {
        long left = Math.max(1, attempt.timeoutAt() - engines.loop.clock().now());
        return FlightServiceGrpc.newStub(channel).withDeadlineAfter(left, TimeUnit.MICROSECONDS);
    }

    final void act(String type, ByteString body, StreamObserver<Flight.Result> answer) {
        run(
                () ->
                        stub().doAction(
                                        Flight.Action.newBuilder()
                                                .setType(type)
                                                .setBody(body)
                                                .build(),
                                        answer));
    }

    final void plan(ByteString command, StreamObserver<Flight.FlightInfo> answer) {
        run(() -> stub().getFlightInfo(FlightWire.descriptor(command), answer));
    }

    /** The attempt has ended; the first end told counts. */
    final void finish(AttemptOutcome outcome, RequestResult result) {
        if (over.compareAndSet(false, true)) {
            LoadReport report = GrpcStatuses.loadReport(headers.get(), trailers.get());
            engines.loop.post(
                    () -> {
                        ended(outcome);
                        if (outcome == AttemptOutcome.RESET
                                || outcome == AttemptOutcome.CONNECT_FAILED) {
                            engines.lost(attempt.engine());
                        }
                        if (!engines.gateway().attemptEnded(attempt, outcome, report, result)
                                && result instanceof EngineResult.Held held) {
                            held.drop();
                        }
                    });
        }
    }

    /** The request has its final answer, and the engine no fault in it. */
    final void conclude(Status word) {
        if (over.compareAndSet(false, true)) {
            LoadReport report = GrpcStatuses.loadReport(headers.get(), trailers.get());
            engines.loop.post(
                    () -> {
                        ended(AttemptOutcome.CANCELLED);
                        engines.gateway()
                                .attemptEndedWithStatus(
                                        attempt, report, new EngineResult.Word(word));
                    });
        }
    }

    /** On the loop, before the core hears of the end. */
    void ended(AttemptOutcome outcome) {}

    final boolean isOver() {
        return over.get();
    }

    /** What a failed call ends the attempt with. */
    void failed(Throwable error) {
        Status status = Status.fromThrowable(error);
        if (isOwnWord(status)) {
            conclude(status);
        } else if (isOverBound(status)) {
            tooLong(engines.config.maxMessageBytes(), "one message");
        } else {
            finish(outcome(status), null);
        }
    }

    AttemptOutcome outcome(Status status) {
        return GrpcStatuses.outcomeOf(status, trailers.get(), attempt.request().isIdempotent());
    }

    /**
     * Whether the engine may be sent the statement again within this attempt, after it has failed a
     * call that asked it to run the statement. The status alone proves nothing: an engine may tell
     * any of them of something that it met after it had begun.
     */
    final boolean mayRunAgain() {
        return attempt.request().isIdempotent() || GrpcStatuses.provesNeverRan(trailers.get());
    }

    final boolean isOwnWord(Status status) {
        boolean passed =
                engines.config.passTokens() && status.getCode() == Status.Code.UNAUTHENTICATED;
        return OWN_WORDS.contains(status.getCode()) || passed;
    }

    static boolean isOverBound(Status status) {
        String text = status.getDescription();
        return status.getCode() == Status.Code.RESOURCE_EXHAUSTED
                && text != null
                && text.contains(LOCAL_BOUND);
    }

    final void tooLong(long bound, String what) {
        conclude(
                Status.RESOURCE_EXHAUSTED.withDescription(
                        what
                                + " of the result is over the bound of "
                                + bound
                                + " bytes; it would be again"));
        context.cancel(null);
    }

    /** An answer of one message; any error of any step ends the attempt. */
    abstract class Step<T> implements StreamObserver<T> {
        T last;

        @Override
        public void onNext(T message) {
            last = message;
        }

        @Override
        public void onError(Throwable error) {
            failed(error);
        }
    }
}
