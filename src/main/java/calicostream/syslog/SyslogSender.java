// SPDX-License-Identifier: Apache-2.0
package calicostream.syslog;

import calicostream.core.RequestListener;
import calicostream.core.RequestOutcome;
import calicostream.net.SelectorLoop;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import java.io.IOException;
import java.time.Instant;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends a record of each request's outcome and of each change of an engine to a syslog collector.
 * Records never delay a request: what the collector does not accept is dropped and counted. The
 * event loop's thread makes all calls.
 */
public final class SyslogSender implements RequestListener {
    private static final Logger LOG = LoggerFactory.getLogger(SyslogSender.class);

    private final SyslogConfig config;
    private final String host;
    private final List<String> classNames;
    private final String process = Long.toString(ProcessHandle.current().pid());
    private final SyslogTransport transport;
    private long droppedRecords;

    /**
     * Opens the transport; a TCP connection comes about later.
     *
     * @param host the server's name in the records
     * @param classNames the names of the query classes, in the order of their numbers
     * @throws IOException where no socket can be opened
     */
    public SyslogSender(
            SelectorLoop loop, SyslogConfig config, String host, List<String> classNames)
            throws IOException {
        this.config = config;
        this.host = host;
        this.classNames = classNames;
        transport =
                config.tcp()
                        ? new TcpSyslogTransport(loop, config.collector())
                        : new UdpSyslogTransport(config.collector());
    }

    @Override
    public void requestEnded(
            String id, int queryClass, RequestOutcome outcome, int attempts, long elapsedMicros) {
        send(
                record(severityOf(outcome), "ANSWER", "answer")
                        .with("id", id)
                        .with("class", classNames.get(queryClass))
                        .with("ending", outcomeParameter(outcome))
                        .with("attempts", attempts)
                        .with("us", elapsedMicros));
    }

    @Override
    public void engineChanged(EngineEndpoint engine) {
        send(
                record(SyslogSeverity.NOTICE, "ENGINE", "engine")
                        .with("id", Long.toHexString(engine.id()))
                        .with("state", lifecycleParameter(engine.lifecycle()))
                        .with("zone", engine.zone())
                        .with("kind", engine.kind()));
    }

    /** How many records could not be sent. */
    public long droppedRecords() {
        return droppedRecords;
    }

    private SyslogRecord record(SyslogSeverity severity, String messageId, String element) {
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
        if (transport.send(record.toBytes())) {
            return;
        }
        droppedRecords++;
        // Logged at 1, 2, 4, 8 and so on: a collector that is down does not flood the log.
        if (Long.bitCount(droppedRecords) == 1) {
            LOG.warn("{} syslog records dropped", droppedRecords);
        }
    }

    private static SyslogSeverity severityOf(RequestOutcome outcome) {
        return switch (outcome) {
            case FAILED -> SyslogSeverity.WARNING;
            case REJECTED -> SyslogSeverity.NOTICE;
            case SERVED, ABANDONED -> SyslogSeverity.INFO;
        };
    }

    /** The value of the parameter {@code ending}; collectors rely on it. */
    private static String outcomeParameter(RequestOutcome outcome) {
        return switch (outcome) {
            case SERVED -> "served";
            case REJECTED -> "refused";
            case FAILED -> "failed";
            case ABANDONED -> "abandoned";
        };
    }

    /** The value of the parameter {@code state}; collectors rely on it. */
    private static String lifecycleParameter(EngineLifecycle lifecycle) {
        return switch (lifecycle) {
            case REMOVED -> "gone";
            case READY -> "ready";
            case DRAINING -> "draining";
        };
    }
}
