// SPDX-License-Identifier: Apache-2.0
package calicostream.flight;

import calicostream.grpc.Calls;
import io.grpc.Context;
import io.grpc.Deadline;
import java.util.concurrent.TimeUnit;
import org.apache.arrow.flight.CallHeaders;
import org.apache.arrow.flight.CallInfo;
import org.apache.arrow.flight.CallStatus;
import org.apache.arrow.flight.FlightServerMiddleware;
import org.apache.arrow.flight.RequestContext;

/** What a call brings beside its message: the class its caller names, its deadline, and its cancellation. */
final class CallStart implements FlightServerMiddleware {
    static final Key<CallStart> KEY = Key.of("calicostream");
    final String queryClass;
    private final Deadline deadline;
    private final Context context;

    private CallStart(CallHeaders headers) {
        queryClass = headers.get(Calls.CLASS_NAME);
        context = Context.current();
        deadline = context.getDeadline();
    }

    static final class Factory implements FlightServerMiddleware.Factory<CallStart> {
        @Override
        public CallStart onCallStarted(CallInfo info, CallHeaders incoming, RequestContext request) {
            return new CallStart(incoming);
        }
    }

    /** Microseconds left of the caller's deadline, at most these. */
    long leftUs(long most) {
        return deadline == null ? most : Math.min(most, deadline.timeRemaining(TimeUnit.MICROSECONDS));
    }

    /** Runs when the call is over on the client's side, be it cancelled, broken off, past its time or answered. */
    void onEnd(Runnable then) {
        context.addListener(ended -> then.run(), Runnable::run);
    }

    @Override
    public void onBeforeSendingHeaders(CallHeaders outgoing) { }

    @Override
    public void onCallCompleted(CallStatus status) { }

    @Override
    public void onCallErrored(Throwable error) { }
}
