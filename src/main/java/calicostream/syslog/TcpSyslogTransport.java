// SPDX-License-Identifier: Apache-2.0
package calicostream.syslog;

import calicostream.net.Connection;
import calicostream.net.RingBuffer;
import calicostream.net.SelectorLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Sends records over one TCP connection with octet counting (RFC 6587), and connects again a while
 * after it is lost.
 */
final class TcpSyslogTransport implements SyslogTransport {
    private static final int BUFFER_BYTES = 256 * 1024;
    private static final long RECONNECT_DELAY_MICROS = 1_000_000;

    private final SelectorLoop loop;
    private final InetSocketAddress collector;

    /** Null where there is none now. */
    private Connection connection;

    TcpSyslogTransport(SelectorLoop loop, InetSocketAddress collector) {
        this.loop = loop;
        this.collector = collector;
        connect();
    }

    private void connect() {
        try {
            connection =
                    Connection.connect(
                            loop, collector, new Reconnect(), BUFFER_BYTES, BUFFER_BYTES);
        } catch (IOException e) {
            connectLater();
        }
    }

    private void connectLater() {
        loop.deadlines()
                .add(loop.clock().now() + RECONNECT_DELAY_MICROS, (now, reference) -> connect(), 0);
    }

    @Override
    public boolean send(byte[] message) {
        byte[] length = (message.length + " ").getBytes(StandardCharsets.US_ASCII);
        byte[] framed = Arrays.copyOf(length, length.length + message.length);
        System.arraycopy(message, 0, framed, length.length, message.length);
        return connection != null && connection.write(framed);
    }

    private final class Reconnect implements Connection.Handler {
        /** A collector has nothing to say. */
        @Override
        public void received(Connection source) {
            RingBuffer input = source.input();
            input.skip(input.size());
        }

        @Override
        public void closed(Connection ignored) {
            connection = null;
            connectLater();
        }
    }
}
