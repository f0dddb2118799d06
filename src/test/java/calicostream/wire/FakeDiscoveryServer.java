// SPDX-License-Identifier: Apache-2.0
package calicostream.wire;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A stand-in for the change log: one follower at a time, told what a test says. */
public final class FakeDiscoveryServer implements AutoCloseable {
    private static final int SIGN_MS = 200;
    private final ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    private Socket follower;
    private ScheduledExecutorService awake;

    public FakeDiscoveryServer() throws IOException {
        server.setSoTimeout((int) ServerProgram.PATIENCE_MS);
    }

    public int port() {
        return server.getLocalPort();
    }

    /** Waits for a follower, answers it, and returns the number it asks to hear from. */
    public String follow() throws IOException {
        return follow("");
    }

    /** The same, with events right behind the answer's head. */
    public String follow(String events) throws IOException {
        follower = server.accept();
        while (SocketTable.hasEnded(
                follower.getLocalPort(),
                follower.getPort())) { // It gave up before it was answered.
            follower = server.accept();
        }
        BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(
                                follower.getInputStream(), StandardCharsets.US_ASCII));
        String last = "";
        if (!in.readLine().equals("GET /changes HTTP/1.1")) {
            throw new IOException("not a follower");
        }
        for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
            last = line.startsWith("Last-Event-ID: ") ? line.substring(15) : last;
        }
        write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n" + events);
        return last;
    }

    /** Takes a follower and says nothing to it, until it goes. */
    public void hold() throws IOException {
        try (Socket silent = server.accept()) {
            silent.setSoTimeout((int) ServerProgram.PATIENCE_MS);
            silent.getInputStream().readAllBytes();
        }
    }

    public void tell(int seq, String event) throws IOException {
        write("id: " + seq + "\ndata: " + event + "\n\n");
    }

    /**
     * From now on it says now and then that it is there: followers leave a log that is silent for
     * two seconds.
     */
    public void stayAwake() {
        awake =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, "change log");
                            thread.setDaemon(true);
                            return thread;
                        });
        awake.scheduleAtFixedRate(
                () -> {
                    try {
                        write(": here\n\n");
                    } catch (IOException e) {
                        awake.shutdown(); // The follower has gone, and the test with it.
                    }
                },
                SIGN_MS,
                SIGN_MS,
                TimeUnit.MILLISECONDS);
    }

    public synchronized void write(String text) throws IOException {
        follower.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    public void hangUp() throws IOException {
        follower.close();
    }

    @Override
    public void close() throws IOException {
        server.close();
        if (awake != null) {
            awake.shutdownNow();
        }
        if (follower != null) {
            follower.close();
        }
    }
}
