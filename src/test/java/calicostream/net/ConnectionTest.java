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

/** Graceful close, against a peer that reads as the test says, and with a manual clock. */
class ConnectionTest {
    private static final int TIMEOUT_SECONDS = 20;
    private static final int BUFFER_BYTES = 128 * 1024;

    /** Far less than the buffer, which so empties in many steps. */
    private static final int SOCKET_SEND_BUFFER_BYTES = 4 * 1024;

    private static final long LINGER_MICROS = 1_100_000;
    private final AtomicLong advancedMicros = new AtomicLong();
    private final CompletableFuture<Connection> accepted = new CompletableFuture<>();
    private SelectorLoop loop;
    private SelectorLoopThread thread;
    private Socket client;
    private Connection connection;

    @BeforeEach
    void connect() throws Exception {
        Clock clock =
                new Clock() {
                    @Override
                    public long now() {
                        return super.now() + advancedMicros.get();
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
                                channel.setOption(
                                        StandardSocketOptions.SO_SNDBUF, SOCKET_SEND_BUFFER_BYTES);
                                accepted.complete(
                                        Connection.ofAccepted(
                                                loop,
                                                channel,
                                                new Connection.Handler() {
                                                    @Override
                                                    public void received(Connection connection) {}

                                                    @Override
                                                    public void closed(Connection connection) {}
                                                },
                                                BUFFER_BYTES,
                                                BUFFER_BYTES));
                            }

                            @Override
                            public boolean evictOne() {
                                return false;
                            }
                        });
        thread = new SelectorLoopThread(loop);
        client = new Socket();
        client.setReceiveBufferSize(8 * 1024);
        client.setSoTimeout(TIMEOUT_SECONDS * 1000);
        client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.port()));
        connection = accepted.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @AfterEach
    void disconnect() throws IOException {
        loop.post(loop::stop);
        client.close();
    }

    private <T> T on(Callable<T> work) throws Exception {
        return thread.call(work);
    }

    /** Writes until the socket accepts no more and half of the buffer is full; the bytes queued. */
    private long fillBuffer() throws Exception {
        return on(
                () -> {
                    while (connection.unsentBytes() < BUFFER_BYTES / 2) {
                        connection.write(new byte[1024]);
                        connection.flushNow();
                    }
                    return connection.queuedBytes();
                });
    }

    /** Reads until the connection has written so many more bytes to the socket. */
    private long readUntilWritten(InputStream in, long count) throws Exception {
        long before = on(connection::writtenBytes);
        long total = 0;
        byte[] chunk = new byte[4096];
        while (on(connection::writtenBytes) < before + count) {
            int length = in.read(chunk);
            assertTrue(length > 0, "it ended after " + total + " bytes more");
            total += length;
        }
        return total;
    }

    private void advancePastLinger() throws Exception {
        advancedMicros.addAndGet(LINGER_MICROS);
        thread.awaitDue();
    }

    @Test
    void aSlowReaderReceivesAllOfTheLastResponse() throws Exception {
        long queued = fillBuffer();
        on(
                () -> {
                    connection.closeGracefully();
                    return null;
                });
        InputStream in = client.getInputStream();
        long read = 0;
        for (int round = 0; round < 3; round++) {
            read += readUntilWritten(in, 1);
            advancePastLinger();
        }
        assertEquals(queued, read + in.readAllBytes().length);
    }

    @Test
    void aPeerThatReadsNothingIsNotAwaited() throws Exception {
        fillBuffer();
        on(
                () -> {
                    connection.closeGracefully();
                    return null;
                });
        // The system itself may accept some more, which looks like reading; of two timeouts
        // without progress, one is a complete one.
        int timeoutsWithoutProgress = 0;
        while (timeoutsWithoutProgress < 2) {
            long before = on(connection::writtenBytes);
            advancePastLinger();
            boolean progress = on(connection::writtenBytes) > before;
            timeoutsWithoutProgress = progress ? 0 : timeoutsWithoutProgress + 1;
        }
        assertTrue(on(connection::isClosed));
    }
}
