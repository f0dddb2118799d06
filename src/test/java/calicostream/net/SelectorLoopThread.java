// SPDX-License-Identifier: Apache-2.0
package calicostream.net;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;

/** A loop on a thread of its own, and work that a test does on it, in one turn. */
public final class SelectorLoopThread {
    private static final int PATIENCE_S = 20;
    private final SelectorLoop loop;

    public SelectorLoopThread(SelectorLoop loop) {
        this.loop = loop;
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                loop.run();
                            } catch (IOException e) {
                                throw new IllegalStateException(e);
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Waits until all that is due has been done: it comes behind what a turn was given to do, and
     * several pieces of that may share one turn.
     */
    public void awaitDue() throws Exception {
        CompletableFuture<Void> due = new CompletableFuture<>();
        call(
                () -> {
                    loop.deadlines().add(loop.clock().now(), (now, ref) -> due.complete(null), 0);
                    return null;
                });
        due.get(PATIENCE_S, TimeUnit.SECONDS);
    }

    public <T> T call(Callable<T> work) throws Exception {
        FutureTask<T> task = new FutureTask<>(work);
        loop.post(task);
        return task.get(PATIENCE_S, TimeUnit.SECONDS);
    }
}
