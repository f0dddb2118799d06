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
 * Sends attempts and load probes to engines by RESP over reused connections. Used by the event
 * loop's thread only. {@link RespConnectionPool} chooses the connection, {@link RespConnection}
 * carries calls.
 */
public final class RespEngineClient implements EngineClient {
    private static final Logger LOG = LoggerFactory.getLogger(RespEngineClient.class);

    /** Time after a drain in which what is queued may still be written. */
    private static final long UNSENT_GRACE_MICROS = 250_000;

    private final RespContext context;
    private final RespConnectionPool pool;
    private long probesSent;

    /**
     * @param loop owns all connections
     * @param classNames the classes' names on the wire, by index
     * @param settings limits of connections
     * @param maxConnections at most so many connections to all engines together
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

    /** Sets where an engine listens; another address for a known id is a new process there. */
    @Override
    public void setAddress(long id, InetSocketAddress address) {
        RespEndpoint endpoint = pool.findOrAdd(id);
        if (address.equals(endpoint.address())) {
            return;
        }
        endpoint.setAddress(address);
        endpoint.closeIdleConnections();
        // What waits for a connection to the old address must not reach whoever listens there now.
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
    public void stop(Attempt attempt) {
        if (attempt.context() instanceof RespCall call) {
            call.connection().cancel(call);
        }
    }

    /** Probes on a connection that is open and heard from; one is opened only where none is. */
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
     * Nothing new may be sent to an engine that drains, and that includes what still waits for its
     * connection to come up: a slow connect must not delay a send past the grace.
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

    /** What still waits in a send buffer would be written after the grace. */
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
            endpoint.connections().forEach(RespConnection::acceptNoMore);
        }
    }

    /**
     * Its process has ended, so calls on open connections get no response; a host that is cut off
     * would never close them.
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
