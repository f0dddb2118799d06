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
 * The reactor as the library's executor and clock. The library counts heartbeats in whole seconds;
 * here one of its seconds is one heartbeat of ours, for its clock and its timers alike. Its clock
 * is our monotonic one, so that a step of the wall clock makes no leader doubted.
 */
final class RaftExecutor extends Clock implements RaftNodeExecutor {
    private final EventLoop reactor;
    private final int heartbeatMillis;
    private final long startNanos;

    RaftExecutor(EventLoop reactor, int heartbeatMillis) {
        this.reactor = reactor;
        this.heartbeatMillis = heartbeatMillis;
        this.startNanos = reactor.nanoTime();
    }

    long raftMillis(long millis) {
        return millis * 1000 / heartbeatMillis;
    }

    @Override
    public void execute(Runnable task) {
        reactor.execute(task);
    }

    @Override
    public void submit(Runnable task) {
        reactor.execute(task);
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        reactor.schedule(task, unit.toMicros(delay) * heartbeatMillis);
    }

    @Override
    public long millis() {
        return 1 + (reactor.nanoTime() - startNanos) / 1000 / heartbeatMillis;
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
