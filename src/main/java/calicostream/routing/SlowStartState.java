// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.ArrayDeque;

/**
 * Holds the start time of one engine and the work sent during its warm-up; see {@link
 * SlowStartLimiter}.
 */
final class SlowStartState {
    private final ArrayDeque<SlowStartEntry> sent = new ArrayDeque<>();
    private long startedAt = Timestamps.NEVER_MICROS;

    long startedAt() {
        return startedAt;
    }

    /** Records a start time of the engine, unless a later one is known. */
    void recordStart(long time) {
        startedAt = Math.max(startedAt, time);
    }

    /** Records that the engine may have restarted now. */
    void restart(long now) {
        startedAt = now;
    }

    void add(SlowStartEntry entry) {
        sent.add(entry);
    }

    /** Returns the entries sent, oldest first; the caller removes expired ones. */
    ArrayDeque<SlowStartEntry> sent() {
        return sent;
    }
}
