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

    /** An attempt in the send buffer, and the count of bytes at which it is written. */
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

    /** Returns false where the send buffer has no room; then nothing is sent. */
    boolean sendCommand(String... words) {
        return connection.write(Resp.command(words));
    }

    /**
     * Writes a call's request. Returns false where nothing was sent: the send buffer is full, or
     * the cancellation of the request's previous attempt is not written, so that the engine would
     * see a duplicate.
     */
    boolean write(RespCall call) {
        Attempt attempt = call.attempt();
        Attempt previous = attempt.request().previousAttempt();
        if (previous != null && previous.context() instanceof RespCall last && !last.isOver()) {
            LOG.error(
                    "request {}: attempt {} on connection {} not sent, as the cancellation of"
                            + " attempt {} is not written: {} us, connection {}",
                    attempt.request().id(),
                    attempt.number(),
                    connectionNumber,
                    previous.number(),
                    context.now() - previous.sentAt(),
                    last.connection().number());
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
        long waitMillis = Math.max(1, (attempt.giveUpAt() - context.now()) / MICROS_PER_MILLI);
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

    /** Bytes were written: reports the attempts of which the last byte was among them. */
    void drained() {
        while (!pendingWrites.isEmpty() && pendingWrites.peek().end <= connection.writtenBytes()) {
            context.gateway().attemptWritten(pendingWrites.poll().attempt);
        }
    }

    /**
     * Sends a call's cancellation, which has to be written before the next attempt. Where the
     * engine reads so little that it can't be, the end of the connection tells it.
     */
    void sendCancellation(RespCall call) {
        boolean isQueued = sendCommand("STOP", call.requestId());
        call.setCancelled(connection.queuedBytes());
        connection.flushNow();
        if (!isQueued) {
            connection.close();
        } else if (!call.isOver()) {
            context.schedule(Gateway.CANCEL_DELIVERY_MICROS / 2, () -> closeUnlessCancelled(call));
        }
    }

    private void closeUnlessCancelled(RespCall call) {
        if (!call.isOver()) {
            LOG.warn(
                    "engine at {} does not read: connection {} closed",
                    endpoint.address(),
                    connectionNumber);
            connection.close();
        }
    }
}
