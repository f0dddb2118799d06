// SPDX-License-Identifier: Apache-2.0
package calicostream.rig;

import calicostream.lease.FencingTokenGuard;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What leased tasks act upon, in the rig's own process. An actor says that it is about to act, is
 * told to go on, and acts; the gate lets the rig hold one of them between the two, which is after
 * its check that it holds the lease. Tokens are checked unless the rig takes that away, which is
 * the control. Every act is recorded as it is decided, one at a time.
 */
final class FakeFencedResource implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    private final Set<Socket> peers = ConcurrentHashMap.newKeySet();
    private OperationHistory history;
    private FencingTokenGuard fence = new FencingTokenGuard();
    private boolean fenced = true;
    private boolean gate;
    private String held = "";
    private long last = -1;

    FakeFencedResource(OperationHistory history) throws IOException {
        this.history = history;
        FakeServers.daemon(
                "resource's door",
                () -> {
                    while (!server.isClosed()) {
                        Socket peer = server.accept();
                        peers.add(peer);
                        FakeServers.daemon("resource's peer", () -> serve(peer));
                    }
                });
    }

    int port() {
        return server.getLocalPort();
    }

    /** Records there from now on, and checks tokens or does not. What it knew of tokens stays. */
    synchronized void begin(OperationHistory into, boolean checks) {
        history = into;
        fenced = checks;
    }

    /** The next actor that says it is about to act is held. */
    synchronized void closeGate() {
        gate = true;
        held = "";
    }

    /** Who is held at the gate, waited for. */
    synchronized String awaitHeld() throws InterruptedException {
        long end = System.nanoTime() + ServerProcess.PATIENCE_MS * 1_000_000;
        while (held.isEmpty() && System.nanoTime() < end) {
            wait(100);
        }
        if (held.isEmpty()) {
            throw new AssertionError("nobody came to act");
        }
        return held;
    }

    /** Who is held goes on. */
    synchronized void openGate() {
        gate = false;
        held = "";
        notifyAll();
    }

    /** When the last act was done; -1 before the first. */
    synchronized long last() {
        return last;
    }

    private void serve(Socket peer) throws Exception {
        try (peer;
                BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(
                                        peer.getInputStream(), StandardCharsets.US_ASCII))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String[] words = line.split(" ");
                String answer =
                        words[0].equals("READY")
                                ? ready(words[3])
                                : act(
                                        words[1],
                                        Long.parseLong(words[2]),
                                        words[3],
                                        Long.parseLong(words[4]));
                peer.getOutputStream().write((answer + "\n").getBytes(StandardCharsets.US_ASCII));
            }
        } finally {
            peers.remove(peer);
        }
    }

    private synchronized String ready(String who) throws InterruptedException {
        if (gate && held.isEmpty()) {
            held = who;
            notifyAll();
            while (held.equals(who)) {
                wait();
            }
        }
        return "GO";
    }

    private synchronized String act(String lease, long token, String who, long number) {
        boolean outdated = fence.admit(lease, token).isPresent();
        boolean done = !fenced || !outdated;
        long now = System.nanoTime();
        history.add(new OperationHistory.Act(lease, token, who, number, now, done));
        last = done ? now : last;
        return done ? "DONE" : "REFUSED " + fence.highestToken(lease);
    }

    @Override
    public void close() throws IOException {
        openGate();
        server.close();
        for (Socket each : peers) {
            each.close();
        }
    }
}
