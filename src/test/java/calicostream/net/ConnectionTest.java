// SPDX-License-Identifier: Apache-2.0
package calicostream.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.core.Clock;
import calicostream.core.Deadlines;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The end of a connection, against another side that reads as a test says and on a clock that it
 * turns.
 */
class ConnectionTest {
    private static final int PATIENCE_S = 20;
    private static final int BOUND = 128 * 1024;
    private static final int SOCKET_TAKES =
            4 * 1024; // far less than the ring: it empties in many steps
    private static final long LINGERS = 1_100_000;
    private final AtomicLong ahead = new AtomicLong();
    private final CompletableFuture<Connection> accepted = new CompletableFuture<>();
    private SelectorLoop loop;
    private SelectorLoopThread thread;
    private Socket client;
    private Connection connection;

    @BeforeEach
    void start() throws Exception {
        Clock clock =
                new Clock() {
                    @Override
                    public long now() {
                        return super.now() + ahead.get();
                    }
                };
        loop = new SelectorLoop(clock, new Deadlines());
        Listener listener =
                new Listener(
                        loop,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        8,
                        new Listener.Acceptor() {
                            @Override
                            public void accepted(SocketChannel channel) throws IOException {
                                channel.setOption(StandardSocketOptions.SO_SNDBUF, SOCKET_TAKES);
                                accepted.complete(
                                        Connection.ofAccepted(
                                                loop,
                                                channel,
                                                new Connection.Handler() {
                                                    @Override
                                                    public void received(Connection c) {}

                                                    @Override
                                                    public void closed(Connection c) {}
                                                },
                                                BOUND,
                                                BOUND));
                            }

                            @Override
                            public boolean evictOne() {
                                return false;
                            }
                        });
        thread = new SelectorLoopThread(loop);
        client = new Socket();
        client.setReceiveBufferSize(8 * 1024);
        client.setSoTimeout(PATIENCE_S * 1000);
        client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.port()));
        connection = accepted.get(PATIENCE_S, TimeUnit.SECONDS);
    }

    @AfterEach
    void end() throws IOException {
        loop.post(loop::stop);
        client.close();
    }

    private <T> T on(Callable<T> work) throws Exception {
        return thread.call(work);
    }

    /** Writes until the socket takes no more and half of the ring is full; the bytes queued. */
    private long fill() throws Exception {
        return on(
                () -> {
                    while (connection.unsentBytes() < BOUND / 2) {
                        connection.write(new byte[1024]);
                        connection.flushNow();
                    }
                    return connection.queuedBytes();
                });
    }

    /** Reads until so many bytes more have gone into the socket. */
    private long readUntilWritten(InputStream in, long count) throws Exception {
        long before = on(connection::writtenBytes);
        long read = 0;
        for (byte[] some = new byte[4096]; on(connection::writtenBytes) < before + count; ) {
            int more = in.read(some);
            assertTrue(more > 0, "it ended after " + read + " bytes more");
            read += more;
        }
        return read;
    }

    private void passASecond() throws Exception {
        ahead.addAndGet(LINGERS);
        thread.awaitDue();
    }

    @Test
    void whoReadsSlowlyHasAllOfTheLastAnswer() throws Exception {
        long queued = fill();
        on(
                () -> {
                    connection.closeGracefully();
                    return null;
                });
        InputStream in = client.getInputStream();
        long read = 0;
        for (int second = 0; second < 3; second++) {
            read += readUntilWritten(in, 1);
            passASecond();
        }
        assertEquals(queued, read + in.readAllBytes().length);
    }

    @Test
    void whoReadsNothingIsNotWaitedFor() throws Exception {
        fill();
        on(
                () -> {
                    connection.closeGracefully();
                    return null;
                });
        // The system itself may take some more, which can't be told from reading; of two seconds
        // without, one is a whole one.
        for (int quiet = 0; quiet < 2; ) {
            long before = on(connection::writtenBytes);
            passASecond();
            quiet = on(connection::writtenBytes) > before ? 0 : quiet + 1;
        }
        assertTrue(on(connection::isClosed));
    }
}
