// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/**
 * The process's time in microseconds. It starts at Unix time and goes on with the monotonic clock,
 * so that a step of the system's wall clock, in either direction, never reaches the gateway; only
 * start times given in Unix time are converted. Safe for use by several threads.
 */
public class Clock {
    private static final int MICROS_PER_MILLI = 1000;
    private static final int NANOS_PER_MICRO = 1000;

    private final long unixMicrosAtStart = System.currentTimeMillis() * MICROS_PER_MILLI;
    private final long nanosAtStart = System.nanoTime();

    /** The time now, in microseconds; it never goes backwards. */
    public long now() {
        return unixMicrosAtStart + (System.nanoTime() - nanosAtStart) / NANOS_PER_MICRO;
    }

    /** This clock's time of a Unix time in milliseconds; never in the future, and 0 stays 0. */
    public long ofUnixMillis(long millis) {
        if (millis <= 0) {
            return 0;
        }
        long now = now();
        long ageMicros = (System.currentTimeMillis() - millis) * MICROS_PER_MILLI;
        return Math.max(1, Math.min(now, now - ageMicros));
    }
}
