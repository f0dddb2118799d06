// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.engine;

import calicostream.core.Attempt;
import calicostream.flight.wire.EngineOperation;
import calicostream.flight.wire.EngineResult;
import calicostream.flight.wire.FlightWire;
import calicostream.routing.AttemptOutcome;
import calicostream.routing.ProgressKind;
import io.grpc.Metadata;
import io.grpc.Status;
import org.apache.arrow.flight.impl.Flight;

/**
 * A long query that the engine tells the progress of: asked again until it is done, its news handed
 * to the module as notes. An engine that knows no polling is asked for the plan at once. So is each
 * engine where the query must not run twice: UNIMPLEMENTED does not prove that a poll ran nothing.
 */
final class PollCall extends EngineCall {
    private static final long AT_ONCE = 10_000;
    private static final long PAUSE = 100_000;
    private final EngineOperation.Poll work;
    private Flight.FlightDescriptor next;
    private double share = -1;
    private long askedAt;

    PollCall(
            FlightEngineClient engines, Attempt attempt, Metadata with, EngineOperation.Poll work) {
        super(engines, attempt, with);
        this.work = work;
    }

    @Override
    void begin() {
        next = FlightWire.descriptor(work.command());
        if (attempt.request().isIdempotent()) {
            ask();
        } else {
            plan();
        }
    }

    private void ask() {
        askedAt = engines.loop.clock().now();
        run(
                () ->
                        stub().pollFlightInfo(
                                        next,
                                        new Step<Flight.PollInfo>() {
                                            @Override
                                            public void onCompleted() {
                                                answered(last);
                                            }

                                            @Override
                                            public void onError(Throwable error) {
                                                if (Status.fromThrowable(error).getCode()
                                                                == Status.Code.UNIMPLEMENTED
                                                        && share < 0) {
                                                    plan();
                                                } else {
                                                    failed(error);
                                                }
                                            }
                                        }));
    }

    private void plan() {
        plan(
                work.command(),
                new Step<>() {
                    @Override
                    public void onCompleted() {
                        finish(
                                last == null ? AttemptOutcome.CONNECTION_BROKEN : AttemptOutcome.OK,
                                last == null ? null : new EngineResult.Planned(connection(), last));
                    }
                });
    }

    private void answered(Flight.PollInfo told) {
        if (told == null) {
            finish(AttemptOutcome.CONNECTION_BROKEN, null);
        } else if (!told.hasFlightDescriptor()) {
            finish(AttemptOutcome.OK, new EngineResult.Planned(connection(), told.getInfo()));
        } else {
            next = told.getFlightDescriptor();
            double to = told.hasProgress() ? told.getProgress() : 0;
            boolean news = to > share;
            share = Math.max(share, to);
            engines.loop.post(
                    () -> {
                        if (news && to > 0 && to <= 1) {
                            engines.gateway()
                                    .attemptProgressed(attempt, ProgressKind.FRACTION_DONE, to);
                            work.progress().accept(to);
                        } else { // It says that it is there, if no more.
                            engines.gateway().attemptProgressed(attempt, ProgressKind.OTHER, 0);
                        }
                        boolean early = engines.loop.clock().now() - askedAt < AT_ONCE;
                        if (isOver()) {
                            return;
                        }
                        if (early) { // The engine should have waited for news itself.
                            engines.loop
                                    .deadlines()
                                    .add(
                                            engines.loop.clock().now() + PAUSE,
                                            (now, ref) -> ask(),
                                            0);
                        } else {
                            ask();
                        }
                    });
        }
    }
}
