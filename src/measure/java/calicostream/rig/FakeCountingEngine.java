// SPDX-License-Identifier: Apache-2.0
package calicostream.rig;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * An engine that serves each request after a fixed time, unless it is called off, and records when
 * each ran.
 */
final class FakeCountingEngine implements AutoCloseable {
    private static final int CORES = 12;
    private final ServerSocket server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    private final Set<Socket> peers = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> running = new ConcurrentHashMap<>();
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(FakeServers.daemons("engine"));
    private final int number;
    private final long serviceMs;
    private final OperationHistory history;

    FakeCountingEngine(int number, long serviceMs, OperationHistory history) throws IOException {
        this.number = number;
        this.serviceMs = serviceMs;
        this.history = history;
        FakeServers.daemon(
                "engine's door",
                () -> {
                    while (!server.isClosed()) {
                        Socket peer = server.accept();
                        peer.setTcpNoDelay(true);
                        peers.add(peer);
                        FakeServers.daemon("engine's peer", () -> serve(peer));
                    }
                });
    }

    InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    private void serve(Socket peer) throws IOException {
        try (peer) {
            DataInputStream in =
                    new DataInputStream(new BufferedInputStream(peer.getInputStream()));
            while (true) {
                String[] words = command(in);
                if (words[0].equals("REQ")) {
                    String id = words[1];
                    running.put(id, System.nanoTime());
                    timer.schedule(() -> end(peer, id), serviceMs, TimeUnit.MILLISECONDS);
                } else if (words[0].equals("STOP")) {
                    ended(words[1]);
                }
            }
        } finally {
            peers.remove(peer);
        }
    }

    private boolean ended(String id) {
        Long from = running.remove(id);
        if (from != null) {
            history.add(new OperationHistory.Ran(id, number, from, System.nanoTime()));
        }
        return from != null;
    }

    private void end(Socket peer, String id) {
        if (ended(id)) {
            try {
                peer.getOutputStream()
                        .write(
                                array(
                                        id,
                                        "DONE",
                                        "sheets=1,stats=util:"
                                                + (double) Math.min(CORES, running.size()) / CORES
                                                + ";inflight:"
                                                + running.size(),
                                        "row\n"));
            } catch (IOException e) {
                // Who asked is gone; that it ran is recorded.
            }
        }
    }

    private static byte[] array(String... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(("*" + parts.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
        for (String part : parts) {
            out.writeBytes(
                    ("$" + part.length() + "\r\n" + part + "\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
        }
        return out.toByteArray();
    }

    private static String[] command(DataInputStream in) throws IOException {
        String[] out = new String[count(in, '*')];
        for (int i = 0; i < out.length; i++) {
            byte[] part = new byte[count(in, '$')];
            in.readFully(part);
            in.readFully(new byte[2]);
            out[i] = new String(part, StandardCharsets.UTF_8);
        }
        return out;
    }

    private static int count(DataInputStream in, char type) throws IOException {
        if (in.read() != type) {
            throw new EOFException("the connection ended, or is no connection of a front end");
        }
        int value = 0;
        for (int c = in.read(); c != '\r'; c = in.read()) {
            if (c < '0' || c > '9') {
                throw new EOFException("not a count");
            }
            value = value * 10 + c - '0';
        }
        in.readFully(new byte[1]);
        return value;
    }

    @Override
    public void close() throws IOException {
        timer.shutdownNow();
        server.close();
        for (Socket each : peers) {
            each.close();
        }
    }
}
