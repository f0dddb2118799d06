// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.core.Attempt;
import calicostream.core.EngineClient;
import calicostream.core.Gateway;
import calicostream.net.SelectorLoop;
import calicostream.routing.AttemptOutcome;
import calicostream.routing.SettingsParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends attempts and load probes to engines over reused RESP connections. {@link
 * RespConnectionPool} chooses the connection, {@link RespConnection} carries the calls. Used by the
 * event loop's thread only.
 */
public final class RespEngineClient implements EngineClient {
    private static final Logger LOG = LoggerFactory.getLogger(RespEngineClient.class);

    /** Time after the start of a drain in which queued bytes may still be written. */
    private static final long UNSENT_GRACE_MICROS = 250_000;

    private final RespContext context;
    private final RespConnectionPool pool;
    private long probesSent;

    /**
     * @param loop the event loop of all connections
     * @param classNames the names of the query classes on the wire, by index
     * @param settings the limits of connections
     * @param maxConnections the largest number of connections to all engines together
     */
    public RespEngineClient(
            SelectorLoop loop,
            List<String> classNames,
            SettingsParser.ConnectionSettings settings,
            int maxConnections) {
        context = new RespContext(loop, classNames, settings);
        pool = new RespConnectionPool(context, maxConnections);
    }

    @Override
    public void setMaxConnections(int connections) {
        pool.setMaxConnections(connections);
    }

    @Override
    public void attach(Gateway gateway) {
        context.attach(gateway);
    }

    /** Sets where an engine listens; a new address for a known id means a new process. */
    @Override
    public void setAddress(long id, InetSocketAddress address) {
        RespEndpoint endpoint = pool.findOrAdd(id);
        if (address.equals(endpoint.address())) {
            return;
        }
        endpoint.setAddress(address);
        endpoint.closeIdleConnections();
        // Calls that wait for a connection must not reach a different server at the old address.
        List.copyOf(endpoint.connections()).stream()
                .filter(connection -> !connection.isConnected())
                .forEach(RespConnection::closeUnused);
    }

    @Override
    public void send(Attempt attempt) {
        RespEndpoint endpoint = pool.find(attempt.engine());
        if (endpoint == null) {
            context.gateway().attemptEnded(attempt, AttemptOutcome.CONNECT_FAILED, null, null);
            return;
        }
        endpoint.setDraining(false);
        RespCall call = new RespCall(attempt);
        attempt.setContext(call);
        pool.place(endpoint, call);
    }

    @Override
    public void cancel(Attempt attempt) {
        if (attempt.context() instanceof RespCall call) {
            call.connection().cancel(call);
        }
    }

    /** Sends the probe on an open, responsive connection; opens one only where there is none. */
    @Override
    public boolean probe(long id) {
        RespEndpoint endpoint = pool.find(id);
        RespConnection open = endpoint == null ? null : pool.chooseForProbe(endpoint);
        if (endpoint == null || open == null && pool.isFull()) {
            return false;
        }
        try {
            RespLoadProbe probe = new RespLoadProbe(context.gateway(), id, "probe" + ++probesSent);
            RespConnection connection = open == null ? pool.open(endpoint) : open;
            connection.send(probe);
            context.schedule(
                    context.settings().dialTimeoutUs(),
                    () -> probe.end(AttemptOutcome.TIMEOUT, null));
            return true;
        } catch (IOException e) {
            LOG.warn("connection to engine at {} failed: {}", endpoint.address(), e.toString());
            return false;
        }
    }

    @Override
    public void priorityChanged(Attempt attempt) {
        if (attempt.context() instanceof RespCall call) {
            call.connection().sendPriority(call);
        }
    }

    /**
     * No new request may be sent to a draining engine. This includes calls that wait for their
     * connection: a slow connect must not delay a send beyond the grace time.
     */
    @Override
    public void engineDraining(long engine) {
        RespEndpoint endpoint = pool.find(engine);
        if (endpoint != null) {
            endpoint.setDraining(true);
            List.copyOf(endpoint.connections()).forEach(RespConnection::withdrawUnsent);
            endpoint.closeIdleConnections();
            context.schedule(UNSENT_GRACE_MICROS, () -> closeBlocked(endpoint));
        }
    }

    /** Closes connections with unsent bytes, which would be written after the grace time. */
    private static void closeBlocked(RespEndpoint endpoint) {
        if (endpoint.isDraining()) {
            List.copyOf(endpoint.connections()).stream()
                    .filter(RespConnection::hasUnsentBytes)
                    .forEach(RespConnection::close);
        }
    }

    @Override
    public void engineReinstated(long engine) {
        RespEndpoint endpoint = pool.find(engine);
        if (endpoint != null) {
            endpoint.closeIdleConnections();
            endpoint.connections().forEach(RespConnection::stopAcceptingCalls);
        }
    }

    /**
     * Closes the connections to an engine whose process has ended. Their calls get no response, and
     * an unreachable host never closes them.
     */
    @Override
    public void engineRemoved(long engine) {
        RespEndpoint endpoint = pool.remove(engine);
        if (endpoint != null) {
            endpoint.setDraining(true);
            List.copyOf(endpoint.connections()).forEach(RespConnection::close);
        }
    }
}
