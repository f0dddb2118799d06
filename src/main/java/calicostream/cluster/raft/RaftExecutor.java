// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.raft;

import calicostream.cluster.EventLoop;
import io.microraft.executor.RaftNodeExecutor;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.TimeUnit;

/**
 * The event loop as the consensus library's executor and clock. The library counts heartbeats in
 * whole seconds; here one library second, of its clock and its timers alike, lasts one of our
 * heartbeats. The clock is monotonic, so that a step of the wall clock suspects no leader.
 */
final class RaftExecutor extends Clock implements RaftNodeExecutor {
    private static final int LIBRARY_MILLIS_PER_HEARTBEAT = 1000;
    private static final int NANOS_PER_MICRO = 1000;
    private final EventLoop eventLoop;
    private final int heartbeatMillis;
    private final long startNanos;

    RaftExecutor(EventLoop eventLoop, int heartbeatMillis) {
        this.eventLoop = eventLoop;
        this.heartbeatMillis = heartbeatMillis;
        this.startNanos = eventLoop.nanoTime();
    }

    /** Converts real milliseconds to those of the library. */
    long toLibraryMillis(long millis) {
        return millis * LIBRARY_MILLIS_PER_HEARTBEAT / heartbeatMillis;
    }

    @Override
    public void execute(Runnable task) {
        eventLoop.execute(task);
    }

    @Override
    public void submit(Runnable task) {
        eventLoop.execute(task);
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        // A library microsecond lasts as many nanoseconds as a heartbeat has milliseconds.
        eventLoop.schedule(task, unit.toMicros(delay) * heartbeatMillis);
    }

    @Override
    public long millis() {
        return 1 + (eventLoop.nanoTime() - startNanos) / NANOS_PER_MICRO / heartbeatMillis;
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(millis());
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return this;
    }
}
