// SPDX-License-Identifier: Apache-2.0
package calicostream.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Accepts connections on one address, up to a number open at once. */
public final class Listener {
    private static final Logger LOG = LoggerFactory.getLogger(Listener.class);
    private static final int BACKLOG = 512;
    private static final long PAUSE = 20_000;
    private final Loop loop;
    private final ServerSocketChannel channel;
    private final SelectionKey key;
    private final int most;
    private final Consumer<SocketChannel> accepted;
    private int open;

    public Listener(Loop loop, InetSocketAddress at, int most, Consumer<SocketChannel> accepted) throws IOException {
        this.loop = loop;
        this.most = most;
        this.accepted = accepted;
        channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(at, BACKLOG);
        key = loop.register(channel, SelectionKey.OP_ACCEPT, this::accept);
    }

    public int port() throws IOException {
        return ((InetSocketAddress) channel.getLocalAddress()).getPort();
    }

    /** A connection that this listener accepted has ended. */
    public void released() {
        open--;
        if (key.isValid()) {
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }

    public void close() throws IOException {
        channel.close();
    }

    private void accept() {
        try {
            while (open < most) {
                SocketChannel next = channel.accept();
                if (next == null) {
                    return;
                }
                open++;
                next.setOption(StandardSocketOptions.TCP_NODELAY, true);
                accepted.accept(next);
            }
            key.interestOps(0); // Full: more wait in the backlog until one is released.
        } catch (IOException e) { // Out of descriptors, most likely: a spinning acceptor would help nobody.
            LOG.warn("accept: {}", e.toString());
            key.interestOps(0);
            loop.deadlines().add(loop.clock().now() + PAUSE, (now, ref) -> {
                if (key.isValid()) {
                    key.interestOps(SelectionKey.OP_ACCEPT);
                }
            }, 0);
        }
    }
}
