// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import calicostream.core.FailureReason;
import calicostream.core.RequestResult;
import calicostream.flight.wire.EngineResult;
import io.grpc.Status;

/** Where the one answer of a request goes, on the loop. */
interface ResponseCallback {
    void served(RequestResult result);

    void refused(long stayAwayMs);

    void failed(FailureReason why);

    /** The engine's own word on the statement. */
    void word(Status status);

    default void begun(EngineResult.Stream stream) {
        throw new IllegalStateException("this request's result must be whole");
    }

    /** The client left before there was an answer. */
    default void left() {}

    /** Answers a call with what the engine brought, or with why it did not. */
    abstract class To<R> implements ResponseCallback {
        final ServerCall<R> to;

        To(ServerCall<R> to) {
            this.to = to;
        }

        @Override
        public void refused(long stayAwayMs) {
            to.fail(FlightStatuses.refusal(stayAwayMs), stayAwayMs);
        }

        @Override
        public void failed(FailureReason why) {
            to.fail(FlightStatuses.failure(why));
        }

        @Override
        public void word(Status status) {
            to.fail(status);
        }
    }
}
