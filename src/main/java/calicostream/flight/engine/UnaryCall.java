// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.engine;

import calicostream.core.Attempt;
import calicostream.flight.wire.EngineOperation;
import calicostream.flight.wire.EngineResult;
import calicostream.flight.wire.FlightWire;
import calicostream.routing.AttemptOutcome;
import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.grpc.Metadata;
import java.util.ArrayList;
import java.util.List;
import org.apache.arrow.flight.impl.Flight;

/** Work that is one call with a short answer: an action, a schema, a plan. */
final class UnaryCall extends EngineCall {
    private static final int MOST_RESULTS = 64;
    private final EngineOperation work;

    UnaryCall(FlightEngineClient engines, Attempt attempt, Metadata with, EngineOperation work) {
        super(engines, attempt, with);
        this.work = work;
    }

    @Override
    void begin() {
        if (work instanceof EngineOperation.Act act) {
            List<ByteString> results = new ArrayList<>();
            act(
                    act.type(),
                    act.body(),
                    new Step<>() {
                        @Override
                        public void onNext(Flight.Result result) {
                            if (results.size() < MOST_RESULTS) {
                                results.add(result.getBody());
                            }
                        }

                        @Override
                        public void onCompleted() {
                            if (results.stream().allMatch(UnaryCall::isPacked)) {
                                finish(
                                        AttemptOutcome.OK,
                                        new EngineResult.Acted(connection(), results));
                            } else {
                                finish(AttemptOutcome.CONNECTION_BROKEN, null);
                            }
                        }
                    });
        } else if (work instanceof EngineOperation.Describe describe) {
            run(
                    () ->
                            stub().getSchema(
                                            FlightWire.descriptor(describe.command()),
                                            new Step<Flight.SchemaResult>() {
                                                @Override
                                                public void onCompleted() {
                                                    finish(
                                                            last == null
                                                                    ? AttemptOutcome
                                                                            .CONNECTION_BROKEN
                                                                    : AttemptOutcome.OK,
                                                            last == null
                                                                    ? null
                                                                    : new EngineResult.Described(
                                                                            last.getSchema()));
                                                }
                                            }));
        } else {
            plan(
                    ((EngineOperation.Plan) work).command(),
                    new Step<>() {
                        @Override
                        public void onCompleted() {
                            finish(
                                    last == null
                                            ? AttemptOutcome.CONNECTION_BROKEN
                                            : AttemptOutcome.OK,
                                    last == null
                                            ? null
                                            : new EngineResult.Planned(connection(), last));
                        }
                    });
        }
    }

    /** Whether an action's result is a message as Flight SQL packs them. */
    private static boolean isPacked(ByteString body) {
        try {
            return !Any.parseFrom(body).getTypeUrl().isEmpty();
        } catch (InvalidProtocolBufferException e) {
            return false;
        }
    }
}
