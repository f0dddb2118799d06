// SPDX-License-Identifier: Apache-2.0
package calicostream.daemon;

import calicostream.core.Gateway;
import calicostream.lease.EjectionHints;
import calicostream.net.SelectorLoop;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Between the front end's thread and the member's: what the module leaves out, looked at now and
 * then, and hints for it. Neither waits for the other; hints that come faster than the front end
 * takes them are dropped.
 */
final class EjectionHintBridge implements EjectionHints.FrontEnd {
    private static final long LOOK = 100_000; // us between two looks
    private static final int MOST_WAITING = 4 * 1024;
    private final SelectorLoop loop;
    private final Gateway gateway;
    private final AtomicInteger waiting = new AtomicInteger();
    private volatile EjectionHints.View view = new EjectionHints.View(new long[0], new long[0]);

    EjectionHintBridge(SelectorLoop loop, Gateway gateway) {
        this.loop = loop;
        this.gateway = gateway;
        loop.post(this::look);
    }

    private void look() {
        view = new EjectionHints.View(gateway.readyEngines(true), gateway.readyEngines(false));
        loop.deadlines().add(loop.clock().now() + LOOK, (now, ref) -> look(), 0);
    }

    @Override
    public EjectionHints.View view() {
        return view;
    }

    @Override
    public void hinted(long engine, boolean served) {
        if (waiting.incrementAndGet() > MOST_WAITING) {
            waiting.decrementAndGet();
            return;
        }
        loop.post(
                () -> {
                    waiting.decrementAndGet();
                    gateway.applyEjectionHint(engine, served);
                });
    }
}
