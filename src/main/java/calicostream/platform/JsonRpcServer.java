// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.core.FailureReason;
import calicostream.core.Gateway;
import calicostream.core.IncomingRequest;
import calicostream.core.RequestResult;
import calicostream.core.ResponseHandler;
import calicostream.core.SlotTable;
import calicostream.net.Listener;
import calicostream.net.SelectorLoop;
import calicostream.routing.Query;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves the platform's clients with JSON-RPC 2.0, one message per line. Accepts connections,
 * passes requests to the gateway and sends its responses back. Used by the event loop's thread
 * only.
 */
final class JsonRpcServer implements ResponseHandler, Listener.Acceptor {
    private static final Logger LOG = LoggerFactory.getLogger(JsonRpcServer.class);
    private static final long IDLE_CHECK_INTERVAL_MICROS = 200_000;
    private static final long DRAIN_CHECK_INTERVAL_MICROS = 20_000;
    private static final long NOT_DRAINING = Long.MAX_VALUE;

    private final SelectorLoop loop;
    private final Gateway gateway;
    private final Function<RequestResult, byte[]> resultEncoder;
    private final JsonRpcMessageHandler messageHandler;
    private final SlotTable<PendingRequest> pendingRequests = new SlotTable<>();
    private final Set<JsonRpcClientConnection> clients = new HashSet<>();
    private final Set<String> openRequestIds = new HashSet<>();
    private Listener listener;
    private int maxClients = 1;
    private long shutdownAt = NOT_DRAINING;

    /**
     * @param classNames the query classes, which are the methods that clients call
     * @param longestDeadlineMicros the longest deadline of a query class
     * @param resultEncoder encodes a result of the engine client as rows of text
     */
    JsonRpcServer(
            SelectorLoop loop,
            Gateway gateway,
            List<String> classNames,
            long longestDeadlineMicros,
            Function<RequestResult, byte[]> resultEncoder) {
        this.loop = loop;
        this.gateway = gateway;
        this.resultEncoder = resultEncoder;
        messageHandler = new JsonRpcMessageHandler(this, classNames, longestDeadlineMicros);
    }

    /**
     * Starts to accept clients.
     *
     * @throws IOException where the address can't be bound
     */
    void listen(InetSocketAddress address) throws IOException {
        listener = new Listener(loop, address, maxClients, this);
        checkIdleClients(loop.clock().now(), 0);
    }

    int port() throws IOException {
        return listener.port();
    }

    /** Sets the largest number of connected clients. */
    void setMaxClients(int newMaxClients) {
        maxClients = newMaxClients;
        if (listener != null) {
            listener.setMaxConnections(newMaxClients);
        }
    }

    /**
     * Stops accepting clients. Connected clients are served and closed with their last response;
     * idle clients are closed from {@code closeIdleAt} on.
     *
     * @param newShutdownAt when every request must have its response
     */
    void drain(long closeIdleAt, long newShutdownAt) throws IOException {
        shutdownAt = newShutdownAt;
        // Scheduled first, as accepting the pending connections fails without free descriptors.
        loop.deadlines().add(closeIdleAt, this::closeIdleClients, 0);
        listener.acceptPendingAndClose();
    }

    private void closeIdleClients(long now, long reference) {
        List.copyOf(clients).forEach(JsonRpcClientConnection::closeIfIdle);
        loop.deadlines().add(now + DRAIN_CHECK_INTERVAL_MICROS, this::closeIdleClients, 0);
    }

    private void checkIdleClients(long now, long reference) {
        for (JsonRpcClientConnection client : List.copyOf(clients)) {
            client.checkIdle(now);
        }
        loop.deadlines().add(now + IDLE_CHECK_INTERVAL_MICROS, this::checkIdleClients, 0);
    }

    /** Whether no client is connected. */
    boolean isEmpty() {
        return clients.isEmpty();
    }

    /** Describes the connected clients, for the log. */
    String describeClients() {
        long now = loop.clock().now();
        return clients.stream().map(client -> client.describe(now)).toList().toString();
    }

    // Connections

    @Override
    public void accepted(SocketChannel channel) throws IOException {
        clients.add(new JsonRpcClientConnection(loop, this, messageHandler, channel));
    }

    /**
     * Evicts the client with the lowest priority, since some clients stay connected after one
     * request or connect and send nothing. A client with unread input is kept, because closing
     * would reset its connection.
     */
    @Override
    public boolean evictOne() {
        long now = loop.clock().now();
        Comparator<JsonRpcClientConnection> evictionOrder =
                Comparator.comparing(
                                (JsonRpcClientConnection client) -> client.retentionPriority(now))
                        .thenComparingLong(JsonRpcClientConnection::idleSince);
        PriorityQueue<JsonRpcClientConnection> candidates = new PriorityQueue<>(evictionOrder);
        for (JsonRpcClientConnection client : clients) {
            if (client.retentionPriority(now) != ClientIdlePolicy.RetentionPriority.BUSY) {
                candidates.add(client);
            }
        }
        while (!candidates.isEmpty()) {
            JsonRpcClientConnection candidate = candidates.poll();
            if (candidate.isEvictable(now)) {
                candidate.close();
                return true;
            }
        }
        return false;
    }

