// SPDX-License-Identifier: Apache-2.0
package calicostream.syslog;

import calicostream.QueryRouter.Engine;
import calicostream.core.Watcher;
import calicostream.net.Connection;
import calicostream.net.Loop;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends a record of each final answer and each change of an engine to a collector, over UDP (RFC
 * 5426) or TCP with octet counting (RFC 6587). Records never hold a request up: what the collector
 * does not take is dropped and counted.
 */
public final class Syslog implements Watcher {
    private static final Logger LOG = LoggerFactory.getLogger(Syslog.class);
    private static final int BOUND = 256 * 1024;
    private static final long PAUSE = 1_000_000;
    private final Loop loop;
    private final SyslogConfig config;
    private final String host;
    private final List<String> classNames;
    private final String process = Long.toString(ProcessHandle.current().pid());
    private DatagramChannel datagrams;
    private Connection stream;
    private long dropped;

    public Syslog(Loop loop, SyslogConfig config, String host, List<String> classNames)
            throws IOException {
        this.loop = loop;
        this.config = config;
        this.host = host;
        this.classNames = classNames;
        if (config.tcp()) {
            connect(0, 0);
        } else {
            datagrams = DatagramChannel.open();
            datagrams.configureBlocking(false);
        }
    }

    @Override
    public void answered(String id, int queryClass, Ending ending, int attempts, long elapsedUs) {
        int severity =
                ending == Ending.FAILED
                        ? Record.WARNING
                        : ending == Ending.REFUSED ? Record.NOTICE : Record.INFO;
        send(
                record(severity, "ANSWER", "answer")
                        .with("id", id)
                        .with("class", classNames.get(queryClass))
                        .with("ending", ending.name().toLowerCase(Locale.ROOT))
                        .with("attempts", attempts)
                        .with("us", elapsedUs));
    }

    @Override
    public void engine(Engine engine) {
        send(
                record(Record.NOTICE, "ENGINE", "engine")
                        .with("id", Long.toHexString(engine.id()))
                        .with("state", engine.state().name().toLowerCase(Locale.ROOT))
                        .with("zone", engine.zone())
                        .with("kind", engine.kind()));
    }

    /** Records that were not sent. */
    public long dropped() {
        return dropped;
    }

    private Record record(int severity, String messageId, String element) {
        return new Record(
                config.facility(),
                severity,
                Instant.now(),
                host,
                process,
                messageId,
                element + "@" + config.enterprise());
    }

    private void send(Record record) {
        byte[] bytes = record.bytes();
        boolean sent;
        if (config.tcp()) {
            byte[] lead = (bytes.length + " ").getBytes(StandardCharsets.US_ASCII);
            byte[] framed = java.util.Arrays.copyOf(lead, lead.length + bytes.length);
            System.arraycopy(bytes, 0, framed, lead.length, bytes.length);
            sent = stream != null && stream.write(framed);
        } else {
            try {
                sent = datagrams.send(ByteBuffer.wrap(bytes), config.collector()) > 0;
            } catch (IOException e) {
                sent = false;
            }
        }
        if (!sent
                && Long.bitCount(++dropped)
                        == 1) { // At 1, 2, 4, 8 ...: a collector that is away is no flood.
            LOG.warn("{} records not sent to the collector", dropped);
        }
    }

    private void connect(long now, long ref) {
        try {
            stream =
                    Connection.to(
                            loop,
                            config.collector(),
                            new Connection.Handler() {
                                @Override
                                public void received(Connection c) {
                                    c.in().skip(c.in().size());
                                }

                                @Override
                                public void closed(Connection c) {
                                    stream = null;
                                    loop.deadlines()
                                            .add(
                                                    loop.clock().now() + PAUSE,
                                                    Syslog.this::connect,
                                                    0);
                                }
                            },
                            BOUND,
                            BOUND);
        } catch (IOException e) {
            loop.deadlines().add(loop.clock().now() + PAUSE, this::connect, 0);
        }
    }
}
