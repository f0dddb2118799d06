// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

/**
 * Decides when an idle client is closed, and which client is closed first when descriptors are
 * short. No I/O and no clock; all times are in microseconds.
 */
final class ClientIdlePolicy {
    /** How long a client that was never served may take to send its first request. */
    private static final long FIRST_REQUEST_TIMEOUT_MICROS = 2_000_000;

    /** How long a line may take to complete: some clients need two seconds. */
    private static final long LINE_TIMEOUT_MICROS = 2_600_000;

    /** The longest pause within a line that is still being sent. */
    private static final long LINE_FRAGMENT_TIMEOUT_MICROS = 1_100_000;

    /** The idle timeout of a served client; most clients close after half of it. */
    private static final long IDLE_TIMEOUT_MICROS = 8_000_000;

    /** A new client has usually sent its request by then. */
    private static final long NEW_CLIENT_GRACE_MICROS = 250_000;

    /** What a client has sent is certainly read by then. */
    private static final long INPUT_GRACE_MICROS = 20_000;

    /** How much a client needs its connection; the lowest is evicted first. */
    enum RetentionPriority {
        /** Never served, and nothing was received for a while. */
        SILENT,
        /** Served before, and no request since. */
        IDLE,
        /** Connected a moment ago, or sending a line. */
        NEW_OR_SENDING,
        /** Has open requests or unsent responses; never evicted. */
        BUSY
    }

    /** What to do with a client that has neither open requests nor queued responses. */
    enum IdleAction {
        KEEP,
        /** Report that the line was not completed in time, and close. */
        REJECT_INCOMPLETE_LINE,
        CLOSE,
        /** Close unless input has arrived meanwhile. */
        CLOSE_IF_IDLE
    }

    private ClientIdlePolicy() {}

    /**
     * @param busy whether the client has open requests or unsent responses
     * @param hasInput whether received bytes are not processed
     * @param sinceInput time since bytes were received last
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
     * Whether a client has sent no valid request for so long that none is expected any more. Some
     * clients only ever send invalid ones.
     */
    static boolean sendsNoValidRequest(boolean served, boolean hasOpenRequests, long idle) {
        return !served && !hasOpenRequests && idle > 2 * FIRST_REQUEST_TIMEOUT_MICROS;
    }

    /**
     * @param hasIncompleteLine whether all input is the start of one line
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
