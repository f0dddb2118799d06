// SPDX-License-Identifier: Apache-2.0
package calicostream.syslog;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;

/** Sends each record in a datagram of its own (RFC 5426). */
final class UdpSyslogTransport implements SyslogTransport {
    private final InetSocketAddress collector;
    private final DatagramChannel channel;

    UdpSyslogTransport(InetSocketAddress collector) throws IOException {
        this.collector = collector;
        channel = DatagramChannel.open();
        channel.configureBlocking(false);
    }

    @Override
    public boolean send(byte[] message) {
        try {
            return channel.send(ByteBuffer.wrap(message), collector) > 0;
        } catch (IOException e) {
            return false;
        }
    }
}
