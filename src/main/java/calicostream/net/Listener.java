// SPDX-License-Identifier: Apache-2.0
package calicostream.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts connections on one address, up to a maximum number open at once. It belongs to one event
 * loop, whose thread makes all calls.
 */
public final class Listener implements SelectorLoop.ChannelHandler {
    /** Owns the connections that a listener accepts. */
    public interface Acceptor {
        /**
         * Takes ownership of an accepted channel. The acceptor calls {@link
         * Listener#connectionClosed} once it has closed the channel.
         *
         * @throws IOException where the channel is closed already; it stays the listener's
         */
        void accepted(SocketChannel channel) throws IOException;

        /** Closes a connection in favour of a new one; returns false where none may be closed. */
        boolean evictOne();
    }

    private static final Logger LOG = LoggerFactory.getLogger(Listener.class);
    private static final int BACKLOG = 512;

    /** Open connections are served after so many new ones. */
    private static final int MAX_ACCEPTS_PER_ITERATION = 64;

    private static final long ACCEPT_PAUSE_MICROS = 20_000;

    private final SelectorLoop loop;
    private final ServerSocketChannel channel;
    private final Acceptor acceptor;
    private final boolean urgent;
    private SelectionKey key;
    private int maxConnections;
    private int openConnections;

    /**
     * Listens on an address; other processes may listen on it, too.
     *
     * @throws IOException where the address can't be bound
     */
    public Listener(
            SelectorLoop loop, InetSocketAddress address, int maxConnections, Acceptor acceptor)
            throws IOException {
        this(loop, address, maxConnections, acceptor, false);
    }

    private Listener(
            SelectorLoop loop,
            InetSocketAddress address,
            int maxConnections,
            Acceptor acceptor,
            boolean urgent)
            throws IOException {
        this.loop = loop;
        this.urgent = urgent;
        this.maxConnections = maxConnections;
        this.acceptor = acceptor;
        channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        if (!urgent) { // During a hot restart, two processes of one server listen.
            channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        }
        channel.bind(address, BACKLOG);
        key = loop.register(channel, SelectionKey.OP_ACCEPT, this);
    }

    /**
     * Listens on an address that no other process may listen on; its connections are accepted
     * before channels that are not urgent are served.
     *
     * @throws IOException where the address can't be bound
     */
    public static Listener urgent(
            SelectorLoop loop, InetSocketAddress address, int maxConnections, Acceptor acceptor)
            throws IOException {
        return new Listener(loop, address, maxConnections, acceptor, true);
    }

    /** Changes the maximum number of open connections; those that are open stay so. */
    public void setMaxConnections(int count) {
        maxConnections = count;
    }

    /** The port that it listens on. */
    public int port() throws IOException {
        return ((InetSocketAddress) channel.getLocalAddress()).getPort();
    }

    /** Notifies the listener that a connection it has accepted is closed. */
    public void connectionClosed() {
        openConnections--;
        resume();
    }

    private void resume() {
        if (key.isValid() && key.interestOps() == 0) {
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }

    /** Stops listening; connections that are not accepted yet are reset. */
    public void close() throws IOException {
        channel.close();
    }

    /**
     * Accepts all connections that are established so far, as closing would reset them, then stops
     * listening. The system goes on listening while the selector knows the channel: it is
     * deregistered before the last connections are accepted.
     */
    public void acceptPendingAndClose() throws IOException {
        try {
            acceptPending();
            loop.deregister(key);
            acceptPending();
        } finally {
            channel.close();
        }
    }

    private void acceptPending() throws IOException {
        SocketChannel next = channel.accept();
        while (next != null) {
            passToAcceptor(next);
            next = channel.accept();
        }
    }

    private void passToAcceptor(SocketChannel accepted) throws IOException {
        openConnections++;
        try {
            accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
            acceptor.accepted(accepted);
        } catch (IOException e) { // The client has closed it; the listener itself is sound.
            openConnections--;
            accepted.close();
        }
    }

    @Override
    public void onReady() {
        try {
            acceptSome();
        } catch (IOException e) {
            // Most likely no file descriptor is left: accepting again at once would fail again.
            LOG.warn("accept failed: {}", e.toString());
            pause();
        }
    }

    private void acceptSome() throws IOException {
        for (int i = 0; i < MAX_ACCEPTS_PER_ITERATION; i++) {
            if (openConnections >= maxConnections && !acceptor.evictOne()) {
                pause(); // Further connections wait in the backlog.
                return;
            }
            SocketChannel next = channel.accept();
            if (next == null) {
                return;
            }
            passToAcceptor(next);
        }
    }

    private void pause() {
        if (key.isValid() && key.interestOps() != 0) {
            key.interestOps(0);
            loop.deadlines()
                    .add(loop.clock().now() + ACCEPT_PAUSE_MICROS, (now, reference) -> resume(), 0);
        }
    }

    @Override
    public void onFailure() {
        pause();
    }

    @Override
    public void onKeyReplaced(SelectionKey replacement) {
        key = replacement;
    }

    @Override
    public boolean isUrgent() {
        return urgent;
    }
}
