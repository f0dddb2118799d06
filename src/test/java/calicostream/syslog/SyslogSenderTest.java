// SPDX-License-Identifier: Apache-2.0
package calicostream.syslog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.core.Clock;
import calicostream.core.Deadlines;
import calicostream.core.RequestOutcome;
import calicostream.net.SelectorLoop;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Records sent to fake collectors on loopback. */
class SyslogSenderTest {
    private static final String HEADER_PATTERN =
            "1 \\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d(\\.\\d{1,6})?Z n1 calicostream \\d+ ";

    private static SelectorLoop loop() throws Exception {
        return new SelectorLoop(new Clock(), new Deadlines());
    }

    private static SyslogConfig config(int port, boolean tcp) {
        return new SyslogConfig(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port), tcp, 16, 32473);
    }

    @Test
    void outcomesAndEngineChangesOverUdp() throws Exception {
        try (DatagramSocket collector = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            collector.setSoTimeout(10_000);
            SyslogSender syslog =
                    new SyslogSender(
                            loop(),
                            config(collector.getLocalPort(), false),
                            "n1",
                            List.of("look", "load"));
            syslog.requestEnded("9b1f03aa5c7e2d41", 1, RequestOutcome.FAILED, 2, 1500);
            syslog.engineChanged(new EngineEndpoint(10, 1, 0, 0, 0, EngineLifecycle.DRAINING));
            assertMatches(
                    "<132>"
                            + HEADER_PATTERN
                            + "ANSWER \\[answer@32473 id=\"9b1f03aa5c7e2d41\" class=\"load\" "
                            + "ending=\"failed\" attempts=\"2\" us=\"1500\"\\]",
                    receive(collector));
            assertMatches(
                    "<133>"
                            + HEADER_PATTERN
                            + "ENGINE \\[engine@32473 id=\"a\" state=\"draining\" zone=\"0\" "
                            + "kind=\"1\"\\]",
                    receive(collector));
            assertEquals(0, syslog.droppedRecords());
        }
    }

    @Test
    void octetCountingOverTcp() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            SelectorLoop loop = loop();
            SyslogSender syslog =
                    new SyslogSender(
                            loop, config(server.getLocalPort(), true), "n1", List.of("look"));
            Thread thread =
                    new Thread(
                            () -> {
                                try {
                                    loop.run();
                                } catch (IOException e) {
                                    throw new UncheckedIOException(e);
                                }
                            });
            thread.start();
            loop.post(
                    () -> syslog.requestEnded("9b1f03aa5c7e2d41", 0, RequestOutcome.SERVED, 1, 7));
            try (Socket collector = server.accept()) {
                collector.setSoTimeout(10_000);
                DataInputStream in = new DataInputStream(collector.getInputStream());
                int length = 0;
                for (int c = in.read(); c != ' '; c = in.read()) {
                    length = length * 10 + c - '0';
                }
                byte[] record = new byte[length];
                in.readFully(record);
                assertMatches(
                        "<134>" + HEADER_PATTERN + "ANSWER \\[answer@32473 .* us=\"7\"\\]",
                        new String(record, StandardCharsets.UTF_8));
            } finally {
                loop.post(loop::stop);
                thread.join();
            }
        }
    }

    @Test
    void valuesAreEscapedAndHeadersPrintable() {
        String text =
                new String(
                        new SyslogRecord(
                                        16,
                                        SyslogSeverity.INFO,
                                        Instant.EPOCH,
                                        "my host",
                                        "",
                                        "M",
                                        "e@1")
                                .with("v", "a\"b\\c]d")
                                .toBytes(),
                        StandardCharsets.UTF_8);
        assertEquals(
                "<134>1 1970-01-01T00:00:00Z my_host calicostream - M [e@1 v=\"a\\\"b\\\\c\\]d\"]",
                text);
    }

    private static String receive(DatagramSocket socket) throws Exception {
        DatagramPacket packet = new DatagramPacket(new byte[2048], 2048);
        socket.receive(packet);
        return new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8);
    }

    private static void assertMatches(String pattern, String actual) {
        assertTrue(actual.matches(pattern), actual);
    }
}
