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

/** Accepts connections on one address, up to a number open at once. */
public final class Listener implements SelectorLoop.ChannelHandler {
    /** Who takes the connections. */
    public interface Acceptor {
        void accepted(SocketChannel channel) throws IOException;

        /** All that may be open are: ends one that can be spared, or says that there is none. */
        boolean evictOne();
    }

    private static final Logger LOG = LoggerFactory.getLogger(Listener.class);
    private static final int BACKLOG = 512;
    private static final int A_TURN = 64; // connections taken before the open ones have a turn
    private static final long PAUSE = 20_000;
    private final SelectorLoop loop;
    private final ServerSocketChannel channel;
    private SelectionKey key;
    private final boolean urgent;
    private int setMaxConnections;
    private final Acceptor taker;
    private int open;

    public Listener(SelectorLoop loop, InetSocketAddress at, int most, Acceptor taker)
            throws IOException {
        this(loop, at, most, taker, false);
    }

    /** How many may be open from now on. */
    public void setMaxConnections(int count) {
        setMaxConnections = count;
    }

    /**
     * Takes all that have connected so far, as closing would reset them, and takes no more: who
     * comes later is refused. The system listens on for as long as the selector knows the channel,
     * so it is let go before the last look.
     */
    public void acceptPendingAndClose() throws IOException {
        try {
            takeAll();
            loop.deregister(key);
            takeAll();
        } finally {
            channel.close();
        }
    }

    private void takeAll() throws IOException {
        for (SocketChannel next = channel.accept(); next != null; next = channel.accept()) {
            open++;
            take(next);
        }
    }

    /** One whose connections are taken before all that is not urgent. */
    public static Listener urgent(SelectorLoop loop, InetSocketAddress at, int most, Acceptor taker)
            throws IOException {
        return new Listener(loop, at, most, taker, true);
    }

    private Listener(
            SelectorLoop loop, InetSocketAddress at, int most, Acceptor taker, boolean urgent)
            throws IOException {
        this.loop = loop;
        this.urgent = urgent;
        this.setMaxConnections = most;
        this.taker = taker;
        channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        if (!urgent) { // Another process of the same front end may listen, too.
            channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        }
        channel.bind(at, BACKLOG);
        key = loop.register(channel, SelectionKey.OP_ACCEPT, this);
    }

    public int port() throws IOException {
        return ((InetSocketAddress) channel.getLocalAddress()).getPort();
    }

    /** A connection that this listener accepted has ended. */
    public void connectionClosed() {
        open--;
        resume();
    }

    private void resume() {
        if (key.isValid() && key.interestOps() == 0) {
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }

    public void close() throws IOException {
        channel.close();
    }

    @Override
    public void onKeyReplaced(SelectionKey to) {
        key = to;
    }

    @Override
    public boolean isUrgent() {
        return urgent;
    }

    @Override
    public void onReady() {
        try {
            for (int i = 0; i < A_TURN; i++) {
                if (open >= setMaxConnections && !taker.evictOne()) {
                    onFailure(); // Full: more wait in the backlog for a while.
                    return;
                }
                SocketChannel next = channel.accept();
                if (next == null) {
                    return;
                }
                open++;
                take(next);
            }
        } catch (IOException e) { // Out of descriptors, most likely: a spinning acceptor would help
            // nobody.
            LOG.warn("accept: {}", e.toString());
            onFailure();
        }
    }

    private void take(SocketChannel next) throws IOException {
        try {
            next.setOption(StandardSocketOptions.TCP_NODELAY, true);
            taker.accepted(next);
        } catch (IOException e) { // Gone before it was taken; the listener has no fault in it.
            open--;
            next.close();
        }
    }

    /** Rests for a moment. */
    @Override
    public void onFailure() {
        if (key.isValid() && key.interestOps() != 0) {
            key.interestOps(0);
            loop.deadlines().add(loop.clock().now() + PAUSE, (now, ref) -> resume(), 0);
        }
    }
}
