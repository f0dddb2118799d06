// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

/**
 * Decides when an idle client is closed, and which client is closed first when descriptors are
 * short. No I/O and no clock; all times are in microseconds.
 */
final class ClientIdlePolicy {
    /** How long a client that was never served may take to send its first request. */
    private static final long FIRST_REQUEST_TIMEOUT_MICROS = 2_000_000;

    /** The time within which a line must be complete; some clients take two seconds. */
    private static final long LINE_TIMEOUT_MICROS = 2_600_000;

    /** The longest pause between two fragments of a line that is still being sent. */
    private static final long LINE_FRAGMENT_TIMEOUT_MICROS = 1_100_000;

    /** The idle timeout of a served client; most clients close after half of this time. */
    private static final long IDLE_TIMEOUT_MICROS = 8_000_000;

    /** A new client usually sends its first request within this time. */
    private static final long NEW_CLIENT_GRACE_MICROS = 250_000;

    /** Input that a client has sent is read within this time. */
    private static final long INPUT_GRACE_MICROS = 20_000;

    /** How much a client needs its connection; the lowest priority is evicted first. */
    enum RetentionPriority {
        /** Never served, and nothing was received recently. */
        SILENT,
        /** Served before, without an open request. */
        IDLE,
        /** Connected recently, or sending a line. */
        NEW_OR_SENDING,
        /** Has open requests or unsent responses; never evicted. */
        BUSY
    }

    /** What to do with a client that has neither open requests nor queued responses. */
    enum IdleAction {
        KEEP,
        /** Report that the line was not completed in time, then close. */
        REJECT_INCOMPLETE_LINE,
        CLOSE,
        /** Close unless unread input has arrived. */
        CLOSE_IF_IDLE
    }

    private ClientIdlePolicy() {}

    /**
     * @param busy whether the client has open requests or unsent responses
     * @param hasInput whether received bytes are unprocessed
     * @param sinceInput time since the last bytes were received
     * @param idle time since the client became idle
     */
    static RetentionPriority retentionPriority(
            boolean busy, boolean served, boolean hasInput, long sinceInput, long idle) {
        if (busy || idle < INPUT_GRACE_MICROS) {
            return RetentionPriority.BUSY;
        }
        if (hasInput && sinceInput < LINE_FRAGMENT_TIMEOUT_MICROS) {
            return RetentionPriority.NEW_OR_SENDING;
        }
        if (served) {
            return RetentionPriority.IDLE;
        }
        return idle > NEW_CLIENT_GRACE_MICROS
                ? RetentionPriority.SILENT
                : RetentionPriority.NEW_OR_SENDING;
    }

    /**
     * Whether a client has sent no valid request for so long that none is expected. Some clients
     * send nothing but invalid requests.
     */
    static boolean sendsNoValidRequest(boolean served, boolean hasOpenRequests, long idle) {
        return !served && !hasOpenRequests && idle > 2 * FIRST_REQUEST_TIMEOUT_MICROS;
    }

    /**
     * @param hasIncompleteLine whether the unprocessed input is the start of one line
     * @param lineAge time since the first byte of that line was received
     * @param idle time since the client became idle
     */
    static IdleAction idleAction(
            boolean served, boolean hasIncompleteLine, long lineAge, long idle) {
        if (hasIncompleteLine && (served ? lineAge : idle) > LINE_TIMEOUT_MICROS) {
            return IdleAction.REJECT_INCOMPLETE_LINE;
        }
        if (sendsNoValidRequest(served, false, idle)) {
            return IdleAction.CLOSE;
        }
        long timeout = served ? IDLE_TIMEOUT_MICROS : FIRST_REQUEST_TIMEOUT_MICROS;
        return idle > timeout ? IdleAction.CLOSE_IF_IDLE : IdleAction.KEEP;
    }
}
