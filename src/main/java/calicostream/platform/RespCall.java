// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.core.Attempt;
import calicostream.core.AttemptContext;
import calicostream.routing.LoadReport;

/** One attempt and the connection that carries it. */
final class RespCall implements AttemptContext {
    private static final int MAX_CONNECTIONS_TRIED = 2;

    private final Attempt attempt;
    private RespConnection connection;
    private int connectionsTried;
    private long writtenAt;
    private PagedResult pages;
    private LoadReport loadReport;
    private long cancelEnd;

    RespCall(Attempt attempt) {
        this.attempt = attempt;
    }

    Attempt attempt() {
        return attempt;
    }

    String requestId() {
        return attempt.request().id();
    }

    RespConnection connection() {
        return connection;
    }

    /** A connection will carry this call. */
    void assign(RespConnection newConnection) {
        connection = newConnection;
        connectionsTried++;
    }

    /** Whether a connection that was reset before anything was sent may be replaced once more. */
    boolean mayTryAnotherConnection() {
        return connectionsTried < MAX_CONNECTIONS_TRIED;
    }

    /** When the request was written, in microseconds; 0 before that. */
    long writtenAt() {
        return writtenAt;
    }

    void setWrittenAt(long now) {
        writtenAt = now;
    }

    /** The result that is being fetched page by page, or null. */
    PagedResult pages() {
        return pages;
    }

    void setPages(PagedResult newPages) {
        pages = newPages;
    }

    /** The last load report that came with a response to this call, or null. */
    LoadReport loadReport() {
        return loadReport;
    }

    void setLoadReport(LoadReport report) {
        loadReport = report;
    }

    /**
     * The cancellation is queued.
     *
     * @param queuedBytes bytes queued on the connection from its start up to the cancellation's end
     */
    void setCancelled(long queuedBytes) {
        cancelEnd = queuedBytes;
    }

    /**
     * Whether the engine was told to give up all that was sent of this call, by a cancellation that
     * is written or by the connection's end.
     */
    boolean isOver() {
        return cancelEnd == 0 || connection.isClosed() || connection.writtenBytes() >= cancelEnd;
    }
}
