// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.core.Gateway;
import calicostream.core.TextResult;
import calicostream.net.Connection;
import calicostream.net.InvalidInputException;
import calicostream.routing.AttemptOutcome;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection to an engine with its calls and probes. {@link RespRequestWriter} sends requests,
 * {@link RespResponseHandler} handles responses. Used by the event loop's thread only.
 */
final class RespConnection implements Connection.Handler {
    private static final Logger LOG = LoggerFactory.getLogger(RespConnection.class);
    private static final int BUFFER_BYTES = 128 * 1024;

    /** Engines send a response in one write, so only the network can delay its parts. */
    private static final long PARTIAL_RESPONSE_TIMEOUT_MICROS = 500_000;

    /** Progress periods without received bytes after which no further call is accepted. */
    private static final double SILENT_PROGRESS_PERIODS = 1.25;

    /** Tenths of the engine's idle timeout; closing first avoids a request during its close. */
    private static final long IDLE_TIMEOUT_TENTHS = 7;

    private final RespContext context;
    private final RespConnectionPool pool;
    private final RespEndpoint endpoint;
    private final Connection connection;
    private final RespResponseHandler responses;
    private final RespRequestWriter writer;
    private final long number;
    private final InactivityTimer idleTimer;
    private final InactivityTimer partialResponseTimer;
    private final Map<String, RespCall> calls = new HashMap<>();
    private final List<RespCall> unsentCalls = new ArrayList<>();
    private final PendingProbes probes = new PendingProbes();
    private final StaleRequestIds staleIds = new StaleRequestIds();

    /** Broken connections to the engine, whose calls end when this one connects or closes. */
    private final List<RespConnection> brokenConnections = new ArrayList<>();

    private long lastReceivedAt;
    private long busySince;
    private boolean acceptsNoCalls;
    private boolean closedForInvalidInput;

    /** Opens a connection, which is closed if it is not established within the dial timeout. */
    RespConnection(RespContext context, RespConnectionPool pool, RespEndpoint endpoint)
            throws IOException {
        this.context = context;
        this.pool = pool;
        this.endpoint = endpoint;
        idleTimer =
                new InactivityTimer(
                        context,
                        context.settings().idleUs() * IDLE_TIMEOUT_TENTHS / 10,
                        calls::isEmpty,
                        this::close);
        partialResponseTimer =
                new InactivityTimer(
                        context,
                        PARTIAL_RESPONSE_TIMEOUT_MICROS,
                        this::hasPartialResponse,
                        () -> closeForInvalidInput("a response was not completed in time"));
        responses = new RespResponseHandler(context, this);
        connection =
                Connection.connect(
                        context.loop(), endpoint.address(), this, BUFFER_BYTES, BUFFER_BYTES);
        number = pool.opened(endpoint, this);
        writer = new RespRequestWriter(context, endpoint, connection, number);
        context.schedule(context.settings().dialTimeoutUs(), () -> closeUnless(isConnected()));
    }

    boolean isConnected() {
        return connection.isConnected();
    }

    boolean isClosed() {
        return connection.isClosed();
    }

    boolean isIdle() {
        return calls.isEmpty();
    }

    int callCount() {
        return calls.size();
    }

    long number() {
        return number;
    }

    long writtenBytes() {
        return connection.writtenBytes();
    }

    boolean hasUnsentBytes() {
        return connection.unsentBytes() > 0;
    }

    /** Whether the engine closed it while idle; a request sent now could have any outcome. */
    boolean isIdleAndClosedByPeer() {
        return calls.isEmpty() && connection.hasPeerClosed();
    }

    /** Whether this connection may carry a call of this request. */
    boolean accepts(long now, String requestId) {
        return acceptsProbe(now)
                && calls.size() < context.settings().maxStreamsPerConnection()
                && !staleIds.contains(requestId)
                && !calls.containsKey(requestId);
    }

    boolean acceptsProbe(long now) {
        return !connection.isClosing() && !acceptsNoCalls && !isSilent(now);
    }

    /** Whether this connection has fewer calls, or as many and was active more recently. */
    boolean isBetterThan(RespConnection other) {
        return calls.size() < other.calls.size()
                || calls.size() == other.calls.size()
                        && idleTimer.lastActivityAt() > other.idleTimer.lastActivityAt();
    }

