// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.engine;

import calicostream.core.Attempt;
import calicostream.flight.wire.EngineOperation;
import calicostream.flight.wire.EngineResult;
import calicostream.flight.wire.FlightFrame;
import calicostream.flight.wire.FlightWire;
import calicostream.routing.AttemptOutcome;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.grpc.Metadata;
import io.grpc.Status;
import java.util.List;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.sql.impl.FlightSql;
import org.apache.arrow.vector.types.pojo.Schema;

/**
 * An update: a DoPut that brings the statement, and the rows bound to it where it is a prepared
 * one.
 */
final class UpdateCall extends EngineCall {
    private final EngineOperation.Update work;
    private final PreparedStatementLease lease;

    UpdateCall(
            FlightEngineClient engines,
            Attempt attempt,
            Metadata with,
            EngineOperation.Update work) {
        super(engines, attempt, with);
        this.work = work;
        lease = work.bound() == null ? null : new PreparedStatementLease(this, work.bound());
    }

    static FlightFrame noRows() {
        return FlightFrame.of(
                ByteString.EMPTY,
                FlightWire.schemaHeader(new Schema(List.of())),
                ByteString.EMPTY,
                ByteString.EMPTY);
    }

    @Override
    void begin() {
        if (lease == null) {
            put(work.command(), List.of(noRows()));
        } else {
            lease.take(this::put);
        }
    }

    private void put(ByteString handle) {
        List<FlightFrame> rows = work.bound().rows();
        put(
                FlightWire.packed(
                        FlightSql.CommandPreparedStatementUpdate.newBuilder()
                                .setPreparedStatementHandle(handle)
                                .build()),
                rows.isEmpty() ? List.of(noRows()) : rows);
    }

    private void put(ByteString command, List<FlightFrame> frames) {
        PreparedStatementLease.put(
                this,
                command,
                frames,
                new Step<>() {
                    @Override
                    public void onCompleted() {
                        finish(last);
                    }

                    @Override
                    public void onError(Throwable error) {
                        Status status = Status.fromThrowable(error);
                        if (lease == null
                                || status.getCode() != Status.Code.NOT_FOUND
                                || !lease.replaceForgotten(
                                        status, mayRunAgain(), UpdateCall.this::put)) {
                            failed(error);
                        }
                    }
                });
    }

    /** An engine that says nothing of the outcome has not said that it ran. */
    private void finish(Flight.PutResult told) {
        try {
            finish(
                    told == null ? AttemptOutcome.ERROR : AttemptOutcome.OK,
                    told == null
                            ? null
                            : new EngineResult.Counted(
                                    FlightSql.DoPutUpdateResult.parseFrom(told.getAppMetadata())
                                            .getRecordCount()));
        } catch (InvalidProtocolBufferException e) {
            finish(AttemptOutcome.ERROR, null);
        }
    }

    @Override
    void ended(AttemptOutcome outcome) {
        if (lease != null) {
            lease.end(outcome);
        }
    }
}
