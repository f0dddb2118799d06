// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import io.grpc.ForwardingServerCallListener;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;

/** Ends a call with INVALID_ARGUMENT at a message that can't be read, which arrives as null. */
final class UnreadableMessageInterceptor implements ServerInterceptor {
    @Override
    public <Q, R> ServerCall.Listener<Q> interceptCall(
            ServerCall<Q, R> call, Metadata headers, ServerCallHandler<Q, R> next) {
        return new ForwardingServerCallListener.SimpleForwardingServerCallListener<>(
                next.startCall(call, headers)) {
            private boolean rejected;

            @Override
            public void onMessage(Q message) {
                if (message == null && !rejected) {
                    rejected = true;
                    call.close(FlightStatuses.invalid("a message can't be read"), new Metadata());
                } else if (!rejected) {
                    super.onMessage(message);
                }
            }

            @Override
            public void onHalfClose() {
                if (!rejected) {
                    super.onHalfClose();
                }
            }
        };
    }
}