    /** A client's connection was closed; abandons its open requests. */
    void connectionClosed(JsonRpcClientConnection client) {
        clients.remove(client);
        listener.connectionClosed();
        for (long tag : client.openTags()) {
            abandon(pendingRequests.remove(tag));
        }
    }

    /** Requests of connected clients that have no response, or are not known any more. */
    int unansweredRequests() {
        int ofClients = clients.stream().mapToInt(client -> client.openRequestCount()).sum();
        return Math.max(ofClients, Math.max(pendingRequests.size(), openRequestIds.size()));
    }

    // Requests

    /** Whether any client has an open request with this request id. */
    boolean isOpen(String requestId) {
        return openRequestIds.contains(requestId);
    }

    /** See {@link Gateway#mayHaveRunBefore}. */
    boolean mayHaveRunBefore(String requestId) {
        return gateway.mayHaveRunBefore(requestId);
    }

    /** Whether the open request with this tag has the request id. */
    boolean hasRequestId(long tag, String requestId) {
        PendingRequest request = pendingRequests.get(tag);
        return request != null && request.requestId().equals(requestId);
    }

    /** The time until every request must have its response; very long unless draining. */
    long microsUntilShutdown() {
        return shutdownAt - loop.clock().now();
    }

    /** Counts a request that was rejected before it reached the gateway. */
    void recordRejection(int queryClass) {
        gateway.recordRejection(queryClass);
    }

    /** Passes a valid request to the gateway, which may respond within this call. */
    void accept(PendingRequest request, Query query, byte[] body, IdempotencyKey key) {
        openRequestIds.add(request.requestId());
        long tag = pendingRequests.add(request);
        request.client().requestOpened(request.id(), tag);
        request.setHandle(
                gateway.accept(
                        new IncomingRequest(
                                this, tag, request.requestId(), query, body, key, true)));
    }

    /** The client no longer waits for the request with this tag. */
    void cancel(long tag) {
        PendingRequest request = pendingRequests.remove(tag);
        if (request != null) {
            request.client().requestCancelled(request.id());
            abandon(request);
            request.client().closeIfInputDiscarded();
        }
    }

    private void abandon(PendingRequest request) {
        openRequestIds.remove(request.requestId());
        gateway.abandon(request.handle());
    }

    // Responses of the gateway

    @Override
    public void served(long tag, RequestResult result) {
        PendingRequest request = pendingRequests.get(tag);
        if (request != null) {
            request.client().markServed();
        }
        respond(tag, id -> encode(id, result));
    }

    /** A result that can't be encoded is answered as a failure. */
    private byte[] encode(long id, RequestResult result) {
        try {
            return encode(id, resultEncoder.apply(result));
        } catch (RuntimeException | Error e) {
            LOG.error("a result could not be encoded: {}", e.toString());
            return failure(id, FailureReason.ENGINE);
        }
    }

    /** The client could not be sent a longer response, nor any after it. */
    private static byte[] encode(long id, byte[] rows) {
        byte[] response = JsonRpc.result(id, rows);
        return response.length <= JsonRpcClientConnection.MAX_OUTPUT_BYTES
                ? response
                : JsonRpc.error(
                        Long.toString(id),
                        JsonRpc.FAILED,
                        "the result is too long: " + rows.length + " bytes; it would be again");
    }

    @Override
    public void rejected(long tag, long retryAfterMillis) {
        respond(tag, id -> JsonRpc.rejected(id, retryAfterMillis));
    }

    @Override
    public void failed(long tag, FailureReason reason) {
        respond(tag, id -> failure(id, reason));
    }

    private static byte[] failure(long id, FailureReason reason) {
        String message =
                reason == FailureReason.DEADLINE
                        ? "not answered in time"
                        : "failed; it may have run";
        return JsonRpc.error(Long.toString(id), JsonRpc.FAILED, message);
    }

    /** Encodes the response to the request with a JSON-RPC id. */
    private interface ResponseEncoder {
        byte[] encode(long id);
    }

    private void respond(long tag, ResponseEncoder encoder) {
        PendingRequest request = pendingRequests.remove(tag);
        if (request == null) {
            return;
        }
        openRequestIds.remove(request.requestId());
        JsonRpcClientConnection client = request.client();
        client.respond(request.id(), encoder.encode(request.id()));
        if (shutdownAt < NOT_DRAINING) {
            // Closed with the response: the client does not send before it has received that.
            loop.runBeforeSelect(client::closeIfIdle);
        }
    }

    @Override
    public InetSocketAddress localAddress(long tag) {
        PendingRequest request = pendingRequests.get(tag);
        return request == null ? null : request.client().localAddress();
    }

    @Override
    public InetAddress clientAddress(long tag) {
        PendingRequest request = pendingRequests.get(tag);
        return request == null ? null : request.client().clientAddress();
    }

    @Override
    public boolean isClientGone(long tag) {
        PendingRequest request = pendingRequests.get(tag);
        return request == null || request.client().isNoLongerWaiting(request);
    }
}
