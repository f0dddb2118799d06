// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.discovery.WatchBackoff;
import calicostream.net.Connection;
import calicostream.net.InvalidInputException;
import calicostream.net.SelectorLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches the endpoint list, which the change log sends as server-sent events. When the stream
 * ends, a new request resumes it after the last event received. The delay is short, because the
 * platform considers a change delivered some seconds after it was logged, whether it was received
 * or not.
 */
final class EndpointWatch {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointWatch.class);
    private static final int INPUT_BUFFER_BYTES = 64 * 1024;

    /** After this time without a byte, all events logged before the request have been received. */
    private static final long QUIESCENCE_MICROS = 25_000;

    private static final long SILENCE_CHECK_INTERVAL_MICROS = 100_000;
    private final SelectorLoop loop;
    private final EndpointListDecoder decoder;
    private final Consumer<EndpointListDecoder.Change> changeListener;
    private final WatchBackoff backoff;
    private InetSocketAddress address;
    private WatchConnection watchConnection;
    private long lastSequence;

    EndpointWatch(
            SelectorLoop loop,
            InetSocketAddress address,
            EndpointListDecoder decoder,
            long lastSequence,
            long seed,
            Consumer<EndpointListDecoder.Change> changeListener) {
        this.loop = loop;
        this.address = address;
        this.decoder = decoder;
        this.lastSequence = lastSequence;
        this.changeListener = changeListener;
        backoff = new WatchBackoff(seed);
    }

    /** The sequence number of the last event applied. */
    long lastSequence() {
        return lastSequence;
    }

    /**
     * Whether all events that the log held at the time of the request have been received. The log
     * sends them directly after the head of the response, without a pause.
     */
    boolean isCaughtUp(long now) {
        return watchConnection != null
                && watchConnection.events.hasStarted()
                && watchConnection.events.isBetweenEvents()
                && watchConnection.connection.input().size() == 0
                && now - watchConnection.lastReceivedAt >= QUIESCENCE_MICROS;
    }

    void start() {
        connect();
        checkSilence(loop.clock().now(), 0);
    }

    /** Resumes the watch at another address, after the last event applied. */
    void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        backoff.responseStarted();
        WatchConnection previous = watchConnection;
        connect();
        if (previous != null) {
            previous.connection.close();
        }
    }

    private void connect() {
        watchConnection = null;
        backoff.requestStarted(loop.clock().now());
        try {
            watchConnection = new WatchConnection();
        } catch (IOException e) {
            LOG.warn("change log: {}", e.toString());
            loop.deadlines().add(backoff.nextRequestAt(loop.clock().now()), this::reconnect, 0);
        }
    }

    private void reconnect(long now, long reference) {
        if (watchConnection == null) {
            connect();
        }
    }

    /**
     * Closes a connection that has received nothing for too long, so that the watch is resumed. An
     * open but dead connection would leave this front end with an outdated list.
     */
    private void checkSilence(long now, long reference) {
        if (watchConnection != null
                && backoff.isStalled(
                        now, watchConnection.lastReceivedAt, watchConnection.events.hasStarted())) {
            LOG.info("change log: silent");
            watchConnection.connection.close();
        }
        loop.deadlines().add(now + SILENCE_CHECK_INTERVAL_MICROS, this::checkSilence, 0);
    }

    private void applyEvent(String event) {
        try {
            EndpointListDecoder.Change change = decoder.decode(event);
            // An event that is repeated, also after a reconnect, may be outdated.
            if (change.sequence() > lastSequence) {
                lastSequence = change.sequence();
                changeListener.accept(change);
            }
        } catch (InvalidInputException e) {
            // The rest of the stream may be invalid, too: it is requested again.
            LOG.warn("change log: {}", e.getMessage());
            watchConnection.connection.close();
        }
    }

    /** One connection to the change log. */
    private final class WatchConnection implements Connection.Handler {
        final Connection connection;
        final EventStream events = new EventStream(this::eventReceived);
        long lastReceivedAt = loop.clock().now();

        WatchConnection() throws IOException {
            connection = Connection.connectUrgent(loop, address, this, INPUT_BUFFER_BYTES, 4096);
            connection.write(
                    ("GET /changes HTTP/1.1\r\nHost: "
                                    + address.getHostString()
                                    + ":"
                                    + address.getPort()
                                    + "\r\nAccept: text/event-stream\r\nLast-Event-ID: "
                                    + lastSequence
                                    + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
        }

        private void eventReceived(String event) {
            if (!connection.isClosed()) {
                EndpointWatch.this.applyEvent(event);
            }
        }

        @Override
        public void connected(Connection source) {
            lastReceivedAt = loop.clock().now();
        }

        @Override
        public void received(Connection source) {
            lastReceivedAt = loop.clock().now();
            try {
                events.consume(source.input());
                if (events.hasStarted()) {
                    backoff.responseStarted();
                }
            } catch (InvalidInputException e) {
                LOG.warn("change log: {}", e.getMessage());
                source.close();
            }
        }

        @Override
        public void closed(Connection source) {
            if (watchConnection == this) {
                watchConnection = null;
                loop.deadlines()
                        .add(
                                backoff.nextRequestAt(loop.clock().now()),
                                EndpointWatch.this::reconnect,
                                0);
            }
        }
    }
}
