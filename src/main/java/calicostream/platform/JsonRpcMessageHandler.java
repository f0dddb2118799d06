// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.routing.Query;
import calicostream.sql.TableGroupScanner;
import java.util.Base64;
import java.util.List;

/**
 * Validates the messages of clients: requests and cancellations go to the server, everything else
 * is answered here. Used by the event loop's thread only.
 */
final class JsonRpcMessageHandler {
    private static final int MAX_OPEN_REQUESTS = 32;

    /** How far an id may lie behind the highest one. */
    private static final long MAX_ID_LAG = 4 * MAX_OPEN_REQUESTS;

    private static final long MAX_ID = 1L << 53;
    private static final long RETRY_AFTER_MILLIS = 100;

    /** The part of a client's timeout that passes on sockets, outside of this process. */
    private static final long NETWORK_ALLOWANCE_MICROS = 50_000;

    /** The allowance is at most this fraction of a short timeout. */
    private static final long NETWORK_ALLOWANCE_FRACTION = 10;

    /** A client's timeout may be this many times the longest deadline. */
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
        } catch (JsonRpc.NotJson e) {
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
            cancel(client, message);
        } else if (!hasId) {
            reject(client, id, JsonRpc.INVALID_REQUEST, "the id is not a number from 1 up");
        } else if (message.method.equals("check")) {
            client.markServed();
            client.write(JsonRpc.pass(id));
        } else if (!classNames.contains(message.method)) {
            reject(client, id, JsonRpc.METHOD_NOT_FOUND, "no such method");
        } else {
            request(client, message, (long) message.id);
        }
    }

    private static void reject(JsonRpcClientConnection client, String id, int code, String reason) {
        client.write(JsonRpc.error(id, code, reason));
    }

    private void request(JsonRpcClientConnection client, JsonRpc message, long id) {
        byte[] body = decodeBody(message.content);
        boolean idReused = id <= client.lastId() && client.lastId() - id > MAX_ID_LAG;
        if (client.isOpen(id) || idReused) {
            // With this id the response would be taken for that of the open request.
            reject(client, "null", JsonRpc.INVALID_REQUEST, "the id was used before");
            return;
        }
        client.recordId(id);
        if (!isValid(message, body) || server.isOpen(message.requestId)) {
            String text = Long.toString(id);
            reject(client, text, JsonRpc.INVALID_PARAMS, "the params can't be used");
            return;
        }
        int queryClass = classNames.indexOf(message.method);
        long untilShutdown = server.microsUntilShutdown();
        if (client.openRequestCount() >= MAX_OPEN_REQUESTS
                || untilShutdown < NETWORK_ALLOWANCE_MICROS) {
            // No engine would respond before this process ends, or the client has too many.
            server.recordRejection(queryClass);
            client.write(JsonRpc.refused(id, RETRY_AFTER_MILLIS));
            return;
        }
        long timeout = Math.min(timeoutMicros(message), untilShutdown);
        IdempotencyKey key =
                message.repeatKey == null ? null : new IdempotencyKey(message.repeatKey);
        server.accept(
                new PendingRequest(client, id, message.requestId),
                query(message, queryClass, timeout, body),
                body,
                key);
    }

    private boolean isValid(JsonRpc message, byte[] body) {
        return message.requestId != null
                && message.requestId.matches("[0-9a-fA-F]{16}")
                && message.wait > 0
                && message.wait <= maxTimeoutMillis
                && body != null
                && message.hasUsableMarks();
    }

    private static Query query(JsonRpc message, int queryClass, long timeoutMicros, byte[] body) {
        return new Query(
                0,
                queryClass,
                0,
                message.key(),
                timeoutMicros,
                message.work * 1000,
                message.memory,
                Math.max(0, TableGroupScanner.tableGroup(body)),
                message.retry == 1,
                0);
    }

    /** The client's timeout began when it wrote, and it must have read the response by its end. */
    private static long timeoutMicros(JsonRpc message) {
        long timeout = (long) (message.wait * 1000);
        long allowance = Math.min(NETWORK_ALLOWANCE_MICROS, timeout / NETWORK_ALLOWANCE_FRACTION);
        return Math.max(1, timeout - allowance);
    }

    /** The decoded body, or null where there is no valid one. */
    private static byte[] decodeBody(String content) {
        try {
            return content == null ? null : Base64.getDecoder().decode(content);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /** The message names a request by its JSON-RPC id, or by the platform's request id. */
    private void cancel(JsonRpcClientConnection client, JsonRpc message) {
        client.cancellationHandled(message);
        Long tag = client.openTag(PendingCancellations.number(message));
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
