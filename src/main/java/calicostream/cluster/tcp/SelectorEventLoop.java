// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.tcp;

import calicostream.cluster.EventLoop;
import calicostream.net.SelectorLoop;

/** The {@link EventLoop} of a real member: a selector loop's thread and the system's clock. */
public final class SelectorEventLoop implements EventLoop {
    private static final long NANOS_PER_MICRO = 1000;
    private final SelectorLoop loop;

    /**
     * Wraps a loop; whoever created it runs and stops it.
     *
     * @param loop whose thread owns the state of the member
     */
    public SelectorEventLoop(SelectorLoop loop) {
        this.loop = loop;
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public void execute(Runnable task) {
        loop.post(task);
    }

    /**
     * Schedules {@code task} at least one microsecond from now, so that a task which reschedules
     * itself without a delay lets other work run in between.
     */
    @Override
    public void schedule(Runnable task, long delayNanos) {
        long delayMicros = (delayNanos + NANOS_PER_MICRO - 1) / NANOS_PER_MICRO;
        long dueMicros = loop.clock().now() + Math.max(1, delayMicros);
        loop.post(() -> loop.deadlines().add(dueMicros, (now, ref) -> task.run(), 0));
    }
}
