// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.core.Attempt;
import calicostream.core.AttemptContext;
import calicostream.routing.LoadReport;

/** One attempt over RESP: its connection, the pages received and the state of its cancellation. */
final class RespCall implements AttemptContext {
    private static final int MAX_CONNECTIONS_TRIED = 2;

    /** A connection on which no response has come after a shorter time is not suspected. */
    private static final long MIN_RESPONSE_TIME_MICROS = 50_000;

    private final Attempt attempt;
    private RespConnection connection;
    private int connectionsTried;
    private long writtenAt;
    private PagedResult pages;
    private LoadReport loadReport;
    private long cancellationEnd;

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

    /** Records the connection that carries this call. */
    void assign(RespConnection newConnection) {
        connection = newConnection;
        connectionsTried++;
    }

    /** Whether another connection may be tried after one was reset before anything was sent. */
    boolean mayTryAnotherConnection() {
        return connectionsTried < MAX_CONNECTIONS_TRIED;
    }

    /** When the request was written, in microseconds; 0 if it was not. */
    long writtenAt() {
        return writtenAt;
    }

    /** Whether the engine had time to respond since the call was written. */
    boolean isOverdue(long now) {
        return now - writtenAt > MIN_RESPONSE_TIME_MICROS;
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

    /** The last load report in a response to this call, or null. */
    LoadReport loadReport() {
        return loadReport;
    }

    void setLoadReport(LoadReport report) {
        loadReport = report;
    }

    /**
     * Records that the cancellation was queued.
     *
     * @param queuedBytes all bytes queued on the connection so far, the cancellation included
     */
    void setCancelled(long queuedBytes) {
        cancellationEnd = queuedBytes;
    }

    /**
     * Whether no cancellation of this call is still to be written: none was queued, or it was
     * written, or the connection was closed, which cancels the call as well.
     */
    boolean isCancellationDelivered() {
        return cancellationEnd == 0
                || connection.isClosed()
                || connection.writtenBytes() >= cancellationEnd;
    }
}
