// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.routing.AttemptOutcome;
import java.io.IOException;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The connections to all engines. Chooses the connection for an attempt or a probe, and limits the
 * number of connections. Used by the event loop's thread only.
 */
final class RespConnectionPool {
    private static final Logger LOG = LoggerFactory.getLogger(RespConnectionPool.class);

    /** The most connections to one engine; larger than the number of attempts that it gets. */
    private static final int MAX_CONNECTIONS_PER_ENGINE = 32;

    /** Calls on a connection before another is opened, where opening a connection is costly. */
    private static final int SHARED_CALLS_PER_CONNECTION = 4;

    private final RespContext context;
    private final Map<Long, RespEndpoint> endpoints = new HashMap<>();
    private final int sharedCalls;
    private int maxConnections;
    private int openConnections;
    private long connectionsOpened;

    RespConnectionPool(RespContext context, int maxConnections) {
        this.context = context;
        this.maxConnections = maxConnections;
        sharedCalls = context.settings().connectionsAreCostly() ? SHARED_CALLS_PER_CONNECTION : 1;
    }

    /** Sets the largest number of connections to all engines together. */
    void setMaxConnections(int connections) {
        maxConnections = connections;
    }

    boolean isFull() {
        return openConnections >= maxConnections;
    }

    /** The engine with this id, or null. */
    RespEndpoint find(long engine) {
        return endpoints.get(engine);
    }

    RespEndpoint findOrAdd(long engine) {
        return endpoints.computeIfAbsent(engine, id -> new RespEndpoint());
    }

    /** Removes and returns an engine; null where it is unknown. */
    RespEndpoint remove(long engine) {
        return endpoints.remove(engine);
    }

    /** Adds a connection and returns its number. */
    long opened(RespEndpoint endpoint, RespConnection connection) {
        endpoint.connections().add(connection);
        openConnections++;
        return ++connectionsOpened;
    }

    void closed(RespEndpoint endpoint, RespConnection connection) {
        endpoint.connections().remove(connection);
        openConnections--;
    }

    RespConnection open(RespEndpoint endpoint) throws IOException {
        return new RespConnection(context, this, endpoint);
    }

    /** Opens a connection; logs a failure and returns null. */
    RespConnection tryOpen(RespEndpoint endpoint) {
        try {
            return open(endpoint);
        } catch (IOException e) {
            LOG.warn("connection to engine at {} failed: {}", endpoint.address(), e.toString());
            return null;
        }
    }

    /**
     * Chooses the connection for a call: the idle one that was used last, else a new one, because a
     * broken connection breaks all calls on it. Where opening a connection is costly, a few calls
     * share one. At the limit it is the connection with the fewest calls; null where all are full.
     */
    private RespConnection choose(RespEndpoint endpoint, String requestId) {
        RespConnection best = leastUsed(endpoint, requestId);
        while (best != null && best.isIdleAndClosedByPeer()) {
            best = leastUsed(endpoint, requestId);
        }
        boolean isShareable = best != null && best.callCount() < sharedCalls;
        if (isShareable || !mayOpen(endpoint)) {
            return best;
        }
        RespConnection opened = tryOpen(endpoint);
        return opened == null ? best : opened;
    }

    /** Sends a call on the best connection; without any, the attempt ends as overloaded. */
    void place(RespEndpoint endpoint, RespCall call) {
        RespConnection connection = choose(endpoint, call.requestId());
        if (connection == null) {
            context.gateway()
                    .attemptEnded(
                            call.attempt(), AttemptOutcome.OVERLOADED, call.loadReport(), null);
        } else {
            connection.add(call);
        }
    }

    private boolean mayOpen(RespEndpoint endpoint) {
        int fairShare = Math.max(1, maxConnections / Math.max(1, endpoints.size()));
        int limit = Math.min(fairShare, MAX_CONNECTIONS_PER_ENGINE);
        return endpoint.connections().size() < limit && !isFull();
    }

    private RespConnection leastUsed(RespEndpoint endpoint, String requestId) {
        long now = context.now();
        RespConnection best = null;
        for (RespConnection connection : endpoint.connections()) {
            if (connection.accepts(now, requestId)
                    && (best == null || connection.isBetterThan(best))) {
                best = connection;
            }
        }
        return best;
    }

    /**
     * Chooses the connection for a probe: a responsive one, preferably established, with the fewest
     * calls; or null.
     */
    RespConnection chooseForProbe(RespEndpoint endpoint) {
        long now = context.now();
        RespConnection best = leastUsedForProbe(endpoint, now);
        while (best != null && best.isIdleAndClosedByPeer()) {
            best = leastUsedForProbe(endpoint, now);
        }
        return best;
    }

    private static RespConnection leastUsedForProbe(RespEndpoint endpoint, long now) {
        return endpoint.connections().stream()
                .filter(connection -> connection.acceptsProbe(now))
                .min(
                        Comparator.comparing(
                                        (RespConnection connection) -> !connection.isConnected())
                                .thenComparingInt(RespConnection::callCount))
                .orElse(null);
    }
}
