// SPDX-License-Identifier: Apache-2.0
package calicostream.rig;

import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

/** Waits for what a process of its own brings about and nobody can tell. */
final class Await {
    private static final long LOOK_NANOS = 5_000_000;

    private Await() {}

    /** Fails after the rig's patience with what it is told then. */
    static void until(Callable<Boolean> condition, Supplier<String> otherwise) throws Exception {
        long end = System.nanoTime() + ServerProcess.PATIENCE_MS * 1_000_000;
        while (!condition.call()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError(otherwise.get());
            }
            LockSupport.parkNanos(LOOK_NANOS);
        }
    }

    /** For how long a fault is to last; nothing shows it but time. */
    static void pass(long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        for (long left = end - System.nanoTime(); left > 0; left = end - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }
}
