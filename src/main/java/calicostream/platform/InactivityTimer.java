// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import java.util.function.BooleanSupplier;

/**
 * Runs an action when no activity was recorded for some time. Used by the event loop's thread only.
 */
final class InactivityTimer {
    private final RespContext context;
    private final long timeoutMicros;
    private final BooleanSupplier isNeeded;
    private final Runnable action;
    private long lastActivityAt;
    private boolean running;

    /**
     * @param isNeeded evaluated when the timeout expires; the action runs only if it is true
     */
    InactivityTimer(
            RespContext context, long timeoutMicros, BooleanSupplier isNeeded, Runnable action) {
        this.context = context;
        this.timeoutMicros = timeoutMicros;
        this.isNeeded = isNeeded;
        this.action = action;
    }

    /** The time of the last recorded activity, in microseconds. */
    long lastActivityAt() {
        return lastActivityAt;
    }

    void recordActivity(long now) {
        lastActivityAt = now;
    }

    boolean isRunning() {
        return running;
    }

    /** Starts the timer; the timeout counts from the last activity. */
    void start() {
        running = true;
        context.loop()
                .deadlines()
                .add(lastActivityAt + timeoutMicros, (now, reference) -> fired(now), 0);
    }

    private void fired(long now) {
        running = false;
        if (!isNeeded.getAsBoolean()) {
            return;
        }
        if (now >= lastActivityAt + timeoutMicros) {
            action.run();
        } else {
            start();
        }
    }
}
