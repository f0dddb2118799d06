// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.tcp;

import calicostream.cluster.ClusterException;
import calicostream.cluster.PeerTransport;
import calicostream.net.Connection;
import calicostream.net.InvalidInputException;
import calicostream.net.Listener;
import calicostream.net.SelectorLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The members' transport over TCP. A member sends over connections that it opened and receives over
 * connections that its peers opened, so each direction may fail independently. A frame for which
 * there is no connection or no buffer space is dropped. A connection without progress for {@link
 * #STALL_TIMEOUT_NANOS} is closed and reopened, so that a peer that resumes after a pause does not
 * receive outdated frames. All methods are called on the thread of the event loop, which owns this
 * object; {@link #close} ends all connections.
 */
public final class TcpTransport implements PeerTransport {
    private static final Logger LOG = LoggerFactory.getLogger(TcpTransport.class);

    /** Buffered in each direction of a connection. */
    private static final int MAX_BUFFERED_BYTES = MAX_FRAME_BYTES + (1 << 20);

    /** Inbound connections accepted at least; else two per peer, so that each can reconnect. */
    private static final int MIN_INBOUND_CONNECTIONS = 64;

    private static final long STALL_TIMEOUT_NANOS = 2_000_000_000L;

    private static final long NANOS_PER_MICRO = 1000;

    /** Least time between two connection attempts to one peer. */
    private static final long RECONNECT_DELAY_NANOS = 100_000_000L;

    /**
     * Counters since the start.
     *
     * @param sent frames given to a connection
     * @param dropped frames without a connection or without buffer space
     * @param received frames delivered to the receiver
     * @param rejected malformed frames and connections
     * @param openConnections at present, in both directions
     */
    public record Metrics(
            long sent, long dropped, long received, long rejected, int openConnections) {}

    private final SelectorLoop loop;
    private final byte[] cluster;
    private final int self;
    private final Map<Integer, InetSocketAddress> peers;
    private final Receiver receiver;
    private final Map<Integer, OutgoingConnection> outgoing = new HashMap<>();
    private final Set<IncomingConnection> incoming = new HashSet<>();
    private final Listener listener;
    private long sent;
    private long dropped;
    private long received;
    private long rejected;
    private boolean closed;

    /**
     * Binds the address and starts to accept connections.
     *
     * @param loop whose thread owns this transport
     * @param cluster name of the cluster; connections of another cluster are rejected
     * @param self number of this member
     * @param address where peers connect to this member; port 0 for any
     * @param peers addresses by member number
     * @param receiver called on the loop's thread
     */
    public TcpTransport(
            SelectorLoop loop,
            String cluster,
            int self,
            InetSocketAddress address,
            Map<Integer, InetSocketAddress> peers,
            Receiver receiver)
            throws IOException {
        this.loop = loop;
        this.cluster = cluster.getBytes(StandardCharsets.UTF_8);
        this.self = self;
        this.peers = new HashMap<>(peers);
        this.receiver = receiver;
        this.listener =
                Listener.urgent(
                        loop,
                        address,
                        Math.max(MIN_INBOUND_CONNECTIONS, 2 * peers.size()),
                        new Listener.Acceptor() {
                            @Override
                            public void accepted(SocketChannel channel) throws IOException {
                                accept(channel);
                            }

                            @Override
                            public boolean evictOne() {
                                return false;
                            }
                        });
    }

    private void accept(SocketChannel channel) throws IOException {
        IncomingConnection accepted = new IncomingConnection();
        accepted.connection =
                Connection.ofAccepted(
                        loop, channel, accepted, MAX_BUFFERED_BYTES, TcpFrame.HEADER_BYTES);
        incoming.add(accepted);
    }

    /** The port that is bound. */
    public int port() throws IOException {
        return listener.port();
    }

    /** Replaces the address of a member, and closes the connection to the former one. */
    public void setPeerAddress(int member, InetSocketAddress address) {
        peers.put(member, address);
        OutgoingConnection former = outgoing.remove(member);
        if (former != null) {
            former.connection.close();
        }
    }

    /** The present values of the counters. */
    public Metrics metrics() {
        return new Metrics(sent, dropped, received, rejected, incoming.size() + outgoing.size());
    }

    /** Closes the address and all connections; frames sent or received later are dropped. */
    public void close() {
        closed = true;
        try {
            listener.close();
        } catch (IOException e) {
            LOG.warn("cluster address not closed: {}", e.toString());
        }
        Set.copyOf(outgoing.values()).forEach(peer -> peer.connection.close());
        Set.copyOf(incoming).forEach(peer -> peer.connection.close());
    }

    @Override
    public void send(int member, byte[] frame) {
        if (closed) {
            return;
        }
        if (member == self) {
            loop.post(() -> deliver(self, frame));
            return;
        }
        if (frame.length > MAX_FRAME_BYTES) {
            throw new ClusterException.TooLarge("frame", frame.length, MAX_FRAME_BYTES);
        }
        OutgoingConnection peer = connectionTo(member);
        if (peer != null && peer.connection.write(TcpFrame.encode(frame))) {
            sent++;
        } else {
            dropped++;
        }
    }

    /** The connection to a member, opened or reopened if needed; null if that is not possible. */
    private OutgoingConnection connectionTo(int member) {
        OutgoingConnection peer = outgoing.get(member);
        if (peer != null && peer.isStalled()) {
            peer.connection.close();
            peer = outgoing.get(member);
        }
        return peer != null ? peer : connect(member);
    }

    private OutgoingConnection connect(int member) {
        InetSocketAddress address = peers.get(member);
        if (address == null) {
            return null;
        }
        OutgoingConnection peer = new OutgoingConnection(member);
        try {
            peer.connection =
                    Connection.connect(
                            loop, address, peer, TcpFrame.HEADER_BYTES, MAX_BUFFERED_BYTES);
        } catch (IOException e) {
            LOG.warn("connection to member {} failed: {}", member, e.toString());
            return null;
        }
        outgoing.put(member, peer);
        peer.connection.write(TcpFrame.encodeGreeting(cluster, self, member));
        return peer;
    }

    private void deliver(int from, byte[] frame) {
        if (closed) {
            return;
        }
        received++;
        try {
            receiver.onFrame(from, frame);
        } catch (ClusterException.Malformed e) {
            rejected++;
            LOG.warn("malformed frame from member {}: {}; {}", from, e.getMessage(), e.remedy());
        }
    }

    /** A connection to a peer: sends the greeting and frames, receives nothing. */
    private final class OutgoingConnection implements Connection.Handler {
        private final int member;
        private final long openedNanos = System.nanoTime();
        private Connection connection;
        private boolean disconnected;
        private long writtenBytes = -1;
        private long progressNanos = openedNanos;

        OutgoingConnection(int member) {
            this.member = member;
        }

        boolean isStalled() {
            long nowNanos = System.nanoTime();
            if (disconnected) {
                return false;
            }
            boolean isIdle = connection.unsentBytes() == 0 && connection.isConnected();
            if (connection.writtenBytes() != writtenBytes || isIdle) {
                writtenBytes = connection.writtenBytes();
                progressNanos = nowNanos;
            }
            return nowNanos - progressNanos > STALL_TIMEOUT_NANOS;
        }

        @Override
        public void received(Connection from) {
            from.close();
        }

        @Override
        public void closed(Connection of) {
            // Stays in the map until the reconnect delay is over: a peer that rejects connections
            // must not get a new one for each frame.
            disconnected = true;
            long delayNanos = RECONNECT_DELAY_NANOS - (System.nanoTime() - openedNanos);
            if (delayNanos <= 0) {
                outgoing.remove(member, this);
                return;
            }
            long dueMicros = loop.clock().now() + delayNanos / NANOS_PER_MICRO;
            loop.deadlines().add(dueMicros, (now, ref) -> outgoing.remove(member, this), 0);
        }
    }

    /** A connection from a peer: receives the greeting and frames, sends nothing. */
    private final class IncomingConnection implements Connection.Handler {
        private static final int NO_GREETING_YET = 0;

        private Connection connection;
        private int from = NO_GREETING_YET;

        @Override
        public void received(Connection of) {
            try {
                if (from == NO_GREETING_YET && !readGreeting(of)) {
                    return;
                }
                byte[] frame = TcpFrame.decode(of.input());
                while (frame != null) {
                    deliver(from, frame);
                    frame = TcpFrame.decode(of.input());
                }
            } catch (InvalidInputException e) {
                rejected++;
                LOG.warn(
                        "connection from member {} closed: {}",
                        from == NO_GREETING_YET ? "?" : from,
                        e.getMessage());
                of.close();
            }
        }

        /** Returns false as long as the greeting is incomplete. */
        private boolean readGreeting(Connection of) throws InvalidInputException {
            TcpFrame.Greeting greeting = TcpFrame.decodeGreeting(cluster, of.input());
            if (greeting == null) {
                return false;
            }
            if (greeting.to() != self || greeting.from() <= 0 || greeting.from() == self) {
                throw new InvalidInputException(
                        "greeting from member "
                                + greeting.from()
                                + " to member "
                                + greeting.to()
                                + ", this is "
                                + self);
            }
            from = greeting.from();
            return true;
        }

        @Override
        public void closed(Connection of) {
            incoming.remove(this);
            listener.connectionClosed();
        }
    }
}
