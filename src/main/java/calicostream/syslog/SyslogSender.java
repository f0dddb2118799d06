// SPDX-License-Identifier: Apache-2.0
package calicostream.syslog;

import calicostream.core.RequestListener;
import calicostream.core.RequestOutcome;
import calicostream.net.Connection;
import calicostream.net.SelectorLoop;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends a record of each final answer and each change of an engine to a collector, over UDP (RFC
 * 5426) or TCP with octet counting (RFC 6587). Records never hold a request up: what the collector
 * does not take is dropped and counted.
 */
public final class SyslogSender implements RequestListener {
    private static final Logger LOG = LoggerFactory.getLogger(SyslogSender.class);
    private static final int BOUND = 256 * 1024;
    private static final long PAUSE = 1_000_000;
    private final SelectorLoop loop;
    private final SyslogConfig config;
    private final String host;
    private final List<String> classNames;
    private final String process = Long.toString(ProcessHandle.current().pid());
    private DatagramChannel datagrams;
    private Connection stream;
    private long droppedRecords;

    public SyslogSender(
            SelectorLoop loop, SyslogConfig config, String host, List<String> classNames)
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
    public void requestEnded(
            String id, int queryClass, RequestOutcome ending, int attempts, long elapsedUs) {
        int severity =
                ending == RequestOutcome.FAILED
                        ? SyslogRecord.WARNING
                        : ending == RequestOutcome.REJECTED
                                ? SyslogRecord.NOTICE
                                : SyslogRecord.INFO;
        send(
                record(severity, "ANSWER", "answer")
                        .with("id", id)
                        .with("class", classNames.get(queryClass))
                        .with("ending", outcomeWord(ending))
                        .with("attempts", attempts)
                        .with("us", elapsedUs));
    }

    @Override
    public void engineChanged(EngineEndpoint engine) {
        send(
                record(SyslogRecord.NOTICE, "ENGINE", "engine")
                        .with("id", Long.toHexString(engine.id()))
                        .with("state", lifecycleWord(engine.lifecycle()))
                        .with("zone", engine.zone())
                        .with("kind", engine.kind()));
    }

    /** Records that were not sent. */
    public long droppedRecords() {
        return droppedRecords;
    }

    private SyslogRecord record(int severity, String messageId, String element) {
        return new SyslogRecord(
                config.facility(),
                severity,
                Instant.now(),
                host,
                process,
                messageId,
                element + "@" + config.enterpriseNumber());
    }

    private void send(SyslogRecord record) {
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
                && Long.bitCount(++droppedRecords)
                        == 1) { // At 1, 2, 4, 8 ...: a collector that is away is no flood.
            LOG.warn("{} records not sent to the collector", droppedRecords);
        }
    }

    private void connect(long now, long ref) {
        try {
            stream =
                    Connection.connect(
                            loop,
                            config.collector(),
                            new Connection.Handler() {
                                @Override
                                public void received(Connection c) {
                                    c.input().skip(c.input().size());
                                }

                                @Override
                                public void closed(Connection c) {
                                    stream = null;
                                    loop.deadlines()
                                            .add(
                                                    loop.clock().now() + PAUSE,
                                                    SyslogSender.this::connect,
                                                    0);
                                }
                            },
                            BOUND,
                            BOUND);
        } catch (IOException e) {
            loop.deadlines().add(loop.clock().now() + PAUSE, this::connect, 0);
        }
    }

    /** The value of the parameter {@code ending}, which collectors rely on. */
    private static String outcomeWord(RequestOutcome outcome) {
        return switch (outcome) {
            case SERVED -> "served";
            case REJECTED -> "refused";
            case FAILED -> "failed";
            case ABANDONED -> "abandoned";
        };
    }

    /** The value of the parameter {@code state}, which collectors rely on. */
    private static String lifecycleWord(EngineLifecycle lifecycle) {
        return switch (lifecycle) {
            case REMOVED -> "gone";
            case READY -> "ready";
            case DRAINING -> "draining";
        };
    }
}
