// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.tcp;

import calicostream.cluster.EventLoop;
import calicostream.net.SelectorLoop;

/**
 * A loop as the thread and clock of a voter or member. {@link #execute} may be called by any
 * thread.
 */
public final class SelectorEventLoop implements EventLoop {
    private final SelectorLoop loop;

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
     * A task may ask for itself again with no delay; the loop's other work has its turn in between.
     */
    @Override
    public void schedule(Runnable task, long delayNanos) {
        long at = loop.clock().now() + Math.max(1, (delayNanos + 999) / 1000);
        loop.post(() -> loop.deadlines().add(at, (now, ref) -> task.run(), 0));
    }
}
