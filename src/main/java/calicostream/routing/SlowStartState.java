// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.ArrayDeque;

/**
 * Holds since when one engine warms up and what it was sent meanwhile; see {@link
 * SlowStartLimiter}.
 */
final class SlowStartState {
    private final ArrayDeque<SlowStartEntry> sent = new ArrayDeque<>();
    private long startedAt = Timestamps.NEVER_MICROS;

    long startedAt() {
        return startedAt;
    }

    /** Takes in that the engine started at that time, unless it is known to have started later. */
    void recordStart(long time) {
        startedAt = Math.max(startedAt, time);
    }

    /** Takes in that the engine may have restarted now. */
    void restart(long now) {
        startedAt = now;
    }

    void add(SlowStartEntry entry) {
        sent.add(entry);
    }

    /** Returns what was sent, oldest first; the caller removes what is too old to count. */
    ArrayDeque<SlowStartEntry> sent() {
        return sent;
    }
}
