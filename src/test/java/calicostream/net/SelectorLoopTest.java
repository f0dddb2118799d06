// SPDX-License-Identifier: Apache-2.0
package calicostream.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.core.Clock;
import calicostream.core.Deadlines;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Failures of the selector under open channels. */
class SelectorLoopTest {
    private static final int TIMEOUT_SECONDS = 20;
    private static final byte FAILING_BYTE = 0;
    private final Queue<Error> injectedErrors = new ConcurrentLinkedQueue<>();

    /** Connections and the listener are sound and go on. */
    @Test
    void aFailedSelectorIsReplacedUnderItsChannels() throws Exception {
        AtomicInteger remainingFailures = new AtomicInteger();
        SelectorLoop loop =
                new SelectorLoop(
                        new Clock(),
                        new Deadlines(),
                        (selector, ready, timeoutMillis) -> {
                            if (remainingFailures.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
                                throw new IOException("Bad file descriptor");
                            }
                            selector.select(ready, timeoutMillis < 0 ? 1 : timeoutMillis);
                        });
        Listener listener =
                new Listener(
                        loop,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        8,
                        echo(loop));
        CompletableFuture<Void> ended =
                CompletableFuture.runAsync(
                        () -> {
                            try {
                                loop.run();
                            } catch (IOException e) {
                                throw new UncheckedIOException(e);
                            }
                        });
        try (Socket early = new Socket(InetAddress.getLoopbackAddress(), listener.port())) {
            assertEchoes(early, "before");
            for (int round = 0; round < 5; round++) {
                remainingFailures.set(3);
                loop.post(() -> {});
                assertEchoes(early, "after " + round);
                try (Socket late = new Socket(InetAddress.getLoopbackAddress(), listener.port())) {
                    assertEchoes(late, "new " + round);
                }
            }
            remainingFailures.set(1000); // The system itself fails: the loop ends.
            loop.post(() -> {});
            Exception e =
                    assertThrows(
                            ExecutionException.class,
                            () -> ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertEquals("Bad file descriptor", e.getCause().getCause().getMessage());
            assertTrue(remainingFailures.get() > 900, "it gave up after a few");
        }
    }

    /** A StackOverflowError of one task ended the loop, and the process with it. */
    @Test
    void errorsOfTasksAndChannelsDoNotEndTheLoop() throws Exception {
        SelectorLoop loop = new SelectorLoop(new Clock(), new Deadlines());
        Listener listener =
                new Listener(
                        loop,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        8,
                        echo(loop));
        CompletableFuture<Void> ended =
                CompletableFuture.runAsync(
                        () -> {
                            try {
                                loop.run();
                            } catch (IOException e) {
                                throw new UncheckedIOException(e);
                            }
                        });
        try (Socket other = new Socket(InetAddress.getLoopbackAddress(), listener.port())) {
            assertEchoes(other, "before");
            for (Error error :
                    List.of(
                            new StackOverflowError("injected"),
                            new NoClassDefFoundError("injected"),
                            new AssertionError("injected"),
                            new OutOfMemoryError("injected"))) {
                loop.post(
                        () -> {
                            throw error;
                        });
                assertEchoes(other, "after a task");
                injectedErrors.add(error);
                try (Socket failing =
                        new Socket(InetAddress.getLoopbackAddress(), listener.port())) {
                    failing.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
                    failing.getOutputStream().write(FAILING_BYTE);
                    assertEquals(-1, failing.getInputStream().read(), "its channel is closed");
                }
                assertEchoes(other, "after a channel");
            }
            loop.post(loop::stop);
            ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    /** Echoes what comes; a failing byte is answered by the next injected error. */
    private Listener.Acceptor echo(SelectorLoop loop) {
        return new Listener.Acceptor() {
            @Override
            public void accepted(SocketChannel channel) throws IOException {
                Connection.ofAccepted(
                        loop,
                        channel,
                        new Connection.Handler() {
                            @Override
                            public void received(Connection connection) {
                                byte[] all = connection.input().copy(0, connection.input().size());
                                connection.input().skip(all.length);
                                if (all[0] == FAILING_BYTE) {
                                    throw injectedErrors.remove();
                                }
                                connection.write(all);
                            }

                            @Override
                            public void closed(Connection connection) {}
                        },
                        4096,
                        4096);
            }

            @Override
            public boolean evictOne() {
                return false;
            }
        };
    }

    private static void assertEchoes(Socket socket, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        socket.getOutputStream().write(bytes);
        assertArrayEquals(bytes, socket.getInputStream().readNBytes(bytes.length));
    }
}
