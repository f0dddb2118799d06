// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.core.Attempt;
import calicostream.core.Gateway;
import calicostream.net.Connection;
import java.util.ArrayDeque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes requests, cancellations and commands on one connection to an engine, and reports when the
 * last byte of a request is written.
 */
final class RespRequestWriter {
    private static final Logger LOG = LoggerFactory.getLogger(RespRequestWriter.class);
    private static final long MICROS_PER_MILLI = 1000;

    /** An attempt in the send buffer; it is sent when {@code end} bytes were written in all. */
    private record PendingWrite(long end, Attempt attempt) {}

    private final RespContext context;
    private final RespEndpoint endpoint;
    private final Connection connection;
    private final long connectionNumber;
    private final ArrayDeque<PendingWrite> pendingWrites = new ArrayDeque<>();

    RespRequestWriter(
            RespContext context, RespEndpoint endpoint, Connection connection, long number) {
        this.context = context;
        this.endpoint = endpoint;
        this.connection = connection;
        connectionNumber = number;
    }

    /** Returns false if the send buffer has no space; nothing is sent then. */
    boolean sendCommand(String... words) {
        return connection.write(Resp.command(words));
    }

    /**
     * Writes a call's request. Returns false if nothing is sent: the send buffer is full, or the
     * cancellation of the previous attempt is still unwritten, so that the engine would receive a
     * duplicate.
     */
    boolean write(RespCall call) {
        Attempt attempt = call.attempt();
        Attempt previous = attempt.request().previousAttempt();
        if (previous != null
                && previous.context() instanceof RespCall previousCall
                && !previousCall.isCancellationDelivered()) {
            LOG.error(
                    "request {}: attempt {} on connection {} not sent, as the cancellation of"
                            + " attempt {} is not written: {} us, connection {}",
                    attempt.request().id(),
                    attempt.number(),
                    connectionNumber,
                    previous.number(),
                    context.now() - previous.sentAt(),
                    previousCall.connection().number());
            return false;
        }
        call.setWrittenAt(context.now());
        boolean isQueued = connection.write(encode(attempt));
        LOG.debug(
                "request {}: attempt {} to {} on connection {}",
                attempt.request().id(),
                attempt.number(),
                endpoint.address(),
                connectionNumber);
        if (isQueued) {
            pendingWrites.add(new PendingWrite(connection.queuedBytes(), attempt));
        }
        return isQueued;
    }

    private byte[] encode(Attempt attempt) {
        long waitMillis = Math.max(1, (attempt.timeoutAt() - context.now()) / MICROS_PER_MILLI);
        String fields =
                "class="
                        + context.className(attempt.request().queryClass())
                        + ",wait="
                        + waitMillis
                        + ",urgency="
                        + attempt.request().priority();
        if (attempt.request().operation() instanceof IdempotencyKey idempotencyKey) {
            fields += ",once=" + idempotencyKey.key();
        }
        return Resp.array(
                Resp.ascii("REQ"),
                Resp.ascii(attempt.request().id()),
                Resp.ascii(fields),
                attempt.request().body());
    }

    /** Reports the attempts whose last byte was written since the previous call. */
    void drained() {
        while (!pendingWrites.isEmpty() && pendingWrites.peek().end <= connection.writtenBytes()) {
            context.gateway().attemptWritten(pendingWrites.poll().attempt);
        }
    }

    /**
     * Sends a call's cancellation, which must be written before the next attempt. If the engine
     * reads too slowly for that, closing the connection cancels the call.
     */
    void sendCancellation(RespCall call) {
        boolean isQueued = sendCommand("STOP", call.requestId());
        call.setCancelled(connection.queuedBytes());
        connection.flushNow();
        if (!isQueued) {
            connection.close();
        } else if (!call.isCancellationDelivered()) {
            context.schedule(Gateway.CANCEL_DELIVERY_MICROS / 2, () -> closeUnlessCancelled(call));
        }
    }

    private void closeUnlessCancelled(RespCall call) {
        if (!call.isCancellationDelivered()) {
            LOG.warn(
                    "engine at {} does not read: connection {} closed",
                    endpoint.address(),
                    connectionNumber);
            connection.close();
        }
    }
}
