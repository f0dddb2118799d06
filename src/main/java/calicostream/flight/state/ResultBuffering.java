// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.state;

/**
 * Decides whether the parts of one attempt's result are buffered or streamed. Up to {@code
 * maxBufferedBytes} the result is buffered, so that a failure can be retried; beyond that, or
 * without memory to buffer it, streaming starts. Owned by the attempt.
 */
public final class ResultBuffering {
    /**
     * What to do with a part: buffer it, start the stream with all buffered parts and this one,
     * forward it, or fail.
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
     * Creates the decision state. A {@code maxResultBytes} of 0 means no limit. Without {@code
     * mayStream}, a result that cannot be buffered is too long.
     */
    public ResultBuffering(long maxBufferedBytes, long maxResultBytes, boolean mayStream) {
        this.maxBufferedBytes = maxBufferedBytes;
        this.maxResultBytes = maxResultBytes;
        this.mayStream = mayStream;
    }

    /**
     * Decides on the next part; {@code hasMemory} tells whether memory to buffer it is available.
     */
    public Decision next(long bytes, boolean hasMemory) {
        receivedBytes += bytes;
        if (maxResultBytes > 0 && receivedBytes > maxResultBytes) {
            return Decision.TOO_LONG;
        }
        if (streaming) {
            return Decision.FORWARD;
        }
        if (receivedBytes <= maxBufferedBytes && hasMemory) {
            return Decision.BUFFER;
        }
        if (!mayStream) {
            return Decision.TOO_LONG;
        }
        streaming = true;
        return Decision.START_STREAM;
    }

    /** The limit in bytes that a too long result exceeded. */
    public long exceededLimit() {
        return maxResultBytes > 0 && receivedBytes > maxResultBytes || mayStream
                ? maxResultBytes
                : maxBufferedBytes;
    }

    /** Whether streaming has started. */
    public boolean isStreaming() {
        return streaming;
    }

    /** The bytes received so far. */
    public long receivedBytes() {
        return receivedBytes;
    }
}
