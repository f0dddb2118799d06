// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.engine;

import calicostream.flight.wire.EngineOperation;
import calicostream.flight.wire.FlightFrame;
import calicostream.flight.wire.FlightWire;
import calicostream.routing.AttemptOutcome;
import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.grpc.ClientCall;
import io.grpc.Metadata;
import io.grpc.Status;
import java.util.List;
import java.util.function.Consumer;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.sql.impl.FlightSql;

/**
 * An engine's handle of a prepared statement for the length of one attempt: lent by the statement,
 * or made. A lent handle that the engine may have forgotten is replaced once, but only where the
 * statement may run again: the failure alone does not prove that nothing ran.
 */
public final class PreparedStatementLease {
    private final EngineCall call;
    private final EngineOperation.Bound bound;
    private ByteString handle;
    private boolean fresh;
    private volatile boolean forgotten;

    PreparedStatementLease(EngineCall call, EngineOperation.Bound bound) {
        this.call = call;
        this.bound = bound;
    }

    /** On the loop: finds or makes a handle, then runs this with it, on any thread. */
    void take(Consumer<ByteString> then) {
        handle = bound.statement().acquire(call.attempt.engine());
        if (handle != null) {
            then.accept(handle);
        } else {
            make(then);
        }
    }

    private void make(Consumer<ByteString> then) {
        fresh = true;
        call.act(
                bound.action(),
                bound.request(),
                call.new Step<>() {
                    @Override
                    public void onCompleted() {
                        try {
                            handle =
                                    last == null
                                            ? ByteString.EMPTY
                                            : Any.parseFrom(last.getBody())
                                                    .unpack(
                                                            FlightSql
                                                                    .ActionCreatePreparedStatementResult
                                                                    .class)
                                                    .getPreparedStatementHandle();
                        } catch (InvalidProtocolBufferException e) {
                            handle = ByteString.EMPTY;
                        }
                        if (handle.isEmpty()) {
                            call.finish(AttemptOutcome.CONNECTION_BROKEN, null);
                        } else {
                            then.accept(handle);
                        }
                    }
                });
    }

    /**
     * Replaces a lent handle that the engine may have forgotten, and runs this with the new one.
     *
     * @param mayRunAgain whether the statement may be sent again after this failure
     * @return false if the failure ends the attempt
     */
    boolean replaceForgotten(Status status, boolean mayRunAgain, Consumer<ByteString> then) {
        boolean isUnknownHandle =
                status.getCode() == Status.Code.NOT_FOUND
                        || status.getCode() == Status.Code.INVALID_ARGUMENT;
        if (fresh || !isUnknownHandle) {
            return false;
        }
        forgotten = status.getCode() == Status.Code.NOT_FOUND;
        if (mayRunAgain) {
            make(then);
        }
        return mayRunAgain;
    }

    /**
     * Binds rows of parameters for a query; then runs this with the handle to use from there on.
     */
    void bind(Consumer<ByteString> then) {
        List<FlightFrame> rows = bound.rows();
        if (rows.isEmpty()) {
            then.accept(handle);
            return;
        }
        ByteString command =
                FlightWire.packed(
                        FlightSql.CommandPreparedStatementQuery.newBuilder()
                                .setPreparedStatementHandle(handle)
                                .build());
        put(
                call,
                command,
                rows,
                call.new Step<>() {
                    @Override
                    public void onCompleted() {
                        try {
                            FlightSql.DoPutPreparedStatementResult told =
                                    last == null
                                            ? FlightSql.DoPutPreparedStatementResult
                                                    .getDefaultInstance()
                                            : FlightSql.DoPutPreparedStatementResult.parseFrom(
                                                    last.getAppMetadata());
                            handle =
                                    told.hasPreparedStatementHandle()
                                            ? told.getPreparedStatementHandle()
                                            : handle;
                            then.accept(handle);
                        } catch (InvalidProtocolBufferException e) {
                            call.finish(AttemptOutcome.CONNECTION_BROKEN, null);
                        }
                    }
                });
    }

    /** On the loop, at the attempt's end. */
    void end(AttemptOutcome outcome) {
        if (forgotten && call.isConnected()) {
            // The next execution makes a handle instead of trying the others one after another.
            bound.statement().removeIdle(call.attempt.engine()).forEach(this::close);
        }
        if (handle == null || handle.isEmpty() || !call.isConnected()) {
            return; // After its connection a handle's name may be another's.
        }
        boolean good =
                outcome == AttemptOutcome.OK
                        && bound.statement().release(call.attempt.engine(), handle);
        if (!good && outcome != AttemptOutcome.RESET) {
            close(handle);
        }
    }

    private void close(ByteString unused) {
        call.engines.tidy(call.connection(), FlightWire.CLOSE_PREPARED, closing(unused), false);
    }

    public static ByteString closing(ByteString handle) {
        return FlightWire.packed(
                FlightSql.ActionClosePreparedStatementRequest.newBuilder()
                        .setPreparedStatementHandle(handle)
                        .build());
    }

    /** DoPut of a few frames that are on the heap; the first is the schema. */
    static void put(
            EngineCall call,
            ByteString command,
            List<FlightFrame> frames,
            EngineCall.Step<Flight.PutResult> answer) {
        call.run(
                () -> {
                    ClientCall<FlightFrame, Flight.PutResult> put =
                            call.channel().newCall(FlightWire.DO_PUT, call.timed());
                    put.start(
                            new ClientCall.Listener<>() {
                                @Override
                                public void onMessage(Flight.PutResult message) {
                                    answer.onNext(message);
                                    put.request(1);
                                }

                                @Override
                                public void onClose(Status status, Metadata trailers) {
                                    if (status.isOk()) {
                                        answer.onCompleted();
                                    } else {
                                        answer.onError(status.asRuntimeException(trailers));
                                    }
                                }
                            },
                            new Metadata());
                    put.request(1);
                    for (int i = 0; i < frames.size(); i++) {
                        put.sendMessage(
                                i == 0
                                        ? frames.get(0).describedBy(FlightWire.descriptor(command))
                                        : frames.get(i));
                    }
                    put.halfClose();
                });
    }
}
