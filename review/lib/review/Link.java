// SPDX-License-Identifier: Apache-2.0
package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A link to one engine: passes bytes on, until it resets its connections and takes no more. */
public final class Link implements AutoCloseable {
    private static final int BUFFER_BYTES = 64 * 1024;
    private final ServerSocket server = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    public Link(int to) throws IOException {
        ChangeLog.daemon(
                () -> {
                    while (true) {
                        Socket near = server.accept();
                        Socket far = new Socket("127.0.0.1", to);
                        sockets.add(near);
                        sockets.add(far);
                        near.setTcpNoDelay(true);
                        far.setTcpNoDelay(true);
                        ChangeLog.daemon(() -> pass(near, far));
                        ChangeLog.daemon(() -> pass(far, near));
                    }
                });
    }

    public int port() {
        return server.getLocalPort();
    }

    private static void pass(Socket from, Socket to) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                out.write(buffer, 0, count);
            }
        }
    }

    /** As a process that dies: what is open is reset, and new connections are refused. */
    public void die() throws IOException {
        server.close();
        for (Socket each : sockets) {
            try {
                each.setSoLinger(true, 0);
            } catch (IOException e) {
                // It is closed already.
            }
            each.close();
        }
    }

    @Override
    public void close() throws IOException {
        die();
    }
}
