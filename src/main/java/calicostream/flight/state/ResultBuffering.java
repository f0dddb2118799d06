// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.state;

/**
 * What becomes of one attempt's result as its parts arrive. Up to {@code holdBytes} it is held, so
 * that a break costs no more than another attempt; past that, or where there is no room to hold it,
 * the stream begins. Owned by the attempt.
 */
public final class ResultBuffering {
    /**
     * What to do with a part: keep it, begin the stream with all that is kept and this, pass it on,
     * or give up.
     */
    public enum Decision {
        BUFFER,
        START_STREAM,
        FORWARD,
        TOO_LONG
    }

    private final long maxBufferedBytes;
    private final long maxResultBytes;
    private final boolean mayStream;
    private long receivedBytes;
    private boolean streaming;

    /**
     * {@code mostBytes} 0: no bound. Where the result {@code mayBegin} not, what can't be held is
     * too long.
     */
    public ResultBuffering(long holdBytes, long mostBytes, boolean mayBegin) {
        this.maxBufferedBytes = holdBytes;
        this.maxResultBytes = mostBytes;
        this.mayStream = mayBegin;
    }

    /** {@code room}: whether so much can be held beside all else that is. */
    public Decision next(long bytes, boolean room) {
        receivedBytes += bytes;
        if (maxResultBytes > 0 && receivedBytes > maxResultBytes) {
            return Decision.TOO_LONG;
        }
        if (streaming) {
            return Decision.FORWARD;
        }
        if (receivedBytes <= maxBufferedBytes && room) {
            return Decision.BUFFER;
        }
        if (!mayStream) {
            return Decision.TOO_LONG;
        }
        streaming = true;
        return Decision.START_STREAM;
    }

    /** The bound that a result which is too long was over. */
    public long exceededLimit() {
        return maxResultBytes > 0 && receivedBytes > maxResultBytes || mayStream
                ? maxResultBytes
                : maxBufferedBytes;
    }

    public boolean isStreaming() {
        return streaming;
    }

    public long receivedBytes() {
        return receivedBytes;
    }
}
