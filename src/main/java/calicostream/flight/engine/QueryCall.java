// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.engine;

import calicostream.core.Attempt;
import calicostream.core.TextResult;
import calicostream.flight.ArrowRows;
import calicostream.flight.ResultTooLongException;
import calicostream.flight.state.ResultBuffering;
import calicostream.flight.wire.EngineOperation;
import calicostream.flight.wire.EngineResult;
import calicostream.flight.wire.FlightFrame;
import calicostream.flight.wire.FlightWire;
import calicostream.routing.AttemptOutcome;
import com.google.protobuf.ByteString;
import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.Metadata;
import io.grpc.Status;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.sql.impl.FlightSql;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A query and its result: the endpoints are read in order, as one stream. What the gate holds is
 * kept until the engine has ended without error; once it lets the stream begin, one frame at a time
 * is drawn, when the sink takes it.
 */
final class QueryCall extends EngineCall implements EngineResult.Stream {
    private static final Logger LOG = LoggerFactory.getLogger(QueryCall.class);
    private final ByteString command;
    private final PreparedStatementLease lease;
    private final ResultBuffering gate;
    private final boolean streams;
    private final boolean asText;
    private List<ByteString> tickets = List.of();
    private List<FlightFrame> held = new ArrayList<>();
    private final AtomicBoolean drawn = new AtomicBoolean(); // a frame has been asked for
    private int nextTicket;
    private long reserved;
    private boolean hasSchema, flows;
    // The engine may run the statement from its GetFlightInfo on.
    private volatile boolean planned;
    private volatile EngineResult.Sink sink;
    private volatile long stalledSince;
    private volatile ClientCall<Flight.Ticket, FlightFrame> get;

    QueryCall(
            FlightEngineClient engines,
            Attempt attempt,
            Metadata with,
            EngineOperation.Query work) {
        this(engines, attempt, with, work.command(), work.bound(), work.streams());
    }

    QueryCall(
            FlightEngineClient engines,
            Attempt attempt,
            Metadata with,
            EngineOperation.Fetch work) {
        this(engines, attempt, with, null, null, work.streams());
        tickets = work.tickets();
    }

    private QueryCall(
            FlightEngineClient engines,
            Attempt attempt,
            Metadata with,
            ByteString command,
            EngineOperation.Bound bound,
            boolean streams) {
        super(engines, attempt, with);
        this.command = command;
        this.streams = streams;
        // A request without work of this protocol is a platform client's, which reads text.
        asText = !(attempt.request().operation() instanceof EngineOperation.Job);
        lease = bound == null ? null : new PreparedStatementLease(this, bound);
        gate =
                new ResultBuffering(
                        streams ? engines.config.holdBytes() : engines.config.mostHeldBytes(),
                        engines.config.mostResultBytes(),
                        streams);
    }

    // ---- What to fetch
    // ----------------------------------------------------------------------------------
    @Override
    void begin() {
        if (lease != null) {
            lease.take(this::bindAndPlan);
        } else if (command != null) {
            planFor(command);
        } else {
            fetch();
        }
    }

    private void bindAndPlan(ByteString handle) {
        lease.bind(
                bound ->
                        planFor(
                                FlightWire.packed(
                                        FlightSql.CommandPreparedStatementQuery.newBuilder()
                                                .setPreparedStatementHandle(bound)
                                                .build())));
    }

    private void planFor(ByteString what) {
        planned = true;
        plan(
                what,
                new Step<>() {
                    @Override
                    public void onCompleted() {
                        if (last == null) {
                            finish(AttemptOutcome.CONNECTION_BROKEN, null);
                        } else {
                            tickets =
                                    last.getEndpointList().stream()
                                            .map(each -> each.getTicket().getTicket())
                                            .toList();
                            nextTicket = 0; // Also where parts of an earlier plan were tried.
                            fetch();
                        }
                    }
                });
    }

    @Override
    void failed(Throwable error) {
        boolean whole = held.isEmpty() && !gate.isStreaming();
        if (lease == null
                || !whole
                || !lease.replaceForgotten(
                        Status.fromThrowable(error),
                        !planned || mayRunAgain(),
                        this::bindAndPlan)) {
            super.failed(error);
        }
    }

    // ---- Fetching
    // ---------------------------------------------------------------------------------------
    /** Fetches the next part of the result; the result is whole once there is no further one. */
    private void fetch() {
        if (nextTicket == tickets.size()) {
            whole();
            return;
        }
        Flight.Ticket ticket = FlightWire.ticket(tickets.get(nextTicket++));
        run(
                () -> {
                    // A stream that has begun belongs to its client, and ends by the client's
                    // deadline only.
                    ClientCall<Flight.Ticket, FlightFrame> call =
                            channel()
                                    .newCall(
                                            FlightWire.DO_GET,
                                            streams ? CallOptions.DEFAULT : timed());
                    get = call;
                    call.start(
                            new ClientCall.Listener<>() {
                                @Override
                                public void onMessage(FlightFrame frame) {
                                    arrived(frame);
                                }

                                @Override
                                public void onClose(Status status, Metadata trailers) {
                                    if (!status.isOk()) {
                                        failed(status.asRuntimeException(trailers));
                                    } else if (!isOver()) {
                                        fetch();
                                    }
                                }
                            },
                            new Metadata());
                    call.sendMessage(ticket);
                    call.halfClose();
                    drawn.set(false);
                    pull();
                });
    }

