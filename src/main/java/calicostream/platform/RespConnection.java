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
 * One connection to an engine and the calls and probes on it. {@link RespResponseHandler} reads
 * what the engine sends. Used by the event loop's thread only.
 */
final class RespConnection implements Connection.Handler {
    private static final Logger LOG = LoggerFactory.getLogger(RespConnection.class);
    private static final int BUFFER_BYTES = 128 * 1024;

    /** A response comes in one piece, but for the network's hops. */
    private static final long PARTIAL_RESPONSE_TIMEOUT_MICROS = 500_000;

    /** Progress periods without a byte after which the connection accepts no other call. */
    private static final double SILENT_PROGRESS_PERIODS = 1.25;

    /** Closed before the engine does, so that no request crosses its close. */
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

    /** Broken connections; whether the engine died with them shows when this one comes up. */
    private final List<RespConnection> brokenConnections = new ArrayList<>();

    private long lastReceivedAt;
    private long busySince;
    private boolean acceptsNoMore;
    private boolean closedForInvalidInput;

    /** Opens a connection; it is closed if it does not come up within the dial timeout. */
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
                        () -> closeForInvalidInput("an answer stopped half-way"));
        responses = new RespResponseHandler(context, this);
        connection =
                Connection.connect(
                        context.loop(), endpoint.address(), this, BUFFER_BYTES, BUFFER_BYTES);
        number = pool.opened(endpoint, this);
        writer = new RespRequestWriter(context, endpoint, connection, number);
        context.schedule(
                context.settings().dialTimeoutUs(), () -> closeUnless(connection.isConnected()));
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

    /** An engine closes idle connections: a request written there might or might not have run. */
    boolean isIdleAndClosedByPeer() {
        return calls.isEmpty() && connection.hasPeerClosed();
    }

    /** Whether a call of this request may go on it. */
    boolean accepts(long now, String requestId) {
        return acceptsProbe(now)
                && calls.size() < context.settings().maxStreamsPerConnection()
                && !staleIds.contains(requestId)
                && !calls.containsKey(requestId);
    }

    boolean acceptsProbe(long now) {
        return !connection.isClosing() && !acceptsNoMore && !isSilent(now);
    }

    /** Fewer calls, or as many and idle for a shorter time. */
    boolean isBetterThan(RespConnection other) {
        return calls.size() < other.calls.size()
                || calls.size() == other.calls.size()
                        && idleTimer.lastActivityAt() > other.idleTimer.lastActivityAt();
    }

    /** A host that is cut off sends nothing: whether it is shows on another connection. */
    private boolean isSilent(long now) {
        long period = context.settings().progressPeriodUs();
        return period > 0
                && !calls.isEmpty()
                && now - Math.max(lastReceivedAt, busySince) > SILENT_PROGRESS_PERIODS * period;
    }

    /** Sends a call, now or when the connection is up. */
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

    /** Sends a probe, now or when the connection is up. */
    void send(RespLoadProbe probe) {
        probes.add(probe);
        idleTimer.recordActivity(context.now()); // Not idle while the engine is about to answer.
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

    /** Returns false where the send buffer has no room; then nothing is sent. */
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
     * Gives a call up. A connection that has received nothing since the call was written may be
     * dead: it accepts no other.
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
            acceptsNoMore |= lastReceivedAt < call.writtenAt();
            writer.sendCancellation(call);
            staleIds.add(call.requestId());
        }
        updateIdle();
    }

    /** Withdraws what still waits for the connection to come up. */
    void withdrawUnsent() {
        for (RespCall call : List.copyOf(unsentCalls)) {
            unsentCalls.remove(call);
            end(call, AttemptOutcome.CONNECT_FAILED, null);
        }
    }

    /** Ends a call that is still on this connection. */
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
        if (calls.isEmpty() && (acceptsNoMore || endpoint.isDraining())) {
            connection.closeGracefully();
        } else if (calls.isEmpty() && !idleTimer.isRunning() && !connection.isClosed()) {
            idleTimer.start();
        }
    }

    /** Calls on it may end, but it accepts no other. */
    void acceptNoMore() {
        acceptsNoMore = true;
    }

    /** Closes it by our own choice, which says nothing of its engine. */
    void closeUnused() {
        probes.endAll(AttemptOutcome.NOT_STARTED);
        connection.close();
    }

    private void closeUnless(boolean isInUse) {
        if (!isInUse) {
            connection.close();
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
            byte[][] response = Resp.take(receiving.input());
            while (response != null) {
                partialResponseTimer.recordActivity(lastReceivedAt);
                responses.handle(response);
                response = Resp.take(receiving.input());
            }
            if (receiving.input().remainingCapacity() == 0) {
                throw new InvalidInputException("an answer is too long");
            }
            if (receiving.input().size() > 0 && !partialResponseTimer.isRunning()) {
                partialResponseTimer.recordActivity(lastReceivedAt);
                partialResponseTimer.start();
            }
        } catch (InvalidInputException e) {
            closeForInvalidInput(e.getMessage());
        }
    }

    /** A response that stopped half-way blocks all behind it for good. */
    private boolean hasPartialResponse() {
        return !connection.isClosed() && connection.input().size() > 0;
    }

    /** Closes it for input that can't be used: every call on it may have run. */
    void closeForInvalidInput(String reason) {
        LOG.warn("invalid response from engine at {}: {}", endpoint.address(), reason);
        closedForInvalidInput = true;
        connection.close();
    }

    /**
     * What was not sent never ran, and may try one more connection: new ones are reset at times.
     * What was sent may have run; whether the engine's process has ended or only this connection
     * shows on another one.
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
        AttemptOutcome ofBroken =
                closing.wasReset() // Somebody was there to reset it.
                        ? AttemptOutcome.CONNECTION_BROKEN
                        : AttemptOutcome.RESET;
        brokenConnections.forEach(broken -> broken.endAll(ofBroken));
        brokenConnections.clear();
        if (closedForInvalidInput) { // The close cancels all calls on it, and has to arrive first.
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

    /** Another connection to the engine tells whether its process has ended. */
    private void awaitAnotherConnection() {
        RespConnection other =
                endpoint.connections().stream()
                        .filter(each -> !each.isConnected())
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