    /** Whether the host may be unreachable; the use of another connection shows whether it is. */
    private boolean isSilent(long now) {
        long period = context.settings().progressPeriodUs();
        return period > 0
                && !calls.isEmpty()
                && now - Math.max(lastReceivedAt, busySince) > SILENT_PROGRESS_PERIODS * period;
    }

    /** Sends a call, now or when the connection is established. */
    void add(RespCall call) {
        if (calls.isEmpty()) {
            busySince = context.now();
        }
        call.assign(this);
        calls.put(call.requestId(), call);
        if (connection.isConnected()) {
            write(call);
        } else {
            unsentCalls.add(call);
        }
    }

    /** Sends a probe, now or when the connection is established. */
    void send(RespLoadProbe probe) {
        probes.add(probe);
        idleTimer.recordActivity(context.now()); // Not idle while the engine may respond.
        if (connection.isConnected()) {
            sendCommand("STAT", probe.tag());
        }
    }

    void sendPriority(RespCall call) {
        if (!unsentCalls.contains(call)) {
            int priority = call.attempt().request().priority();
            sendCommand("NICE", call.requestId(), Integer.toString(priority));
        }
    }

    /** Returns false if the send buffer has no space; nothing is sent then. */
    boolean sendCommand(String... words) {
        return writer.sendCommand(words);
    }

    private void write(RespCall call) {
        if (!writer.write(call)) {
            end(call, AttemptOutcome.OVERLOADED, null);
        }
    }

    @Override
    public void drained(Connection drained) {
        writer.drained();
    }

    /**
     * Cancels a call. A connection that has received nothing since may be dead and accepts no
     * further calls, unless the engine had no time to respond.
     */
    void cancel(RespCall call) {
        if (!calls.remove(call.requestId(), call)) {
            return;
        }
        LOG.debug(
                "request {}: attempt {} cancelled on connection {}",
                call.requestId(),
                call.attempt().number(),
                number);
        if (!unsentCalls.remove(call)) {
            acceptsNoCalls |= call.isOverdue(context.now()) && lastReceivedAt < call.writtenAt();
            writer.sendCancellation(call);
            staleIds.add(call.requestId());
        }
        updateIdle();
    }

    /** Ends the calls that wait for the connection to be established. */
    void withdrawUnsent() {
        for (RespCall call : List.copyOf(unsentCalls)) {
            unsentCalls.remove(call);
            end(call, AttemptOutcome.CONNECT_FAILED, null);
        }
    }

    /** Ends a call, unless it has ended on this connection before. */
    void end(RespCall call, AttemptOutcome outcome, byte[] result) {
        if (!calls.remove(call.requestId(), call)) {
            return;
        }
        if (outcome != AttemptOutcome.OK) {
            staleIds.add(call.requestId());
        }
        call.setPages(null);
        LOG.debug(
                "request {}: attempt {} ended on connection {}: {}",
                call.requestId(),
                call.attempt().number(),
                number,
                outcome);
        updateIdle();
        context.gateway()
                .attemptEnded(
                        call.attempt(),
                        outcome,
                        call.loadReport(),
                        result == null ? null : new TextResult(result));
    }

    private void endAll(AttemptOutcome outcome) {
        List.copyOf(calls.values()).forEach(call -> end(call, outcome, null));
    }

    private void updateIdle() {
        idleTimer.recordActivity(context.now());
        if (calls.isEmpty() && (acceptsNoCalls || endpoint.isDraining())) {
            connection.closeGracefully();
        } else if (calls.isEmpty() && !idleTimer.isRunning() && !connection.isClosed()) {
            idleTimer.start();
        }
    }

    /** Accepts no further calls; those in flight continue. */
    void stopAcceptingCalls() {
        acceptsNoCalls = true;
    }

    /** Closes the connection for a local reason, which is no failure of the engine. */
    void closeUnused() {
        probes.endAll(AttemptOutcome.NOT_STARTED);
        connection.close();
    }

    private void closeUnless(boolean isInUse) {
        if (!isInUse) {
            close();
        }
    }

    void close() {
        connection.close();
    }

    /** The call of this request, or null. */
    RespCall call(String requestId) {
        return calls.get(requestId);
    }

