// SPDX-License-Identifier: Apache-2.0
package calicostream.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * An engine whose connections don't come up until a test says so: others wait before them, and the
 * system takes no more.
 */
public final class UnacceptingServer implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> sockets = new ArrayList<>();

    public UnacceptingServer() throws IOException {
        server.setSoTimeout((int) ServerProgram.PATIENCE_MS);
        for (int i = 0; i < 2; i++) { // One more than its backlog.
            sockets.add(new Socket(server.getInetAddress(), server.getLocalPort()));
        }
    }

    public InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    /** Lets the next one in, and waits for it: who asks does so again by itself after a second. */
    public Socket open() throws IOException {
        for (int i = 0; i < 2; i++) {
            sockets.add(server.accept());
        }
        Socket late = server.accept();
        late.setSoTimeout((int) ServerProgram.PATIENCE_MS);
        sockets.add(late);
        return late;
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket each : sockets) {
            each.close();
        }
    }
}
