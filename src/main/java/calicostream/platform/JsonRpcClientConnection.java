// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.net.Connection;
import calicostream.net.RingBuffer;
import calicostream.net.SelectorLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One client's connection: splits its input into lines, and tracks its open requests and queued
 * responses. Used by the event loop's thread only.
 */
final class JsonRpcClientConnection implements Connection.Handler {
    private static final int MAX_INPUT_BYTES = 128 * 1024;

    /** The longest response. */
    static final int MAX_OUTPUT_BYTES = 128 * 1024;

    /** The most lines processed before other connections are served. */
    private static final int MAX_LINES_PER_ITERATION = 8;

    /** The input that one client may hold under memory pressure. */
    private static final int MAX_INPUT_BYTES_UNDER_PRESSURE = 8 * 1024;

    private final SelectorLoop loop;
    private final JsonRpcServer server;
    private final JsonRpcMessageHandler messageHandler;
    private final Connection connection;
    private final PendingCancellations cancellations;

    /** The tags of the open requests, by their JSON-RPC ids. */
    private final Map<Long, Long> openRequests = new HashMap<>();

    private final ArrayDeque<byte[]> queuedResponses = new ArrayDeque<>();
    private long lastId;
    private long idleSince;
    private long lineStartedAt;
    private long lastInputAt;
    private int scannedBytes;
    private boolean served;
    private boolean discardsInput;

    /**
     * @throws IOException where the channel can't be registered; the caller then still owns it
     */
    JsonRpcClientConnection(
            SelectorLoop loop,
            JsonRpcServer server,
            JsonRpcMessageHandler messageHandler,
            SocketChannel channel)
            throws IOException {
        this.loop = loop;
        this.server = server;
        this.messageHandler = messageHandler;
        idleSince = loop.clock().now();
        connection = Connection.ofAccepted(loop, channel, this, MAX_INPUT_BYTES, MAX_OUTPUT_BYTES);
        cancellations = new PendingCancellations(connection.input());
    }

    // Requests

    /** Whether an open request has this JSON-RPC id. */
    boolean isOpen(long id) {
        return openRequests.containsKey(id);
    }

    int openRequestCount() {
        return openRequests.size();
    }

    /** The tags of the open requests. */
    List<Long> openTags() {
        return List.copyOf(openRequests.values());
    }

    /** The tag of the open request with this JSON-RPC id, or null. */
    Long openTag(long id) {
        return openRequests.get(id);
    }

    void requestOpened(long id, long tag) {
        openRequests.put(id, tag);
    }

    /** The client has cancelled a request; no response is sent. */
    void requestCancelled(long id) {
        openRequests.remove(id);
    }

    /** Sends the response of an open request. */
    void respond(long id, byte[] response) {
        openRequests.remove(id);
        write(response);
        markIdle();
        closeIfInputDiscarded();
    }

    /** The highest JSON-RPC id received. */
    long lastId() {
        return lastId;
    }

    void recordId(long id) {
        lastId = Math.max(lastId, id);
    }

    /** The client has received a result. */
    void markServed() {
        served = true;
    }

    /** A cancellation received from this client was processed. */
    void cancellationHandled(JsonRpc message) {
        cancellations.remove(message);
    }

    /**
     * Whether the client has closed the connection or cancelled the request. Includes a
     * cancellation that was received but not processed, as it may be queued behind other requests.
     */
    boolean isNoLongerWaiting(PendingRequest request) {
        return connection.hasPeerClosed()
                || cancellations.contains(request.id(), request.requestId());
    }

    // Output

    /** Sends or queues a response; reading from the client is paused while any is queued. */
    void write(byte[] response) {
        if (connection.isClosed()) {
            return;
        }
        if (queuedResponses.isEmpty() && connection.write(response)) {
            return;
        }
        queuedResponses.add(response);
        loop.bufferMemory().add(response.length);
        connection.setReadPaused(true);
        if (loop.isUnderMemoryPressure()) {
            // The client does not read its responses, and other connections need the memory.
            loop.runBeforeSelect(connection::close);
        }
    }

    @Override
    public void drained(Connection source) {
        while (!queuedResponses.isEmpty() && source.write(queuedResponses.peek())) {
            loop.bufferMemory().add(-queuedResponses.poll().length);
        }
        if (queuedResponses.isEmpty()) {
            source.setReadPaused(false);
        }
    }

    // Input

    /** Processes a few complete lines; the rest waits until other connections were served. */
    @Override
    public void received(Connection source) {
        RingBuffer input = source.input();
        if (discardsInput) {
            skip(input, input.size());
            return;
        }
        lastInputAt = loop.clock().now();
        lineStartedAt = scannedBytes == 0 ? loop.clock().now() : lineStartedAt;
        processLines(source, input);
        if (scannedBytes < input.size()) {
            source.processNextIteration();
        } else if (input.remainingCapacity() == 0
                || input.size() > MAX_INPUT_BYTES_UNDER_PRESSURE && loop.isUnderMemoryPressure()) {
            rejectInput("the line is too long");
        }
        if (served) { // Without a valid request, a client is idle from its connect on.
            markIdle();
        }
    }

