// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.core.Gateway;
import calicostream.core.Service;
import calicostream.hotrestart.HotRestart;
import calicostream.net.SelectorLoop;
import java.io.IOException;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The planned end of a front end: it accepts no more clients, serves those it has, answers what is
 * left before SIGKILL may come, and stops the event loop. Used by the event loop's thread only.
 */
final class GracefulShutdown {
    private static final Logger LOG = LoggerFactory.getLogger(GracefulShutdown.class);
    // Clients may connect until 0.7 s after SIGTERM.
    private static final long DRAIN_DELAY_MICROS = 800_000;
    // Subtracted from the drain time, because SIGKILL may come 0.1 s before its end.
    private static final long KILL_MARGIN_MICROS = 500_000;
    private static final long FINAL_FLUSH_MICROS = 150_000;
    private static final long DRAIN_POLL_MICROS = 20_000;
    // The longest time after SIGTERM to wait for the requests in flight.
    private static final long MAX_DRAIN_MICROS = 3_000_000;
    // The same while a successor process accepts new clients.
    private static final long MAX_SUCCESSOR_DRAIN_MICROS = 5_000_000;
    // Most idle clients send one more request in this time while a successor process runs.
    private static final long IDLE_CLIENT_GRACE_MICROS = 700_000;
    private final SelectorLoop loop;
    private final Gateway gateway;
    private final JsonRpcServer rpcServer;
    private final List<Service> services;
    private final HotRestart hotRestart;
    private final long maxDeadlineMicros;

    /**
     * @param maxDeadlineMicros the longest deadline of a query class
     */
    GracefulShutdown(
            SelectorLoop loop,
            Gateway gateway,
            JsonRpcServer rpcServer,
            List<Service> services,
            HotRestart hotRestart,
            long maxDeadlineMicros) {
        this.loop = loop;
        this.gateway = gateway;
        this.rpcServer = rpcServer;
        this.services = services;
        this.hotRestart = hotRestart;
        this.maxDeadlineMicros = maxDeadlineMicros;
    }

    /** Begins at SIGTERM, once the front end listens. */
    void begin() {
        hotRestart.poll();
        long now = loop.clock().now();
        if (hotRestart.hasSuccessor()) {
            LOG.info("draining: a successor process accepts new clients");
            drain(
                    now + IDLE_CLIENT_GRACE_MICROS,
                    shutdownDeadline(now, MAX_SUCCESSOR_DRAIN_MICROS));
        } else {
            loop.deadlines()
                    .add(
                            now + DRAIN_DELAY_MICROS,
                            this::drain,
                            shutdownDeadline(now, MAX_DRAIN_MICROS));
        }
    }

    /** When every accepted request must have its response; SIGKILL may follow soon. */
    private long shutdownDeadline(long sigtermAt, long maxDrain) {
        return sigtermAt
                + Math.min(maxDrain, maxDeadlineMicros)
                + DRAIN_DELAY_MICROS
                - KILL_MARGIN_MICROS;
    }

    /** Accepts no more clients; connected ones are served, and closed when they are idle. */
    private void drain(long closeIdleAt, long shutdownAt) {
        hotRestart.publishListening(false);
        services.forEach(Service::stopListening);
        try {
            rpcServer.drain(closeIdleAt, shutdownAt);
        } catch (IOException e) {
            LOG.warn("listener not closed: {}", e.toString());
        }
        loop.deadlines()
                .add(
                        loop.clock().now() + DRAIN_POLL_MICROS,
                        this::checkDrained,
                        shutdownAt + FINAL_FLUSH_MICROS);
        // Some deadlines are later than SIGKILL, and a request without a response by then is lost.
        loop.deadlines().add(shutdownAt, (now, reference) -> answerAll(), 0);
    }

    private void answerAll() {
        gateway.terminateAll();
        services.forEach(Service::terminateAll);
    }

    private void checkDrained(long now, long exitAt) {
        if (isDrained() || now >= exitAt) {
            LOG.info(
                    "drained: {} requests in flight, clients {}",
                    gateway.openRequests(),
                    rpcServer.describeClients());
            loop.stop();
        } else {
            loop.deadlines().add(now + DRAIN_POLL_MICROS, this::checkDrained, exitAt);
        }
    }

    private boolean isDrained() {
        return gateway.openRequests() == 0
                && rpcServer.isEmpty()
                && services.stream().allMatch(Service::isDrained);
    }
}
