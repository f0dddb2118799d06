// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.transport;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.List;

/**
 * Accepts clients of a gRPC server, and guards each connection before gRPC sees its bytes. At the
 * maximum number of connections one without a call makes room for a new one; where all have calls,
 * the new one is closed at once.
 */
public final class ClientListener extends NioServerSocketChannel {
    /**
     * The largest buffer that a connection is read to. A connection keeps one while a frame of
     * HTTP/2 is not whole.
     */
    private static final int READ_BYTES = 16 * 1024;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2048;

    /** Reads of one connection before others are read. */
    private static final int READS_AT_ONCE = 2;

    private final OpenConnections connections;
    private final PartialMessages partialMessages;

    /**
     * Creates a listener.
     *
     * @param maxConnections the largest number of connections open at once
     * @param maxPartialBytes what all connections together hold of messages that have not arrived
     *     whole, in bytes
     */
    public ClientListener(int maxConnections, long maxPartialBytes) {
        connections = new OpenConnections(maxConnections);
        partialMessages = new PartialMessages(maxPartialBytes);
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        int before = accepted.size();
        super.doReadMessages(accepted);
        for (int i = accepted.size() - 1; i >= before; i--) {
            Channel connection = (Channel) accepted.get(i);
            if (connections.makeRoom()) {
                guard(connection);
            } else {
                accepted.remove(i);
                connection.unsafe().closeForcibly();
            }
        }
        return accepted.size() - before;
    }

    private void guard(Channel channel) {
        channel.config()
                .setRecvByteBufAllocator(
                        new AdaptiveRecvByteBufAllocator(
                                        MIN_READ_BYTES, FIRST_READ_BYTES, READ_BYTES)
                                .maxMessagesPerRead(READS_AT_ONCE));
        ClientConnection connection = new ClientConnection(channel, System.nanoTime());
        connections.add(connection);
        channel.closeFuture().addListener(closed -> connections.remove(connection));
        channel.pipeline()
                .addLast(
                        new FrameRateLimiter(connection),
                        new MessageGuardInstaller(connection, partialMessages));
    }
}
