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
 * Links over TCP, owned by a loop's thread, on which all of it is called. What this member sends
 * goes over a connection that it opens; what it hears comes over those that the others opened, so
 * each direction may fail by itself. A frame that finds no room, or no connection, is dropped; a
 * connection that takes nothing for {@link #STUCK_NANOS} is closed and opened anew, so that a peer
 * which goes on after a stop is not given what was meant for a minute ago. {@link #close} ends all
 * connections and says nothing more.
 */
public final class TcpTransport implements PeerTransport {
    private static final Logger LOG = LoggerFactory.getLogger(TcpTransport.class);
    private static final int ROOM = MAX_FRAME_BYTES + (1 << 20);
    private static final int LEAST_OPEN =
            64; // that may connect; where there are more peers, each and one in its place
    private static final long STUCK_NANOS = 2_000_000_000L;
    private static final long AGAIN_NANOS = 100_000_000L;

    /** What the links have done, for figures. */
    public record Metrics(
            long sent, long dropped, long received, long rejected, int openConnections) {}

    private final SelectorLoop loop;
    private final byte[] cluster;
    private final int self;
    private final Map<Integer, InetSocketAddress> peers;
    private final Receiver receiver;
    private final Map<Integer, Out> outs = new HashMap<>();
    private final Set<In> ins = new HashSet<>();
    private final Listener listener;
    private long sent;
    private long dropped;
    private long received;
    private long refused;
    private boolean closed;

    /**
     * @param cluster its name; peers of another name are refused
     * @param at where the others find this member; port 0 for any
     */
    public TcpTransport(
            SelectorLoop loop,
            String cluster,
            int self,
            InetSocketAddress at,
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
                        at,
                        Math.max(LEAST_OPEN, 2 * peers.size()),
                        new Listener.Acceptor() {
                            @Override
                            public void accepted(SocketChannel channel) throws IOException {
                                In in = new In();
                                in.connection =
                                        Connection.ofAccepted(
                                                loop, channel, in, ROOM, TcpFrame.HEAD);
                                ins.add(in);
                            }

                            @Override
                            public boolean evictOne() {
                                return false;
                            }
                        });
    }

    public int port() throws IOException {
        return listener.port();
    }

    /** A member is found there from now on. */
    public void setPeerAddress(int member, InetSocketAddress at) {
        peers.put(member, at);
        Out out = outs.remove(member);
        if (out != null) {
            out.connection.close();
        }
    }

    public Metrics metrics() {
        return new Metrics(sent, dropped, received, refused, ins.size() + outs.size());
    }

    public void close() {
        closed = true;
        try {
            listener.close();
        } catch (IOException e) {
            LOG.warn("closing the cluster's address: {}", e.toString());
        }
        Set.copyOf(outs.values()).forEach(out -> out.connection.close());
        Set.copyOf(ins).forEach(in -> in.connection.close());
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
        Out out = outs.get(member);
        if (out != null && out.isStuck()) {
            out.connection.close();
            out = outs.get(member);
        }
        if (out == null) {
            out = open(member);
        }
        if (out != null && out.connection.write(TcpFrame.frame(frame))) {
            sent++;
        } else {
            dropped++;
        }
    }

    private Out open(int member) {
        InetSocketAddress at = peers.get(member);
        if (at == null) {
            return null;
        }
        Out out = new Out(member);
        try {
            out.connection = Connection.connect(loop, at, out, TcpFrame.HEAD, ROOM);
        } catch (IOException e) {
            LOG.warn("no connection to member {}: {}", member, e.toString());
            return null;
        }
        outs.put(member, out);
        out.connection.write(TcpFrame.greeting(cluster, self, member));
        return out;
    }

    private void deliver(int from, byte[] frame) {
        if (closed) {
            return;
        }
        received++;
        try {
            receiver.onFrame(from, frame);
        } catch (ClusterException.Malformed e) {
            refused++;
            LOG.warn("member {}: {}; {}", from, e.getMessage(), e.remedy());
        }
    }

    /** To a peer; says the greeting and frames, hears nothing. */
    private final class Out implements Connection.Handler {
        private final int member;
        private final long opened = System.nanoTime();
        private Connection connection;
        private boolean ended;
        private long written = -1;
        private long movedAt = opened;

        Out(int member) {
            this.member = member;
        }

        boolean isStuck() {
            long now = System.nanoTime();
            if (ended) {
                return false;
            }
            if (connection.writtenBytes() != written
                    || connection.unsentBytes() == 0 && connection.isConnected()) {
                written = connection.writtenBytes();
                movedAt = now;
            }
            return now - movedAt > STUCK_NANOS;
        }

        @Override
        public void received(Connection from) {
            from.close();
        }

        @Override
        public void closed(Connection of) {
            // Kept for a while although it is closed: a peer that refuses is not asked for each
            // frame.
            ended = true;
            long rest = AGAIN_NANOS - (System.nanoTime() - opened);
            if (rest <= 0) {
                outs.remove(member, this);
            } else {
                loop.deadlines()
                        .add(
                                loop.clock().now() + rest / 1000,
                                (now, ref) -> outs.remove(member, this),
                                0);
            }
        }
    }

    /** From a peer; hears the greeting and frames, says nothing. */
    private final class In implements Connection.Handler {
        private Connection connection;
        private int from;

        @Override
        public void received(Connection of) {
            try {
                if (from == 0) {
                    TcpFrame.Greeting greeting = TcpFrame.greeting(cluster, of.input());
                    if (greeting == null) {
                        return;
                    }
                    if (greeting.to() != self || greeting.from() <= 0 || greeting.from() == self) {
                        throw new InvalidInputException(
                                "member "
                                        + greeting.from()
                                        + " greets member "
                                        + greeting.to()
                                        + ", this is "
                                        + self);
                    }
                    from = greeting.from();
                }
                for (byte[] frame = TcpFrame.frame(of.input());
                        frame != null;
                        frame = TcpFrame.frame(of.input())) {
                    deliver(from, frame);
                }
            } catch (InvalidInputException e) {
                refused++;
                LOG.warn(
                        "connection of member {} ended: {}",
                        from == 0 ? "?" : from,
                        e.getMessage());
                of.close();
            }
        }

        @Override
        public void closed(Connection of) {
            ins.remove(this);
            listener.connectionClosed();
        }
    }
}
