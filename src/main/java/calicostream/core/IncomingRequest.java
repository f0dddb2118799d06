// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.Query;

/**
 * A request as a protocol server passes it to {@link Gateway#accept}.
 *
 * @param responseHandler gets the final answer
 * @param tag identifies the request to its response handler
 * @param id identifies the request in logs and to engines
 * @param query the attributes that the router decides by; the gateway assigns its id
 * @param body the text of the statement; not copied
 * @param operation the operation if the text does not describe it completely, or null
 * @param hasUniqueId whether a later request with this id is the same one; otherwise the client may
 *     name several requests by one id
 */
public record IncomingRequest(
        ResponseHandler responseHandler,
        long tag,
        String id,
        Query query,
        byte[] body,
        RequestOperation operation,
        boolean hasUniqueId) {
    /**
     * Creates a request without an operation that any engine may run, whose id may not be unique.
     *
     * @param timeLeftMicros the time until the deadline of the request, in microseconds
     */
    public static IncomingRequest of(
            ResponseHandler responseHandler,
            long tag,
            String id,
            int queryClass,
            int tableGroup,
            long timeLeftMicros,
            byte[] body) {
        Query query = new Query(0, queryClass, 0, 0, timeLeftMicros, 0, 0, tableGroup, false, 0);
        return new IncomingRequest(responseHandler, tag, id, query, body, null, false);
    }

    /**
     * Returns the same request with an operation.
     *
     * @param stickyEngine the id of the only engine that may run the request, or 0 for any engine
     */
    public IncomingRequest withOperation(RequestOperation newOperation, long stickyEngine) {
        Query stickyQuery =
                new Query(
                        query.id(),
                        query.queryClass(),
                        query.tenant(),
                        query.key(),
                        query.timeLeftUs(),
                        query.estimatedWorkUs(),
                        query.estimatedMemoryMb(),
                        query.tableGroup(),
                        query.clientRetry(),
                        stickyEngine);
        return new IncomingRequest(
                responseHandler, tag, id, stickyQuery, body, newOperation, hasUniqueId);
    }
}
