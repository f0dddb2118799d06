// SPDX-License-Identifier: Apache-2.0
package calicostream.wire;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A stand-in engine that speaks RESP as a test tells it to, on the connections in the order they come. */
public final class RespStand implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    private Socket connection;
    private DataInputStream in;

    public RespStand() throws IOException {
        server.setSoTimeout((int) Program.PATIENCE_MS);
    }

    public InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    /** The next command, its parts joined by '|'; the first comes on a connection accepted now. */
    public String command() throws IOException {
        if (connection == null) {
            connection = server.accept();
            connection.setSoTimeout((int) Program.PATIENCE_MS);
            in = new DataInputStream(connection.getInputStream());
        }
        StringBuilder out = new StringBuilder();
        int parts = count('*');
        for (int i = 0; i < parts; i++) {
            byte[] part = new byte[count('$')];
            in.readFully(part);
            in.readFully(new byte[2]);
            out.append(i > 0 ? "|" : "").append(new String(part, StandardCharsets.UTF_8));
        }
        return out.toString();
    }

    /** Whether nothing arrives for this long; for what must not be sent, after what came before was seen. */
    public boolean quiet(int millis) throws IOException {
        int usual = server.getSoTimeout();
        server.setSoTimeout(millis);
        try {
            if (connection != null) {
                connection.setSoTimeout(millis);
                in.mark(1);
                return in.read() < 0;
            }
            server.accept().close();
            return false;
        } catch (SocketTimeoutException e) {
            return true;
        } finally {
            server.setSoTimeout(usual);
        }
    }

    /** Answers; parts are separated by '|'. */
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
        raw(out.toString(StandardCharsets.UTF_8));
    }

    public void raw(String bytes) throws IOException {
        connection.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
    }

    /** Resets the connection, as a process does that dies; the next command then comes on a new one. */
    public void hangUp() throws IOException {
        if (connection != null) {
            connection.setSoLinger(true, 0);
            connection.close();
            connection = null;
        }
    }

    public void die() throws IOException {
        hangUp();
        server.close();
    }

    /** Whether the other side ends the connection. */
    public boolean ended() throws IOException {
        try {
            return in.read() < 0;
        } catch (SocketException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        die();
    }

    private int count(char type) throws IOException {
        int c = in.read();
        if (c != type) {
            throw new IOException(c < 0 ? "the connection ended" : "not " + type + " but " + (char) c);
        }
        int value = 0;
        for (c = in.read(); c != '\r'; c = in.read()) {
            value = value * 10 + c - '0';
        }
        in.read();
        return value;
    }
}
