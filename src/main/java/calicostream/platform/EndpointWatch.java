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
 * Follows the change log's server-sent events, and asks again from the last one seen as soon as
 * they stop: what the log holds counts as told some seconds later, whether it has arrived or not.
 */
final class EndpointWatch {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointWatch.class);
    private static final int BOUND = 64 * 1024;
    private static final long SETTLED =
            25_000; // us without a byte after which what it held has come
    private static final long LOOK = 100_000; // us between looks for silence
    private final SelectorLoop loop;
    private final EndpointListDecoder roster;
    private final Consumer<EndpointListDecoder.Change> changed;
    private final WatchBackoff asking;
    private InetSocketAddress address;
    private Follower follower;
    private long seq;

    EndpointWatch(
            SelectorLoop loop,
            InetSocketAddress address,
            EndpointListDecoder roster,
            long seq,
            long seed,
            Consumer<EndpointListDecoder.Change> changed) {
        this.loop = loop;
        this.address = address;
        this.roster = roster;
        this.seq = seq;
        this.changed = changed;
        asking = new WatchBackoff(seed);
    }

    /** The last event seen. */
    long seq() {
        return seq;
    }

    /**
     * Whether all that the log held when it was asked has been read: it writes that behind its
     * answer's head, in one go.
     */
    boolean hasToldAll(long now) {
        return follower != null
                && follower.events.hasBegun()
                && follower.events.isBetweenEvents()
                && follower.connection.input().size() == 0
                && now - follower.heardAt >= SETTLED;
    }

    void start() {
        connect();
        watch(loop.clock().now(), 0);
    }

    /** Goes on at another address, from the same event. */
    void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        asking.responseStarted();
        Follower old = follower;
        connect();
        if (old != null) {
            old.connection.close();
        }
    }

    private void connect() {
        follower = null;
        asking.requestStarted(loop.clock().now());
        try {
            follower = new Follower();
        } catch (IOException e) {
            LOG.warn("change log: {}", e.toString());
            loop.deadlines().add(asking.nextRequestAt(loop.clock().now()), this::connectAgain, 0);
        }
    }

    private void connectAgain(long now, long ref) {
        if (follower == null) {
            connect();
        }
    }

    /**
     * A log that falls silent without closing would leave this front end with an old list for good.
     */
    private void watch(long now, long ref) {
        if (follower != null
                && asking.isStalled(now, follower.heardAt, follower.events.hasBegun())) {
            LOG.info("change log: silent");
            follower.connection.close();
        }
        loop.deadlines().add(now + LOOK, this::watch, 0);
    }

    private void event(String text) {
        try {
            EndpointListDecoder.Change change = roster.parse(text);
            if (change.seq()
                    > seq) { // One seen already, told twice or after a reconnect, may be out of
                // date.
                seq = change.seq();
                changed.accept(change);
            }
        } catch (
                InvalidInputException e) { // The rest of the stream may be as bad: ask for it anew.
            LOG.warn("change log: {}", e.getMessage());
            follower.connection.close();
        }
    }

    /** One connection to the log. */
    private final class Follower implements Connection.Handler {
        final Connection connection;
        final EventStream events = new EventStream(this::event);
        long heardAt = loop.clock().now();

        Follower() throws IOException {
            connection = Connection.connectUrgent(loop, address, this, BOUND, 4096);
            connection.write(
                    ("GET /changes HTTP/1.1\r\nHost: "
                                    + address.getHostString()
                                    + ":"
                                    + address.getPort()
                                    + "\r\nAccept: text/event-stream\r\nLast-Event-ID: "
                                    + seq
                                    + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
        }

        private void event(String text) {
            if (!connection.isClosed()) {
                EndpointWatch.this.event(text);
            }
        }

        @Override
        public void connected(Connection c) {
            heardAt = loop.clock().now();
        }

        @Override
        public void received(Connection c) {
            heardAt = loop.clock().now();
            try {
                events.take(c.input());
                if (events.hasBegun()) {
                    asking.responseStarted();
                }
            } catch (InvalidInputException e) {
                LOG.warn("change log: {}", e.getMessage());
                c.close();
            }
        }

        @Override
        public void closed(Connection c) {
            if (follower == this) {
                follower = null;
                loop.deadlines()
                        .add(
                                asking.nextRequestAt(loop.clock().now()),
                                EndpointWatch.this::connectAgain,
                                0);
            }
        }
    }
}
