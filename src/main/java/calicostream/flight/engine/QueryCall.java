// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.engine;

import calicostream.QueryRouter.Outcome;
import calicostream.core.Gateway;
import calicostream.flight.state.ResultGate;
import calicostream.flight.wire.Answers;
import calicostream.flight.wire.FlightWire;
import calicostream.flight.wire.Frame;
import calicostream.flight.wire.Work;
import com.google.protobuf.ByteString;
import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.Metadata;
import io.grpc.Status;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.sql.impl.FlightSql;

/**
 * A query and its result: the endpoints are read in order, as one stream. What the gate holds is
 * kept until the engine has ended without error; once it lets the stream begin, one frame at a time
 * is drawn, when the sink takes it.
 */
final class QueryCall extends Call implements Answers.Stream {
    private final ByteString command;
    private final Lease lease;
    private final ResultGate gate;
    private final boolean streams;
    private List<ByteString> tickets = List.of();
    private List<Frame> held = new ArrayList<>();
    private final AtomicBoolean drawn = new AtomicBoolean(); // a frame has been asked for
    private int nextTicket;
    private long reserved;
    private boolean hasSchema, flows;
    private volatile Answers.Sink sink;
    private volatile long stalledSince;
    private volatile ClientCall<Flight.Ticket, Frame> get;

    QueryCall(FlightEngines engines, Gateway.Attempt attempt, Metadata with, Work.Query work) {
        this(engines, attempt, with, work.command(), work.bound(), work.streams());
    }

    QueryCall(FlightEngines engines, Gateway.Attempt attempt, Metadata with, Work.Fetch work) {
        this(engines, attempt, with, null, null, work.streams());
        tickets = work.tickets();
    }

    private QueryCall(
            FlightEngines engines,
            Gateway.Attempt attempt,
            Metadata with,
            ByteString command,
            Work.Bound bound,
            boolean streams) {
        super(engines, attempt, with);
        this.command = command;
        this.streams = streams;
        lease = bound == null ? null : new Lease(this, bound);
        gate =
                new ResultGate(
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
        plan(
                what,
                new Step<>() {
                    @Override
                    public void onCompleted() {
                        if (last == null) {
                            finish(Outcome.SPOILT, null);
                        } else {
                            tickets =
                                    last.getEndpointList().stream()
                                            .map(each -> each.getTicket().getTicket())
                                            .toList();
                            fetch();
                        }
                    }
                });
    }

    @Override
    void failed(Throwable error) {
        boolean whole = held.isEmpty() && !gate.hasBegun();
        if (lease == null
                || !whole
                || !lease.again(Status.fromThrowable(error), this::bindAndPlan)) {
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
                    ClientCall<Flight.Ticket, Frame> call =
                            channel()
                                    .newCall(
                                            FlightWire.DO_GET,
                                            streams ? CallOptions.DEFAULT : timed());
                    get = call;
                    call.start(
                            new ClientCall.Listener<>() {
                                @Override
                                public void onMessage(Frame frame) {
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

    private void arrived(Frame frame) {
        drawn.set(false);
        if (isOver()) {
            frame.release();
            return;
        }
        Frame.Kind kind = frame.kind();
        boolean again =
                kind == Frame.Kind.SCHEMA
                        && hasSchema; // Of several parts only the first brings a schema.
        if (kind == Frame.Kind.BAD
                || !hasSchema && (kind == Frame.Kind.BATCH || kind == Frame.Kind.DICTIONARY)) {
            frame.release();
            finish(Outcome.SPOILT, null);
            context.cancel(null);
            return;
        }
        if (again || kind == Frame.Kind.NO_ARROW && frame.metadata().isEmpty()) {
            frame.release();
            pull();
            return;
        }
        hasSchema |= kind == Frame.Kind.SCHEMA;
        boolean room = !gate.hasBegun() && engines.admission.reserve(frame.bytes());
        switch (gate.next(frame.bytes(), room)) {
            case HOLD:
                reserved += frame.bytes();
                held.add(frame);
                pull();
                break;
            case BEGIN:
                reserved += room ? frame.bytes() : 0;
                held.add(frame);
                flows = engines.admission.beginStream();
                if (!flows) { // Nothing has gone to the client, so this is a refusal like any
                    // other.
                    conclude(Status.UNAVAILABLE.withDescription("too many streams"));
                    context.cancel(null);
                    break;
                }
                engines.loop.post(() -> engines.gateway().begun(attempt, this));
                break;
            case PASS:
                sink.frame(frame);
                pull();
                break;
            default:
                reserved += room ? frame.bytes() : 0;
                frame.release();
                tooLong(gate.bound(), "all");
                break;
        }
    }

    /** The result has been read to its end. */
    private void whole() {
        if (!hasSchema) {
            finish(Outcome.ERROR, null);
        } else if (gate.hasBegun()) {
            finish(Outcome.OK, null);
        } else {
            List<Frame> all = held;
            long bytes = reserved;
            held = List.of();
            reserved = 0;
            finish(Outcome.OK, new Answers.Held(all, () -> engines.admission.release(bytes)));
        }
    }

    // ---- Flow
    // -------------------------------------------------------------------------------------------
    @Override
    public void flow(Answers.Sink to) {
        List<Frame> first = held;
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
        Answers.Sink to = sink;
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
    void ended(Outcome outcome) {
        held.forEach(Frame::release);
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
