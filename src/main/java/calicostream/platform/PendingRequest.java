// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

/** An accepted request without a response yet, with the connection of its client. */
final class PendingRequest {
    private final JsonRpcClientConnection client;
    private final long id;
    private final String requestId;
    private long handle;

    /**
     * @param id the JSON-RPC id, unique among the open requests of the connection
     * @param requestId the platform's request id, unique among the open requests of all clients
     */
    PendingRequest(JsonRpcClientConnection client, long id, String requestId) {
        this.client = client;
        this.id = id;
        this.requestId = requestId;
    }

    JsonRpcClientConnection client() {
        return client;
    }

    long id() {
        return id;
    }

    String requestId() {
        return requestId;
    }

    /** The gateway's handle, which is used to abandon the request. */
    long handle() {
        return handle;
    }

    void setHandle(long newHandle) {
        handle = newHandle;
    }
}
