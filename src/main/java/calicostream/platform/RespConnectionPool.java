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
 * The engines and the connections to them: which connection carries an attempt or a probe, and how
 * many there may be. Used by the event loop's thread only.
 */
final class RespConnectionPool {
    private static final Logger LOG = LoggerFactory.getLogger(RespConnectionPool.class);

    /** Connections to one engine: more than the attempts that one engine gets. */
    private static final int MAX_CONNECTIONS_PER_ENGINE = 32;

    /** Attempts on a connection before another is opened, where opening one is paid for. */
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

    /** At most so many connections to all engines together. */
    void setMaxConnections(int connections) {
        maxConnections = connections;
    }

    boolean isFull() {
        return openConnections >= maxConnections;
    }

    /** The engine of this id, or null. */
    RespEndpoint find(long engine) {
        return endpoints.get(engine);
    }

    RespEndpoint findOrAdd(long engine) {
        return endpoints.computeIfAbsent(engine, id -> new RespEndpoint());
    }

    /** Forgets an engine; null where it is not known. */
    RespEndpoint remove(long engine) {
        return endpoints.remove(engine);
    }

    /** Counts a connection that was opened; returns its number. */
    long opened(RespEndpoint endpoint, RespConnection connection) {
        endpoint.connections().add(connection);
        openConnections++;
        return ++connectionsOpened;
    }

    void closed(RespEndpoint endpoint, RespConnection connection) {
        endpoint.connections().remove(connection);
        openConnections--;
    }

    /** Opens a connection. */
    RespConnection open(RespEndpoint endpoint) throws IOException {
        return new RespConnection(context, this, endpoint);
    }

    /** Opens a connection, or logs why not and returns null. */
    RespConnection tryOpen(RespEndpoint endpoint) {
        try {
            return open(endpoint);
        } catch (IOException e) {
            LOG.warn("connection to engine at {} failed: {}", endpoint.address(), e.toString());
            return null;
        }
    }

    /**
     * The connection for a call: an idle one, the last used first, else a new one, as whatever
     * breaks a connection breaks all calls on it; where opening one is paid for, a few calls share
     * one. Where no more may be opened, the one with the fewest calls; null where all are full.
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

    /** Gives a call to the connection that suits it best; without one the attempt has ended. */
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
        for (RespConnection each : endpoint.connections()) {
            if (each.accepts(now, requestId) && (best == null || each.isBetterThan(best))) {
                best = each;
            }
        }
        return best;
    }

    /**
     * The connection for a probe: one that is up and heard from, with the fewest calls; or null.
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
                .filter(each -> each.acceptsProbe(now))
                .min(
                        Comparator.comparing((RespConnection each) -> !each.isConnected())
                                .thenComparingInt(RespConnection::callCount))
                .orElse(null);
    }
}
