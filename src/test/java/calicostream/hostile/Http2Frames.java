// SPDX-License-Identifier: Apache-2.0
package calicostream.hostile;

import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * One HTTP/2 connection that writes any frame it is told to, sound or not (RFC 9113). It can leave
 * all answers unread.
 */
final class Http2Frames implements AutoCloseable {
    static final int DATA = 0;
    static final int HEADERS = 1;
    static final int PRIORITY = 2;
    static final int RST_STREAM = 3;
    static final int SETTINGS = 4;
    static final int PING = 6;
    static final int GOAWAY = 7;
    static final int WINDOW_UPDATE = 8;
    static final int CONTINUATION = 9;
    static final int UNKNOWN = 0xf0;
    static final int END_STREAM = 1;
    static final int END_HEADERS = 4;
    static final int PADDED = 8;
    static final byte[] NOTHING = {};
    private static final byte[] PREFACE =
            "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final String SERVICE = "/arrow.flight.protocol.FlightService/";
    private static final int BUFFER_BYTES = 64 * 1024;
    static final int MAX_FRAME_BYTES = 16 * 1024;
    private final AutoCloseable connection;
    private final OutputStream out;

    /** Writes to a buffer what a connection would begin with. */
    Http2Frames(OutputStream buffer) throws IOException {
        connection = buffer;
        out = buffer;
        begin();
    }

    Http2Frames(int port, boolean reads) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        connection = socket;
        out = new BufferedOutputStream(socket.getOutputStream(), BUFFER_BYTES);
        begin();
        if (reads) {
            InputStream in = socket.getInputStream();
            Thread reader = new Thread(() -> readAll(in), "reader");
            reader.setDaemon(true);
            reader.start();
        }
    }

    private void begin() throws IOException {
        out.write(PREFACE);
        frame(SETTINGS, 0, 0, NOTHING);
    }

    private static void readAll(InputStream in) {
        byte[] into = new byte[BUFFER_BYTES];
        try {
            while (in.read(into) >= 0) {
                // What comes is of no interest.
            }
        } catch (IOException e) {
            // The connection has ended.
        }
    }

    void frame(int type, int flags, int stream, byte[] payload) throws IOException {
        int length = payload.length;
        out.write(length >>> 16);
        out.write(length >>> 8);
        out.write(length);
        out.write(type);
        out.write(flags);
        integer(stream);
        out.write(payload);
    }

    private void integer(int value) throws IOException {
        out.write(value >>> 24);
        out.write(value >>> 16);
        out.write(value >>> 8);
        out.write(value);
    }

    void raw(byte[] bytes) throws IOException {
        out.write(bytes);
    }

    void flush() throws IOException {
        out.flush();
    }

    /** The header block of a gRPC call of Flight with further headers, names before values. */
    static byte[] call(String method, String... further) {
        ByteArrayOutputStream block = new ByteArrayOutputStream();
        block.write(0x83); // :method POST
        block.write(0x86); // :scheme http
        block.write(0x04);
        text(block, SERVICE + method);
        block.write(0x01);
        text(block, "localhost");
        field(block, "content-type", "application/grpc");
        field(block, "te", "trailers");
        for (int i = 0; i < further.length; i += 2) {
            field(block, further[i], further[i + 1]);
        }
        return block.toByteArray();
    }

    /** A header of HPACK without Huffman code, not to be indexed. */
    static void field(ByteArrayOutputStream block, String name, String value) {
        block.write(0);
        text(block, name);
        text(block, value);
    }

    private static void text(ByteArrayOutputStream block, String text) {
        int length = text.length();
        if (length < 127) {
            block.write(length);
        } else {
            block.write(127);
            int rest = length - 127;
            while (rest >= 128) {
                block.write(rest % 128 + 128);
                rest /= 128;
            }
            block.write(rest);
        }
        block.writeBytes(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** A message as gRPC frames it, with a length that may be another than its own. */
    static byte[] message(int length, byte[] body) {
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write(0);
        message.write(length >>> 24);
        message.write(length >>> 16);
        message.write(length >>> 8);
        message.write(length);
        message.writeBytes(body);
        return message.toByteArray();
    }

    static byte[] message(byte[] body) {
        return message(body.length, body);
    }

    @Override
    public void close() throws Exception {
        connection.close();
    }
}
