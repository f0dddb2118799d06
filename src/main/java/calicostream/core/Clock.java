// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/**
 * The module's time in microseconds. It runs on the monotonic clock, so that a step of the system's
 * wall clock, in either direction, never reaches the module; only starts told in Unix time are
 * converted.
 */
public class Clock {
    private final long wallAtStart = System.currentTimeMillis() * 1000;
    private final long nanosAtStart = System.nanoTime();

    public long now() {
        return wallAtStart + (System.nanoTime() - nanosAtStart) / 1000;
    }

    /** The module's time of a Unix time in milliseconds; never in the future, 0 stays 0. */
    public long ofUnixMillis(long millis) {
        long now = now();
        return millis <= 0
                ? 0
                : Math.max(1, Math.min(now, now - (System.currentTimeMillis() - millis) * 1000));
    }
}
