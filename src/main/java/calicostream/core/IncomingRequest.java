// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.Query;

/**
 * A request as a protocol server hands it to {@link Gateway#accept}.
 *
 * @param responseHandler gets the one answer
 * @param tag names the request towards its response handler
 * @param id names the request in logs and towards engines
 * @param query what the router decides by; its id is assigned by the gateway
 * @param body the text of the statement; not copied
 * @param operation what the text does not say, or null
 */
public record IncomingRequest(
        ResponseHandler responseHandler,
        long tag,
        String id,
        Query query,
        byte[] body,
        RequestOperation operation) {
    /**
     * A request without an operation, which any engine may run.
     *
     * @param timeLeftMicros time until its deadline, in microseconds
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
        return new IncomingRequest(responseHandler, tag, id, query, body, null);
    }

    /**
     * The same request with an operation.
     *
     * @param stickyEngine the only engine that may run it, or 0
     */
    public IncomingRequest withOperation(RequestOperation asked, long stickyEngine) {
        Query sticky =
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
        return new IncomingRequest(responseHandler, tag, id, sticky, body, asked);
    }
}
