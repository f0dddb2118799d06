// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.engine;

import calicostream.core.Attempt;
import calicostream.flight.wire.EngineOperation;
import calicostream.flight.wire.EngineResult;
import calicostream.flight.wire.FlightFrame;
import calicostream.flight.wire.FlightWire;
import calicostream.flight.wire.Upload;
import calicostream.routing.AttemptOutcome;
import calicostream.routing.ProgressKind;
import com.google.protobuf.InvalidProtocolBufferException;
import io.grpc.ClientCall;
import io.grpc.Metadata;
import io.grpc.Status;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.sql.impl.FlightSql;

/**
 * Rows from a client to an engine, one frame at a time and no faster than the engine takes them. An
 * attempt counts as never run in two cases: its connection ended before rows or the end of the
 * upload went out, so that the engine had no whole request; or the engine proves it by its status.
 */
final class IngestCall extends EngineCall implements Upload.Receiver {
    private static final long NOTE_EVERY = 200_000;
    private final EngineOperation.Ingest work;
    private final AtomicBoolean drawing = new AtomicBoolean();
    private final AtomicBoolean closed = new AtomicBoolean();
    private ClientCall<FlightFrame, Flight.PutResult> put;
    private Flight.PutResult told;
    private volatile boolean schemaSent;
    private long notedAt;

    IngestCall(
            FlightEngineClient engines,
            Attempt attempt,
            Metadata with,
            EngineOperation.Ingest work) {
        super(engines, attempt, with);
        this.work = work;
    }

    @Override
    void begin() {
        if (!work.upload().to(this)) {
            finish(AttemptOutcome.ERROR, null);
            return;
        }
        put = channel().newCall(FlightWire.DO_PUT, timed());
        put.start(
                new ClientCall.Listener<>() {
                    @Override
                    public void onMessage(Flight.PutResult message) {
                        told = message;
                        put.request(1);
                    }

                    @Override
                    public void onReady() {
                        draw();
                    }

                    @Override
                    public void onClose(Status status, Metadata trailers) {
                        closed(status);
                    }
                },
                new Metadata());
        put.request(1);
        put.sendMessage(work.upload().schema().describedBy(FlightWire.descriptor(work.command())));
        schemaSent = true;
        draw();
    }

    /**
     * One frame is asked for at a time, and none before the schema is out, which the loop's thread
     * sends.
     */
    private void draw() {
        if (schemaSent && put.isReady() && drawing.compareAndSet(false, true)) {
            work.upload().draw(this);
        }
    }

    @Override
    public void frame(FlightFrame frame) {
        if (isOver()) {
            frame.release();
            return;
        }
        put.sendMessage(frame);
        drawing.set(false);
        note();
        draw();
    }

    /** Rows that go out are news, so that a long upload is not taken for one that hangs. */
    private void note() {
        long now = engines.loop.clock().now();
        if (now - notedAt > NOTE_EVERY) {
            notedAt = now;
            engines.loop.post(
                    () -> engines.gateway().attemptProgressed(attempt, ProgressKind.OTHER, 0));
        }
    }

    @Override
    public void end() {
        if (closed.compareAndSet(false, true)) {
            put.halfClose();
        }
    }

    private void closed(Status status) {
        // Asked once: what is on its way here must not be lost with this call.
        Upload.Sent sent = work.upload().leave(this);
        AttemptOutcome outcome = outcome(status);
        if (status.isOk()) {
            finishWithCount();
        } else if (isOwnWord(status)) {
            conclude(status);
        } else if (sent == Upload.Sent.NOTHING && status.getCode() == Status.Code.UNAVAILABLE) {
            // The connection ended before the engine had a whole request.
            finish(AttemptOutcome.CONNECT_FAILED, null);
        } else if (sent == Upload.Sent.ROWS && outcome == AttemptOutcome.OVERLOADED) {
            // The engine has stored no row, but those sent are gone.
            conclude(Status.UNAVAILABLE.withDescription("refused by the engine"));
        } else {
            finish(outcome, null);
        }
    }

    private void finishWithCount() {
        if (told == null) {
            finish(AttemptOutcome.ERROR, null);
            return;
        }
        try {
            long rows =
                    FlightSql.DoPutUpdateResult.parseFrom(told.getAppMetadata()).getRecordCount();
            finish(AttemptOutcome.OK, new EngineResult.Counted(rows));
        } catch (InvalidProtocolBufferException e) {
            finish(AttemptOutcome.ERROR, null);
        }
    }
}
