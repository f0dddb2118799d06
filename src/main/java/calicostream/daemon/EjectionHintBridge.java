// SPDX-License-Identifier: Apache-2.0
package calicostream.daemon;

import calicostream.core.Gateway;
import calicostream.lease.EjectionHints;
import calicostream.net.SelectorLoop;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Connects the ejection hints of the cluster member's thread with the event loop's thread:
 * publishes which engines are ejected, refreshed periodically, and passes hints on. Neither thread
 * waits for the other; hints that come faster than the event loop applies them are dropped.
 */
final class EjectionHintBridge implements EjectionHints.FrontEnd {
    private static final long REFRESH_PERIOD_MICROS = 100_000;
    private static final int MAX_PENDING_HINTS = 4 * 1024;
    private final SelectorLoop loop;
    private final Gateway gateway;
    private final AtomicInteger pendingHints = new AtomicInteger();
    private volatile EjectionHints.EngineView view =
            new EjectionHints.EngineView(new long[0], new long[0]);

    EjectionHintBridge(SelectorLoop loop, Gateway gateway) {
        this.loop = loop;
        this.gateway = gateway;
        loop.post(this::refresh);
    }

    private void refresh() {
        view =
                new EjectionHints.EngineView(
                        gateway.readyEngines(true), gateway.readyEngines(false));
        loop.deadlines()
                .add(loop.clock().now() + REFRESH_PERIOD_MICROS, (now, reference) -> refresh(), 0);
    }

    @Override
    public EjectionHints.EngineView view() {
        return view;
    }

    @Override
    public void onHint(long engine, boolean served) {
        if (pendingHints.incrementAndGet() > MAX_PENDING_HINTS) {
            pendingHints.decrementAndGet();
            return;
        }
        loop.post(
                () -> {
                    pendingHints.decrementAndGet();
                    gateway.applyEjectionHint(engine, served);
                });
    }
}
