// SPDX-License-Identifier: Apache-2.0
package calicostream.hostile;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An engine of the platform's protocol that answers each request at once with one row. */
final class PromptRespEngine implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());

    PromptRespEngine() throws IOException {
        daemon(
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        daemon(() -> serve(socket));
                    }
                });
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void daemon(Work work) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                work.run();
                            } catch (IOException e) {
                                // The connection or the engine has ended.
                            }
                        },
                        "engine");
        thread.setDaemon(true);
        thread.start();
    }

    private static void serve(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        OutputStream out = new BufferedOutputStream(socket.getOutputStream());
        while (true) {
            String[] words = new String[number(in, '*')];
            for (int i = 0; i < words.length; i++) {
                byte[] word = new byte[number(in, '$')];
                in.readFully(word);
                in.skipBytes(2);
                words[i] = new String(word, StandardCharsets.UTF_8);
            }
            if (words[0].equals("REQ")) {
                answer(out, words[1], "DONE", "sheets=1", "x\n");
            }
            if (in.available() == 0) {
                out.flush();
            }
        }
    }

    private static void answer(OutputStream out, String... words) throws IOException {
        StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            text.append("$").append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        out.write(text.toString().getBytes(StandardCharsets.US_ASCII));
    }

    private static int number(DataInputStream in, char type) throws IOException {
        if (in.readUnsignedByte() != type) {
            throw new IOException("not " + type);
        }
        int value = 0;
        for (int c = in.readUnsignedByte(); c != '\r'; c = in.readUnsignedByte()) {
            value = value * 10 + c - '0';
        }
        in.skipBytes(1);
        return value;
    }

    InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