    private void arrived(FlightFrame frame) {
        drawn.set(false);
        if (isOver()) {
            frame.release();
            return;
        }
        FlightFrame.Kind kind = frame.kind();
        boolean again =
                kind == FlightFrame.Kind.SCHEMA
                        && hasSchema; // Of several parts only the first brings a schema.
        if (kind == FlightFrame.Kind.BAD
                || !hasSchema
                        && (kind == FlightFrame.Kind.BATCH
                                || kind == FlightFrame.Kind.DICTIONARY)) {
            frame.release();
            finish(AttemptOutcome.CONNECTION_BROKEN, null);
            context.cancel(null);
            return;
        }
        if (again || kind == FlightFrame.Kind.NO_ARROW && frame.metadata().isEmpty()) {
            frame.release();
            pull();
            return;
        }
        hasSchema |= kind == FlightFrame.Kind.SCHEMA;
        boolean room = !gate.isStreaming() && engines.admission.reserve(frame.bytes());
        switch (gate.next(frame.bytes(), room)) {
            case BUFFER:
                reserved += frame.bytes();
                held.add(frame);
                pull();
                break;
            case START_STREAM:
                reserved += room ? frame.bytes() : 0;
                held.add(frame);
                flows = engines.admission.beginStream();
                if (!flows) { // Nothing has gone to the client, so this is a refusal like any
                    // other.
                    conclude(Status.UNAVAILABLE.withDescription("too many streams"));
                    context.cancel(null);
                    break;
                }
                engines.loop.post(() -> engines.gateway().streamBegan(attempt, this));
                break;
            case FORWARD:
                sink.frame(frame);
                pull();
                break;
            default:
                reserved += room ? frame.bytes() : 0;
                frame.release();
                tooLong(gate.exceededLimit(), "all");
                break;
        }
    }

    /** The result has been read to its end. */
    private void whole() {
        if (!hasSchema) {
            finish(AttemptOutcome.ERROR, null);
        } else if (gate.isStreaming()) {
            finish(AttemptOutcome.OK, null);
        } else {
            EngineResult.Held result = takeHeld();
            if (asText) {
                finishWithText(result);
            } else {
                finish(AttemptOutcome.OK, result);
            }
        }
    }

    private EngineResult.Held takeHeld() {
        List<FlightFrame> all = held;
        long bytes = reserved;
        held = List.of();
        reserved = 0;
        return new EngineResult.Held(all, () -> engines.admission.release(bytes));
    }

    /**
     * Ends the attempt with the result as text. A result that can't be read is found here, where
     * the attempt can still fail and be repeated, and not on the loop.
     */
    private void finishWithText(EngineResult.Held result) {
        long maxChars = engines.config.mostHeldBytes();
        try {
            byte[] text = ArrowRows.text(result.frames(), maxChars);
            finish(AttemptOutcome.OK, new TextResult(text));
        } catch (ResultTooLongException e) {
            tooLong(maxChars, "the text");
        } catch (IOException | RuntimeException | Error e) {
            LOG.warn(
                    "request {}: engine {} sent a result that can't be read: {}",
                    attempt.request().id(),
                    attempt.engine(),
                    e.toString());
            finish(AttemptOutcome.CONNECTION_BROKEN, null);
        } finally {
            result.drop();
        }
    }

    // ---- Flow
    // -------------------------------------------------------------------------------------------
    @Override
    public void flow(EngineResult.Sink to) {
        List<FlightFrame> first = held;
        held = List.of();
        first.forEach(to::frame);
        engines.admission.release(reserved);
        reserved = 0;
        sink = to;
        to.onReady(this::pull);
        pull();
    }

    /**
     * Asks for one frame more, if the sink takes one; else the sink calls this again once it does.
     */
    private void pull() {
        EngineResult.Sink to = sink;
        if (to != null && !to.isReady()) {
            stalledSince = stalledSince == 0 ? engines.loop.clock().now() : stalledSince;
        } else if (drawn.compareAndSet(false, true)) {
            stalledSince = 0;
            get.request(1);
        }
    }

    @Override
    public long stalledSince() {
        return stalledSince;
    }

    @Override
    void ended(AttemptOutcome outcome) {
        held.forEach(FlightFrame::release);
        engines.admission.release(reserved);
        reserved = 0;
        held = List.of();
        if (flows) {
            flows = false;
            engines.admission.endStream();
        }
        if (lease != null) {
            lease.end(outcome);
        }
    }
}
