// SPDX-License-Identifier: Apache-2.0
package calicostream.rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A change log with any number of followers and nothing new to tell, which says each half second
 * that it is there.
 */
final class FakeEndpointList implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    private final Set<Socket> followers = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService beat =
            Executors.newSingleThreadScheduledExecutor(FakeServers.daemons("change log"));

    FakeEndpointList() throws IOException {
        FakeServers.daemon(
                "change log's door",
                () -> {
                    while (!server.isClosed()) {
                        Socket follower = server.accept();
                        write(
                                follower,
                                "HTTP/1.1 200 OK\r\n"
                                        + "Content-Type: text/event-stream\r\n\r\n"
                                        + ": here\n\n");
                        followers.add(follower);
                    }
                });
        beat.scheduleAtFixedRate(
                () -> followers.forEach(each -> write(each, ": here\n\n")),
                500,
                500,
                TimeUnit.MILLISECONDS);
    }

    private void write(Socket follower, String text) {
        try {
            follower.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            followers.remove(follower); // It has ended or asks anew.
        }
    }

    int port() {
        return server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        beat.shutdownNow();
        server.close();
        for (Socket each : followers) {
            each.close();
        }
    }
}
