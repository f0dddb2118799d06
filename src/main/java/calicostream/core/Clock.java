// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/**
 * The clock of the process, in microseconds. It reads Unix time once at start and then follows the
 * monotonic clock, so that a later step of the system's wall clock, forwards or backwards, does not
 * affect the gateway. Only start times given in Unix time are converted with the wall clock.
 * Thread-safe.
 */
public class Clock {
    private static final int MICROS_PER_MILLI = 1000;
    private static final int NANOS_PER_MICRO = 1000;

    private final long unixMicrosAtStart = System.currentTimeMillis() * MICROS_PER_MILLI;
    private final long nanosAtStart = System.nanoTime();

    /** Returns the current time in microseconds; it never goes backwards. */
    public long now() {
        return unixMicrosAtStart + (System.nanoTime() - nanosAtStart) / NANOS_PER_MICRO;
    }

    /**
     * Converts a Unix time in milliseconds to this clock's time in microseconds.
     *
     * @return a time that is not in the future, or 0 if {@code millis} is 0 or negative
     */
    public long fromUnixMillis(long millis) {
        if (millis <= 0) {
            return 0;
        }
        long now = now();
        long ageMicros = (System.currentTimeMillis() - millis) * MICROS_PER_MILLI;
        return Math.max(1, Math.min(now, now - ageMicros));
    }
}
