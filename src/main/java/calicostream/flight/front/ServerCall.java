// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import calicostream.flight.state.FlightSessions;
import calicostream.grpc.GrpcStatuses;
import io.grpc.Deadline;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.stub.ServerCallStreamObserver;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One call of a client, from its start to its one end. The loop's, but for the observer's own
 * calls.
 */
class ServerCall<R> {
    private static final Logger LOG = LoggerFactory.getLogger(ServerCall.class);
    final CallContext caller;
    final Deadline deadline;
    final ServerCallStreamObserver<R> out;
    FlightSessions.Session session; // null: none
    String owner = ""; // of handles: the user, empty where nobody logs in
    String client = ""; // whose share of the calls it takes
    private final List<Runnable> atEnd = new ArrayList<>();
    private boolean answered, over;
    private boolean waitsForClient;
    private boolean sessionClosed;

    ServerCall(CallContext caller, Deadline deadline, ServerCallStreamObserver<R> out) {
        this.caller = caller;
        this.deadline = deadline;
        this.out = out;
    }

    /**
     * Runs when the call is over on the client's side: answered, cancelled, broken off or past its
     * time.
     */
    void atEnd(Runnable then) {
        if (over) {
            then.run();
        } else {
            atEnd.add(then);
        }
    }

    /** Runs a step of this call. If the step fails, its failure is the call's answer. */
    void run(Runnable step) {
        try {
            step.run();
        } catch (StatusRuntimeException e) {
            fail(e.getStatus());
        } catch (RuntimeException | Error e) {
            // Answered first: logging may fail by the same Error.
            fail(Status.INTERNAL.withDescription("failed; it may have run"));
            LOG.error("a call failed", e);
        }
    }

    void end() {
        over = true;
        answered = true;
        List<Runnable> all = List.copyOf(atEnd);
        atEnd.clear();
        all.forEach(Runnable::run);
    }

    boolean isOver() {
        return over;
    }

    boolean isAnswered() {
        return answered;
    }

    /** Whether nothing but its own client keeps the call from going on. */
    boolean isWaitingForClient() {
        return waitsForClient;
    }

    /** Sets whether nothing but its own client keeps the call from going on. */
    void setWaitingForClient(boolean waits) {
        waitsForClient = waits;
    }

    /** The last session of the call's user is closed while the call is under way. */
    void sessionClosed() {
        sessionClosed = true;
    }

    /** Whether what the call makes has nobody to use it any more. */
    boolean isSessionClosed() {
        return sessionClosed;
    }

    /** The one message of the answer. */
    void reply(R message) {
        if (!answered) {
            answered = true;
            out.onNext(message);
            out.onCompleted();
        }
    }

    /** The end of an answer whose messages went out by themselves. */
    void complete() {
        if (!answered) {
            answered = true;
            out.onCompleted();
        }
    }

    void fail(Status status) {
        fail(status, -1);
    }

    /** {@code stayAwayMs} below 0: nothing is said of coming back. */
    void fail(Status status, long stayAwayMs) {
        if (!answered) {
            answered = true;
            Metadata trailers = new Metadata();
            if (stayAwayMs >= 0) {
                trailers.put(GrpcStatuses.RETRY_PUSHBACK, Long.toString(stayAwayMs));
            }
            out.onError(status.asRuntimeException(trailers));
        }
    }
}
