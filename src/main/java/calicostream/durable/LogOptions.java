// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import java.util.function.LongSupplier;

/**
 * How a log is opened.
 *
 * @param segmentBytes size after which a new segment begins, at least 256
 * @param slowSyncNanos duration in nanoseconds above which a sync counts as slow
 * @param startOver whether to set a damaged log aside (its files are renamed to {@code aside-}; the
 *     last such set is kept) and to begin an empty one whose voting is suspended until {@link
 *     DurableLog#admit()}
 * @param clock monotonic nanoseconds; it serves the status only, no byte on the disk depends on it
 */
public record LogOptions(
        int segmentBytes, long slowSyncNanos, boolean startOver, LongSupplier clock) {
    /** Segments of 4 MB, syncs are slow above one second, the system's monotonic clock. */
    public static final LogOptions DEFAULT =
            new LogOptions(4 << 20, 1_000_000_000L, false, System::nanoTime);

    private static final int MIN_SEGMENT_BYTES = 256;

    /** Checks the bounds. */
    public LogOptions {
        if (segmentBytes < MIN_SEGMENT_BYTES) {
            throw new IllegalArgumentException("a segment has 256 bytes at least");
        }
        if (slowSyncNanos <= 0) {
            throw new IllegalArgumentException("the bound on a sync must be positive");
        }
    }

    /** The same options with {@code startOver} set. */
    public LogOptions withStartOver() {
        return new LogOptions(segmentBytes, slowSyncNanos, true, clock);
    }
}