    PendingProbes probes() {
        return probes;
    }

    @Override
    public void connected(Connection connected) {
        lastReceivedAt = context.now();
        for (RespCall call : List.copyOf(unsentCalls)) {
            boolean maySend = context.gateway().maySend(call.attempt());
            if (unsentCalls.remove(call) && maySend) {
                write(call);
            } else {
                end(call, AttemptOutcome.NOT_STARTED, null);
            }
        }
        probes.tags().forEach(tag -> sendCommand("STAT", tag));
        brokenConnections.forEach(broken -> broken.endAll(AttemptOutcome.CONNECTION_BROKEN));
        brokenConnections.clear();
        updateIdle();
    }

    @Override
    public void received(Connection receiving) {
        lastReceivedAt = context.now();
        try {
            byte[][] response = Resp.readArray(receiving.input());
            while (response != null) {
                partialResponseTimer.recordActivity(lastReceivedAt);
                responses.handle(response);
                response = Resp.readArray(receiving.input());
            }
            if (receiving.input().remainingCapacity() == 0) {
                throw new InvalidInputException("a response is too long");
            }
            if (receiving.input().size() > 0 && !partialResponseTimer.isRunning()) {
                partialResponseTimer.recordActivity(lastReceivedAt);
                partialResponseTimer.start();
            }
        } catch (InvalidInputException e) {
            closeForInvalidInput(e.getMessage());
        }
    }

    /** Whether a response is incomplete; it blocks all responses behind it. */
    private boolean hasPartialResponse() {
        return !connection.isClosed() && connection.input().size() > 0;
    }

    /** Closes the connection because of invalid input; every call on it may have run. */
    void closeForInvalidInput(String reason) {
        LOG.warn("invalid response from engine at {}: {}", endpoint.address(), reason);
        closedForInvalidInput = true;
        connection.close();
    }

    /**
     * Calls that were not sent have not run and may try one more connection, since new connections
     * are reset occasionally. Calls that were sent may have run; another connection shows whether
     * the engine's process has ended or only this connection is broken.
     */
    @Override
    public void closed(Connection closing) {
        LOG.debug("connection {} to {} closed", number, endpoint.address());
        pool.closed(endpoint, this);
        probes.endAll(
                lastReceivedAt > 0
                        ? AttemptOutcome.CONNECTION_BROKEN
                        : AttemptOutcome.CONNECT_FAILED);
        replaceUnsent(closing.wasReset());
        AttemptOutcome brokenOutcome =
                closing.wasReset() // A reset shows that the engine's host responds.
                        ? AttemptOutcome.CONNECTION_BROKEN
                        : AttemptOutcome.RESET;
        brokenConnections.forEach(broken -> broken.endAll(brokenOutcome));
        brokenConnections.clear();
        if (closedForInvalidInput) { // The close cancels the calls; it must reach the engine first.
            context.schedule(
                    Gateway.CANCEL_DELIVERY_MICROS, () -> endAll(AttemptOutcome.CONNECTION_BROKEN));
        } else if (!calls.isEmpty()) {
            awaitAnotherConnection();
        }
    }

    private void replaceUnsent(boolean wasReset) {
        List<RespCall> unsent = List.copyOf(unsentCalls);
        unsentCalls.clear();
        for (RespCall call : unsent) {
            boolean mayRetry = wasReset && call.mayTryAnotherConnection() && !endpoint.isDraining();
            boolean maySend = mayRetry && context.gateway().maySend(call.attempt());
            if (maySend && calls.remove(call.requestId(), call)) {
                pool.place(endpoint, call);
            } else {
                end(
                        call,
                        mayRetry ? AttemptOutcome.NOT_STARTED : AttemptOutcome.CONNECT_FAILED,
                        null);
            }
        }
    }

    /** Waits until another connection shows whether the engine's process has ended. */
    private void awaitAnotherConnection() {
        RespConnection other =
                endpoint.connections().stream()
                        .filter(candidate -> !candidate.isConnected())
                        .findFirst()
                        .orElse(null);
        if (other == null && !endpoint.isDraining()) {
            other = pool.tryOpen(endpoint);
        }
        if (other == null) {
            endAll(AttemptOutcome.RESET);
        } else {
            other.brokenConnections.add(this);
        }
    }
}
