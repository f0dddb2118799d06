// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.TimeUnit;

/**
 * Reads a client's connection no faster than its frames may come, and not at all while the client
 * leaves its answers unread or others' messages have to become whole first. A client that floods
 * its connection waits, and costs the others no more than one at this rate; after a second of it
 * the connection is closed.
 */
final class FrameRateLimiter extends ChannelDuplexHandler {
    /** Frames that carry next to nothing, of one connection in a second. */
    private static final long FRAMES_PER_SECOND = 10_000;

    /** A client sends about one WINDOW_UPDATE for so much that it has read, or for more. */
    private static final double BYTES_WRITTEN_PER_TOKEN = 1024;

    /**
     * Answers that may wait to be written. gRPC's flow control hands results over as the socket
     * takes them, so that no more than that are acknowledgements, headers and errors.
     */
    private static final long MAX_UNREAD_BYTES = 256 * 1024;

    private static final long PAUSE_MILLIS = 20;
    private static final long MAX_FLOOD_NANOS = 1_000_000_000;
    private static final long NOT_FLOODING = Long.MIN_VALUE;

    private final FrameCosts costs = new FrameCosts();
    private final TokenBucket tokens = new TokenBucket(FRAMES_PER_SECOND, System.nanoTime());

    private final ClientConnection connection;
    private long floodingSinceNanos = NOT_FLOODING;
    private boolean paused;

    FrameRateLimiter(ClientConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object read) {
        connection.received(System.nanoTime());
        if (read instanceof ByteBuf bytes) {
            tokens.charge(costs.of(bytes));
        }
        context.fireChannelRead(read);
        if (floodsTooLong()) {
            context.close();
        } else if (!paused && mustPause(context)) {
            paused = true;
            context.channel().config().setAutoRead(false);
            resumeLater(context);
        }
    }

    /**
     * A close by the client is behind all that it has written: it must not stay unread for long.
     */
    private boolean floodsTooLong() {
        long now = System.nanoTime();
        boolean hasTokens = tokens.hasTokens(now);
        if (tokens.isHalfFull()) {
            floodingSinceNanos = NOT_FLOODING;
        } else if (!hasTokens && floodingSinceNanos == NOT_FLOODING) {
            floodingSinceNanos = now;
        }
        return floodingSinceNanos != NOT_FLOODING && now - floodingSinceNanos > MAX_FLOOD_NANOS;
    }

    /** Netty's handler of HTTP/2 asks for more by itself where reads are not automatic. */
    @Override
    public void read(ChannelHandlerContext context) {
        if (!paused) {
            context.read();
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object written, ChannelPromise promise) {
        if (written instanceof ByteBuf bytes) {
            tokens.credit(bytes.readableBytes() / BYTES_WRITTEN_PER_TOKEN);
        }
        context.write(written, promise);
    }

    private void resumeLater(ChannelHandlerContext context) {
        context.executor().schedule(() -> resume(context), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void resume(ChannelHandlerContext context) {
        if (!context.channel().isOpen()) {
            return;
        }
        if (mustPause(context)) {
            resumeLater(context);
        } else {
            paused = false;
            context.channel().config().setAutoRead(true);
        }
    }

    private boolean mustPause(ChannelHandlerContext context) {
        ChannelOutboundBuffer unread = context.channel().unsafe().outboundBuffer();
        boolean isUnread = unread != null && unread.totalPendingWriteBytes() > MAX_UNREAD_BYTES;
        return isUnread || !tokens.hasTokens(System.nanoTime()) || !connection.mayRead();
    }
}
