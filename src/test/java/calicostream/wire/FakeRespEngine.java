// SPDX-License-Identifier: Apache-2.0
package calicostream.wire;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in engine that speaks RESP as a test tells it to; commands come from all its connections
 * in one line.
 */
public final class FakeRespEngine implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    private final BlockingQueue<Command> commands = new LinkedBlockingQueue<>();
    private final Queue<Peer> peers = new ConcurrentLinkedQueue<>();
    private final Map<String, Peer> asked = new ConcurrentHashMap<>();
    private volatile Peer last;
    private volatile boolean dead;

    private record Command(Peer from, String text) {}

    private record Peer(Socket socket, CountDownLatch ended) {}

    public FakeRespEngine() throws IOException {
        FakePlatform.daemon(
                () -> {
                    while (true) {
                        Peer peer = new Peer(server.accept(), new CountDownLatch(1));
                        peers.add(peer);
                        if (dead) { // A thread that waits in accept may take one more while the
                            // socket closes.
                            reset(peer);
                        }
                        FakePlatform.daemon(() -> read(peer));
                    }
                });
    }

    private void read(Peer peer) throws IOException {
        try {
            DataInputStream in =
                    new DataInputStream(new BufferedInputStream(peer.socket.getInputStream()));
            while (true) {
                commands.add(new Command(peer, command(in)));
            }
        } finally {
            peer.ended.countDown();
        }
    }

    public InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    /**
     * The next command, its parts joined by '|'; what is said of "the connection" is from now on
     * its own.
     */
    public String command() throws IOException {
        String command = poll(ServerProgram.PATIENCE_MS);
        if (command == null) {
            throw new IOException("no command came");
        }
        return command;
    }

    /** The next command, or null if none comes within this time. */
    public String poll(long millis) throws IOException {
        Command next = next((int) millis);
        if (next == null) {
            return null;
        }
        last = next.from;
        String[] words = next.text.split("\\|", 3);
        if (words[0].equals("REQ")) {
            asked.put(words[1], next.from);
        }
        return next.text;
    }

    /**
     * Whether nothing arrives for this long; for what must not be sent, after what came before was
     * seen.
     */
    public boolean quiet(int millis) throws IOException {
        return next(millis) == null;
    }

    private Command next(int millis) throws IOException {
        try {
            return commands.poll(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Answers on the connection on which this id was asked for; parts are separated by '|'. */
    public void answer(String parts) throws IOException {
        String[] each = parts.split("\\|", -1);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(("*" + each.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
        for (String part : each) {
            byte[] raw = part.getBytes(StandardCharsets.UTF_8);
            out.writeBytes(("$" + raw.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.writeBytes(raw);
            out.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        asked.getOrDefault(each[0], last).socket.getOutputStream().write(out.toByteArray());
    }

    /** Bytes on the connection of the last command. */
    public void raw(String bytes) throws IOException {
        last.socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
    }

    /** Resets the connection of the last command. */
    public void hangUp() throws IOException {
        reset(last);
    }

    /** Waits until what was sent on the connection on which this id was asked for has been read. */
    public void awaitRead(String id) throws IOException {
        Peer peer = asked.get(id);
        SocketTable.awaitRead(peer.socket.getPort(), peer.socket.getLocalPort());
    }

    /**
     * Ends the connection of the last command without a reset, and waits until the other side's
     * socket has heard of it.
     */
    public void leave() throws IOException {
        int local = last.socket.getLocalPort();
        int remote = last.socket.getPort();
        last.socket.close();
        SocketTable.awaitEnd(remote, local);
    }

    private static void reset(Peer peer) throws IOException {
        if (!peer.socket.isClosed()) {
            peer.socket.setSoLinger(true, 0);
            peer.socket.close();
        }
    }

    /** Resets all connections and listens no more, as a process does that dies. */
    public void die() throws IOException {
        dead = true;
        server.close();
        for (Peer peer : peers) {
            reset(peer);
        }
    }

    /** How many connections have come in all. */
    public int connections() {
        return peers.size();
    }

    /** Whether the other side ends the connection of the last command. */
    public boolean ended() throws IOException {
        try {
            return last.ended.await(ServerProgram.PATIENCE_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        die();
    }

    private static String command(DataInputStream in) throws IOException {
        StringBuilder out = new StringBuilder();
        int parts = count(in, '*');
        for (int i = 0; i < parts; i++) {
            byte[] part = new byte[count(in, '$')];
            in.readFully(part);
            in.readFully(new byte[2]);
            out.append(i > 0 ? "|" : "").append(new String(part, StandardCharsets.UTF_8));
        }
        return out.toString();
    }

    private static int count(DataInputStream in, char type) throws IOException {
        int c = in.read();
        if (c != type) {
            throw new IOException(
                    c < 0 ? "the connection ended" : "not " + type + " but " + (char) c);
        }
        int value = 0;
        for (c = in.read(); c != '\r'; c = in.read()) {
            value = value * 10 + c - '0';
        }
        in.read();
        return value;
    }
}
