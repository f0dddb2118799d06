// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.engine;

import calicostream.QueryRouter.Outcome;
import calicostream.core.Gateway;
import calicostream.flight.wire.Answers;
import calicostream.flight.wire.FlightWire;
import calicostream.flight.wire.Work;
import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.grpc.Metadata;
import java.util.ArrayList;
import java.util.List;
import org.apache.arrow.flight.impl.Flight;

/** Work that is one call with a short answer: an action, a schema, a plan. */
final class UnaryCall extends Call {
    private static final int MOST_RESULTS = 64;
    private final Work work;

    UnaryCall(FlightEngines engines, Gateway.Attempt attempt, Metadata with, Work work) {
        super(engines, attempt, with);
        this.work = work;
    }

    @Override
    void begin() {
        if (work instanceof Work.Act act) {
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
                                finish(Outcome.OK, new Answers.Acted(attempt.engine, results));
                            } else {
                                finish(Outcome.SPOILT, null);
                            }
                        }
                    });
        } else if (work instanceof Work.Describe describe) {
            run(
                    () ->
                            stub().getSchema(
                                            FlightWire.descriptor(describe.command()),
                                            new Step<Flight.SchemaResult>() {
                                                @Override
                                                public void onCompleted() {
                                                    finish(
                                                            last == null
                                                                    ? Outcome.SPOILT
                                                                    : Outcome.OK,
                                                            last == null
                                                                    ? null
                                                                    : new Answers.Described(
                                                                            last.getSchema()));
                                                }
                                            }));
        } else {
            plan(
                    ((Work.Plan) work).command(),
                    new Step<>() {
                        @Override
                        public void onCompleted() {
                            finish(
                                    last == null ? Outcome.SPOILT : Outcome.OK,
                                    last == null
                                            ? null
                                            : new Answers.Planned(attempt.engine, last));
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
