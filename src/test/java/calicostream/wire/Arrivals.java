// SPDX-License-Identifier: Apache-2.0
package calicostream.wire;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** The attempts that have arrived at a stand-in engine. */
final class Arrivals {
    private final BlockingQueue<TestServer.Asked> asked = new LinkedBlockingQueue<>();

    void add(TestServer.Asked attempt) {
        asked.add(attempt);
    }

    int waiting() {
        return asked.size();
    }

    TestServer.Asked next() throws InterruptedException {
        TestServer.Asked next = asked.poll(ServerProgram.PATIENCE_MS, TimeUnit.MILLISECONDS);
        if (next == null) {
            throw new AssertionError("nothing arrived at the engine");
        }
        return next;
    }

    static void awaitCancel(CountDownLatch cancelled) throws InterruptedException {
        if (!cancelled.await(ServerProgram.PATIENCE_MS, TimeUnit.MILLISECONDS)) {
            throw new AssertionError("the attempt was not given up");
        }
    }
}