    private void processLines(Connection source, RingBuffer input) {
        int lines = 0;
        while (lines < MAX_LINES_PER_ITERATION
                && queuedResponses.isEmpty()
                && !source.isClosed()
                && !source.isClosing()) {
            int end = input.indexOf((byte) '\n', scannedBytes);
            scannedBytes = end < 0 ? input.size() : 0;
            if (end < 0) {
                return;
            }
            byte[] line = input.copy(0, end);
            skip(input, end + 1);
            lineStartedAt = loop.clock().now();
            messageHandler.handle(this, line);
            lines++;
        }
    }

    private void skip(RingBuffer input, int count) {
        input.skip(count);
        cancellations.bytesConsumed(count);
    }

    /** Discards all input from now on; open requests still get their responses. */
    private void rejectInput(String reason) {
        write(JsonRpc.error("null", JsonRpc.INVALID_REQUEST, reason));
        discardsInput = true;
        skip(connection.input(), connection.input().size());
        scannedBytes = 0;
        closeIfInputDiscarded();
    }

    /** Closes the connection if its input is discarded and no request is open. */
    void closeIfInputDiscarded() {
        if (discardsInput && openRequests.isEmpty()) {
            connection.closeGracefully();
        }
    }

    // Idle clients

    private void markIdle() {
        if (openRequests.isEmpty()) {
            idleSince = loop.clock().now();
        }
    }

    long idleSince() {
        return idleSince;
    }

    ClientIdlePolicy.RetentionPriority retentionPriority(long now) {
        boolean busy =
                !openRequests.isEmpty()
                        || !queuedResponses.isEmpty()
                        || connection.unsentBytes() > 0;
        boolean hasInput = connection.input().size() > 0;
        return ClientIdlePolicy.retentionPriority(
                busy, served, hasInput, now - lastInputAt, now - idleSince);
    }

    /**
     * Whether the connection may be closed at once. Closing with unread input would reset it, so
     * this reads the input that has arrived.
     */
    boolean isEvictable(long now) {
        int sizeBefore = connection.input().size();
        return connection.hasPeerClosed()
                || connection.input().size() == sizeBefore
                || ClientIdlePolicy.sendsNoValidRequest(
                        served, !openRequests.isEmpty(), now - idleSince);
    }

    /** Closes the connection at once. */
    void close() {
        connection.close();
    }

    /** Closes the connection unless requests are open or bytes are unsent or unread. */
    void closeIfIdle() {
        if (openRequests.isEmpty()
                && queuedResponses.isEmpty()
                && !connection.isClosing()
                && connection.input().size() == 0
                && connection.readAndCheckIdle()
                && openRequests.isEmpty()) {
            connection.closeGracefully();
        }
    }

    /** Closes the connection if the client is idle for too long, or has not completed a line. */
    void checkIdle(long now) {
        if (connection.isClosing() || !openRequests.isEmpty() || !queuedResponses.isEmpty()) {
            return;
        }
        int inputSize = connection.input().size();
        boolean hasIncompleteLine = inputSize > 0 && scannedBytes == inputSize;
        switch (ClientIdlePolicy.idleAction(
                served, hasIncompleteLine, now - lineStartedAt, now - idleSince)) {
            case REJECT_INCOMPLETE_LINE:
                rejectInput("the line did not end in time");
                break;
            case CLOSE:
                connection.closeGracefully();
                break;
            case CLOSE_IF_IDLE:
                closeIfIdle();
                break;
            default:
                break;
        }
    }

    // Connection

    @Override
    public void closed(Connection source) {
        queuedResponses.forEach(response -> loop.bufferMemory().add(-response.length));
        queuedResponses.clear();
        server.connectionClosed(this);
        openRequests.clear();
    }

    /** The local address; null if the connection is closed. */
    InetSocketAddress localAddress() {
        return connection.localAddress();
    }

    /** The client's address; null if the connection is closed. */
    InetAddress clientAddress() {
        InetSocketAddress remote = connection.remoteAddress();
        return remote == null ? null : remote.getAddress();
    }

    /** The state of the connection in one line, for the log. */
    String describe(long now) {
        return String.format(
                "%s open=%d queued=%d input=%d unsent=%d idleMillis=%d",
                connection.isClosing() ? "closing" : "connected",
                openRequests.size(),
                queuedResponses.size(),
                connection.input().size(),
                connection.unsentBytes(),
                (now - idleSince) / 1000);
    }
}
