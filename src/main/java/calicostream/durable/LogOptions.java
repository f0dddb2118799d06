// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

import java.util.function.LongSupplier;

/**
 * How a log is opened. {@code startOver} sets a damaged or forgetful log aside (files renamed to
 * {@code aside-}, the last such set is kept) and begins an empty one that is barred from voting
 * until {@link DurableLog#admit()}. {@code clock} tells monotonic nanoseconds; it is asked for
 * signs only, no byte on the disk depends on it.
 */
public record LogOptions(
        int segmentBytes, long slowSyncNanos, boolean startOver, LongSupplier clock) {

    public static final LogOptions DEFAULT =
            new LogOptions(4 << 20, 1_000_000_000L, false, System::nanoTime);

    public LogOptions {
        if (segmentBytes < 256)
            throw new IllegalArgumentException("a segment has 256 bytes at least");
        if (slowSyncNanos <= 0) throw new IllegalArgumentException("a sync takes time");
    }

    public LogOptions withStartOver() {
        return new LogOptions(segmentBytes, slowSyncNanos, true, clock);
    }
}
