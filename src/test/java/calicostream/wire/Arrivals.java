// SPDX-License-Identifier: Apache-2.0
package calicostream.wire;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** The attempts that have arrived at a stand-in engine. */
final class Arrivals {
    private final BlockingQueue<Stand.Asked> asked = new LinkedBlockingQueue<>();

    void add(Stand.Asked attempt) {
        asked.add(attempt);
    }

    int waiting() {
        return asked.size();
    }

    Stand.Asked next() throws InterruptedException {
        Stand.Asked next = asked.poll(Program.PATIENCE_MS, TimeUnit.MILLISECONDS);
        if (next == null) {
            throw new AssertionError("nothing arrived at the engine");
        }
        return next;
    }

    static void awaitCancel(CountDownLatch cancelled) throws InterruptedException {
        if (!cancelled.await(Program.PATIENCE_MS, TimeUnit.MILLISECONDS)) {
            throw new AssertionError("the attempt was not given up");
        }
    }
}
