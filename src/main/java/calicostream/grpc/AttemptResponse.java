// SPDX-License-Identifier: Apache-2.0
package calicostream.grpc;

import calicostream.core.Attempt;
import calicostream.core.Gateway;
import calicostream.net.SelectorLoop;
import calicostream.routing.AttemptOutcome;
import io.grpc.ClientCall;
import io.grpc.Metadata;
import io.grpc.Status;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects an engine's response to one attempt and reports the attempt's end to the gateway. The
 * engine channel's threads call the listener methods; the end is reported on the event loop, and
 * only after it may the response be read.
 */
final class AttemptResponse<R> extends ClientCall.Listener<R> {
    private final SelectorLoop loop;
    private final Gateway gateway;
    private final Attempt attempt;
    private final List<R> messages = new ArrayList<>();
    private Metadata headers = new Metadata();
    private Metadata trailers = new Metadata();
    private Status status;

    AttemptResponse(SelectorLoop loop, Gateway gateway, Attempt attempt) {
        this.loop = loop;
        this.gateway = gateway;
        this.attempt = attempt;
    }

    @Override
    public void onHeaders(Metadata receivedHeaders) {
        headers = receivedHeaders;
    }

    @Override
    public void onMessage(R message) {
        messages.add(message);
    }

    @Override
    public void onClose(Status finalStatus, Metadata receivedTrailers) {
        loop.post(() -> reportEnd(finalStatus, receivedTrailers));
    }

    private void reportEnd(Status finalStatus, Metadata receivedTrailers) {
        trailers = receivedTrailers;
        status = finalStatus;
        gateway.attemptEnded(attempt, outcome(), GrpcStatuses.loadReport(headers, trailers), null);
    }

    private AttemptOutcome outcome() {
        if (status.isOk()) {
            return AttemptOutcome.OK;
        }
        return GrpcStatuses.outcomeOf(status, trailers, attempt.request().isIdempotent());
    }

    /** The engine's final status, or null while it has sent none. */
    Status status() {
        return status;
    }

    Metadata trailers() {
        return trailers;
    }

    /** Passes the complete response on, closing with status OK. */
    void deliverTo(ClientCall.Listener<R> listener) {
        listener.onHeaders(headers);
        messages.forEach(listener::onMessage);
        listener.onClose(Status.OK, trailers);
    }
}
