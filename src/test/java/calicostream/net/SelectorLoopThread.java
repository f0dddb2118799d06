// SPDX-License-Identifier: Apache-2.0
package calicostream.net;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;

/** Runs a loop on a thread of its own, and a test's calls on that thread. */
public final class SelectorLoopThread {
    private static final int TIMEOUT_SECONDS = 20;
    private final SelectorLoop loop;

    /** Starts the thread, a daemon. */
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
     * Waits until all deadlines that are due have run: deadlines run after posted tasks, and
     * several tasks may share one iteration.
     */
    public void awaitDue() throws Exception {
        CompletableFuture<Void> due = new CompletableFuture<>();
        call(
                () -> {
                    loop.deadlines().add(loop.clock().now(), (now, ref) -> due.complete(null), 0);
                    return null;
                });
        due.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Calls on the loop's thread and waits for the result. */
    public <T> T call(Callable<T> task) throws Exception {
        FutureTask<T> future = new FutureTask<>(task);
        loop.post(future);
        return future.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
