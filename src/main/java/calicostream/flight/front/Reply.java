// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import calicostream.core.Front;
import calicostream.flight.wire.Answers;
import io.grpc.Status;

/** Where the one answer of a request goes, on the loop. */
interface Reply {
    void served(Object result);

    void refused(long stayAwayMs);

    void failed(Front.Failure why);

    /** The engine's own word on the statement. */
    void word(Status status);

    default void begun(Answers.Stream stream) {
        throw new IllegalStateException("this request's result must be whole");
    }

    /** The client left before there was an answer. */
    default void left() {}

    /** Answers a call with what the engine brought, or with why it did not. */
    abstract class To<R> implements Reply {
        final Exchange<R> to;

        To(Exchange<R> to) {
            this.to = to;
        }

        @Override
        public void refused(long stayAwayMs) {
            to.fail(Words.refusal(stayAwayMs), stayAwayMs);
        }

        @Override
        public void failed(Front.Failure why) {
            to.fail(Words.failure(why));
        }

        @Override
        public void word(Status status) {
            to.fail(status);
        }
    }
}
