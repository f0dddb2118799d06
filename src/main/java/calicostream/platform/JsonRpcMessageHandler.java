// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.routing.Query;
import calicostream.sql.TableGroupScanner;
import java.util.Base64;
import java.util.List;

/**
 * Validates the messages of clients. Passes requests and cancellations to the server and responds
 * to everything else. Used by the event loop's thread only.
 */
final class JsonRpcMessageHandler {
    private static final int MAX_OPEN_REQUESTS = 32;

    /** How far an unused id may be below the highest one received. */
    private static final long MAX_ID_LAG = 4 * MAX_OPEN_REQUESTS;

    private static final long MAX_ID = 1L << 53;
    private static final long RETRY_AFTER_MILLIS = 100;

    /** The part of a client's timeout that is spent in the network, outside of this process. */
    private static final long NETWORK_ALLOWANCE_MICROS = 50_000;

    /** The allowance is at most this fraction of a short timeout. */
    private static final long NETWORK_ALLOWANCE_FRACTION = 10;

    /** The longest timeout of a client, as a multiple of the longest deadline. */
    private static final long MAX_TIMEOUT_FACTOR = 10;

    private static final long MIN_LONGEST_DEADLINE_MILLIS = 1000;

    private final JsonRpcServer server;
    private final List<String> classNames;
    private final double maxTimeoutMillis;

    JsonRpcMessageHandler(
            JsonRpcServer server, List<String> classNames, long longestDeadlineMicros) {
        this.server = server;
        this.classNames = classNames;
        maxTimeoutMillis =
                MAX_TIMEOUT_FACTOR
                        * Math.max(MIN_LONGEST_DEADLINE_MILLIS, longestDeadlineMicros / 1000);
    }

    /** Processes one line without its line feed. */
    void handle(JsonRpcClientConnection client, byte[] line) {
        if (line.length == 0 || line.length == 1 && line[0] == '\r') {
            return;
        }
        try {
            handle(client, JsonRpc.read(line));
        } catch (JsonRpc.MalformedJsonException e) {
            client.write(JsonRpc.error("null", JsonRpc.PARSE_ERROR, "not JSON"));
        }
    }

    private void handle(JsonRpcClientConnection client, JsonRpc message) {
        boolean hasId =
                message.id >= 1 && message.id <= MAX_ID && message.id == Math.rint(message.id);
        String id = hasId ? Long.toString((long) message.id) : "null";
        if (!message.isObject || !"2.0".equals(message.version) || message.method == null) {
            reject(client, id, JsonRpc.INVALID_REQUEST, "not a request of JSON-RPC 2.0");
        } else if (message.method.equals("interrupt")) {
            handleCancellation(client, message);
        } else if (!hasId) {
            reject(client, id, JsonRpc.INVALID_REQUEST, "the id is not a number from 1 up");
        } else if (message.method.equals("check")) {
            client.markServed();
            client.write(JsonRpc.checkPassed(id));
        } else if (!classNames.contains(message.method)) {
            reject(client, id, JsonRpc.METHOD_NOT_FOUND, "no such method");
        } else {
            handleRequest(client, message, (long) message.id);
        }
    }

    private static void reject(JsonRpcClientConnection client, String id, int code, String reason) {
        client.write(JsonRpc.error(id, code, reason));
    }

    private void handleRequest(JsonRpcClientConnection client, JsonRpc message, long id) {
        byte[] body = decodeBody(message.content);
        boolean idReused = id <= client.lastId() && client.lastId() - id > MAX_ID_LAG;
        if (client.isOpen(id) || idReused) {
            // The client would take a response with this id for that of the earlier request.
            reject(client, "null", JsonRpc.INVALID_REQUEST, "the id was used before");
            return;
        }
        client.recordId(id);
        if (!isValid(message, body) || server.isOpen(message.requestId)) {
            String idText = Long.toString(id);
            reject(client, idText, JsonRpc.INVALID_PARAMS, "the params can't be used");
            return;
        }
        if (server.mayHaveRunBefore(message.requestId)) {
            reject(client, Long.toString(id), JsonRpc.FAILED, "failed; it may have run before");
            return;
        }
        int queryClass = classNames.indexOf(message.method);
        long microsUntilShutdown = server.microsUntilShutdown();
        if (client.openRequestCount() >= MAX_OPEN_REQUESTS
                || microsUntilShutdown < NETWORK_ALLOWANCE_MICROS) {
            // The client has too many open requests, or none could complete before the shutdown.
            server.recordRejection(queryClass);
            client.write(JsonRpc.rejected(id, RETRY_AFTER_MILLIS));
            return;
        }
        long timeout = Math.min(timeoutMicros(message), microsUntilShutdown);
        IdempotencyKey key =
                message.idempotencyKey == null ? null : new IdempotencyKey(message.idempotencyKey);
        server.accept(
                new PendingRequest(client, id, message.requestId),
                toQuery(message, queryClass, timeout, body),
                body,
                key);
    }

    private boolean isValid(JsonRpc message, byte[] body) {
        return message.requestId != null
                && message.requestId.matches("[0-9a-fA-F]{16}")
                && message.timeoutMillis > 0
                && message.timeoutMillis <= maxTimeoutMillis
                && body != null
                && message.hasValidOptionalParams();
    }

    private static Query toQuery(JsonRpc message, int queryClass, long timeoutMicros, byte[] body) {
        return new Query(
                0,
                queryClass,
                0,
                message.orderKeyHash(),
                timeoutMicros,
                message.workEstimateMillis * 1000,
                message.memoryEstimateMb,
                Math.max(0, TableGroupScanner.tableGroup(body)),
                message.clientRetry == 1,
                0);
    }

    /**
     * The time for the request in this process. The client's timeout starts when it sends and ends
     * when it must have read the response.
     */
    private static long timeoutMicros(JsonRpc message) {
        long timeout = (long) (message.timeoutMillis * 1000);
        long allowance = Math.min(NETWORK_ALLOWANCE_MICROS, timeout / NETWORK_ALLOWANCE_FRACTION);
        return Math.max(1, timeout - allowance);
    }

    /** Decodes the request's body; null where it is missing or not Base64. */
    private static byte[] decodeBody(String content) {
        try {
            return content == null ? null : Base64.getDecoder().decode(content);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /** Cancels the request that the message names by its JSON-RPC id or its request id. */
    private void handleCancellation(JsonRpcClientConnection client, JsonRpc message) {
        client.cancellationHandled(message);
        Long tag = client.openTag(PendingCancellations.cancelledId(message));
        for (long candidate : client.openTags()) {
            if (server.hasRequestId(candidate, message.requestId)) {
                tag = candidate;
            }
        }
        if (tag != null) {
            server.cancel(tag);
        }
    }
}
