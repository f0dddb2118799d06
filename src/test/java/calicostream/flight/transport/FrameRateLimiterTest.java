// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

class FrameRateLimiterTest {
    private static final int PREFACE_BYTES = 24;
    private final AtomicBoolean mayRead = new AtomicBoolean(true);
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private int reads;

    private void start() {
        ClientConnection connection = new ClientConnection(channel, System.nanoTime());
        connection.setReadCondition(mayRead::get);
        channel.pipeline()
                .addLast(
                        new ChannelOutboundHandlerAdapter() {
                            @Override
                            public void read(ChannelHandlerContext context) {
                                reads++;
                            }
                        },
                        new FrameRateLimiter(connection));
        channel.writeInbound(Unpooled.buffer().writeZero(PREFACE_BYTES));
    }

    private static ByteBuf pings(int count) {
        ByteBuf out = Unpooled.buffer();
        for (int i = 0; i < count; i++) {
            out.writeMedium(8).writeByte(6).writeByte(0).writeInt(0).writeLong(0);
        }
        return out;
    }

    private int readsAsked() {
        int before = reads;
        channel.read();
        return reads - before;
    }

    private void awaitReading() {
        while (!channel.config().isAutoRead() && channel.isOpen()) {
            LockSupport.parkNanos(1_000_000);
            channel.runScheduledPendingTasks();
        }
    }

    /** Netty's handler of HTTP/2 reads on where only the automatic reads are off. */
    @Test
    void aFloodIsNotReadOnWhoeverAsks() {
        start();
        channel.writeInbound(pings(9_000));
        assertTrue(channel.config().isAutoRead());
        channel.writeInbound(pings(2_000));
        assertFalse(channel.config().isAutoRead());
        assertEquals(0, readsAsked());
        awaitReading();
        assertEquals(1, readsAsked());
    }

    @Test
    void aConnectionWaitsWhileItsMessagesMayNotBeRead() {
        start();
        mayRead.set(false);
        channel.writeInbound(pings(1));
        assertEquals(0, readsAsked());
        mayRead.set(true);
        awaitReading();
        assertEquals(1, readsAsked());
    }

    /** What a client left behind was carried on while its close was not read. */
    @Test
    void aConnectionThatFloodsForASecondIsClosed() {
        start();
        long end = System.nanoTime() + 3_000_000_000L;
        while (channel.isOpen() && System.nanoTime() < end) {
            channel.writeInbound(pings(2_000));
            awaitReading();
        }
        assertFalse(channel.isOpen());
    }
}
