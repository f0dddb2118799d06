// SPDX-License-Identifier: Apache-2.0
package calicostream.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.core.Clock;
import calicostream.core.Deadlines;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class SelectorLoopTest {
    private static final int PATIENCE_S = 20;

    /** Connections and the listener go on; only the selector was at fault. */
    @Test
    void aSelectorThatFailsIsReplacedUnderItsChannels() throws Exception {
        AtomicInteger failing = new AtomicInteger();
        SelectorLoop loop =
                new SelectorLoop(
                        new Clock(),
                        new Deadlines(),
                        (selector, ready, ms) -> {
                            if (failing.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
                                throw new IOException("Bad file descriptor");
                            }
                            selector.select(ready, ms < 0 ? 1 : ms);
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
                                throw new java.io.UncheckedIOException(e);
                            }
                        });
        try (Socket early = new Socket(InetAddress.getLoopbackAddress(), listener.port())) {
            assertEchoes(early, "before");
            for (int round = 0; round < 5; round++) {
                failing.set(3);
                loop.post(() -> {});
                assertEchoes(early, "after " + round);
                try (Socket late = new Socket(InetAddress.getLoopbackAddress(), listener.port())) {
                    assertEchoes(late, "new " + round);
                }
            }
            failing.set(1000); // The system itself fails: one error, and no spinning.
            loop.post(() -> {});
            Exception e =
                    assertThrows(
                            java.util.concurrent.ExecutionException.class,
                            () -> ended.get(PATIENCE_S, TimeUnit.SECONDS));
            assertEquals("Bad file descriptor", e.getCause().getCause().getMessage());
            assertTrue(failing.get() > 900, "it gave up after a few");
        }
    }

    private static Listener.Acceptor echo(SelectorLoop loop) {
        return new Listener.Acceptor() {
            @Override
            public void accepted(SocketChannel channel) throws IOException {
                Connection.ofAccepted(
                        loop,
                        channel,
                        new Connection.Handler() {
                            @Override
                            public void received(Connection c) {
                                byte[] all = c.input().copy(0, c.input().size());
                                c.input().skip(all.length);
                                c.write(all);
                            }

                            @Override
                            public void closed(Connection c) {}
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
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_S));
        socket.getOutputStream().write(bytes);
        assertArrayEquals(bytes, socket.getInputStream().readNBytes(bytes.length));
    }
}
