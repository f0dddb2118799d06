// SPDX-License-Identifier: Apache-2.0
package calicostream.hostile;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * One client writes small or unsound input on one connection at full speed. {@code
 * -Dhostile.millis=N}: each flood for so long.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class FloodTest {
    private static final long FLOOD_MILLIS = Long.getLong("hostile.millis", 500);
    private static final long RECONNECT_PAUSE_NANOS = 5_000_000;
    private Rig flight;
    private Rig platform;

    /** Opens a connection, and writes on it until it ends. */
    private interface Writer<C extends AutoCloseable> {
        C open(Victim victim) throws IOException;

        void write(C to) throws IOException;
    }

    @BeforeAll
    void start(@TempDir Path folder) {
        flight = new Rig(folder, true);
        platform = new Rig(folder, false);
    }

    @AfterAll
    void end() throws Exception {
        flight.close();
        platform.close();
    }

    /** Empty frames of data ended the process; a flood of calls filled the log. */
    @ParameterizedTest
    @EnumSource
    void flightFloodHarmsNobodyElse(FlightFlood flood) throws Exception {
        flight.assertHarmsNobodyElse(flood.name(), victim -> flood(victim, writer(flood, true)));
    }

    /** Answers that a flooding client leaves unread must not fill the memory. */
    @ParameterizedTest
    @EnumSource
    void flightFloodWithAnswersUnreadHarmsNobodyElse(FlightFlood flood) throws Exception {
        flight.assertHarmsNobodyElse(
                flood.name() + " unread", victim -> flood(victim, writer(flood, false)));
    }

    /** The same on the platform's front, in the memory that {@code run} has. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "LOADS_ON_SHARED_TABLES")
    void lineFloodHarmsNobodyElse(LineFlood flood) throws Exception {
        platform.assertHarmsNobodyElse(flood.name(), victim -> flood(victim, writer(flood, true)));
    }

    /** The same with answers unread. */
    @ParameterizedTest
    @EnumSource
    void lineFloodWithAnswersUnreadHarmsNobodyElse(LineFlood flood) throws Exception {
        platform.assertHarmsNobodyElse(
                flood.name() + " unread", victim -> flood(victim, writer(flood, false)));
    }

    /** Queries wait behind an endless series of loads on their tables. */
    @KnownRed
    @Test
    void loadsOnTheTablesOfOthersDoNotKeepTheseWaiting() throws Exception {
        LineFlood flood = LineFlood.LOADS_ON_SHARED_TABLES;
        flight.assertHarmsNobodyElse(flood.name(), victim -> flood(victim, writer(flood, true)));
    }

    private static Writer<Http2Frames> writer(FlightFlood flood, boolean reads) {
        return new Writer<>() {
            @Override
            public Http2Frames open(Victim victim) throws IOException {
                return new Http2Frames(victim.flightPort(), reads);
            }

            @Override
            public void write(Http2Frames to) throws IOException {
                flood.write(to);
            }
        };
    }

    private static Writer<Socket> writer(LineFlood flood, boolean reads) {
        return new Writer<>() {
            @Override
            public Socket open(Victim victim) throws IOException {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), victim.linePort());
                if (reads) {
                    InputStream in = socket.getInputStream();
                    Thread reader = new Thread(() -> readAll(in), "reader");
                    reader.setDaemon(true);
                    reader.start();
                }
                return socket;
            }

            @Override
            public void write(Socket to) throws IOException {
                OutputStream out = new BufferedOutputStream(to.getOutputStream());
                for (int i = 0; i < Integer.MAX_VALUE; i++) {
                    out.write(flood.line(i));
                }
            }
        };
    }

    private static void readAll(InputStream in) {
        try {
            in.transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            // The connection has ended.
        }
    }

    /** Writes on one connection at a time. */
    private static <C extends AutoCloseable> String flood(Victim victim, Writer<C> writer)
            throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLOOD_MILLIS);
        int connections = 0;
        while (System.nanoTime() < end) {
            connections++;
            try (C to = writer.open(victim)) {
                Thread closer = closeAt(end, to);
                try {
                    writer.write(to);
                } finally {
                    closer.interrupt();
                }
            } catch (IOException e) {
                LockSupport.parkNanos(RECONNECT_PAUSE_NANOS); // The front end has closed it.
            }
        }
        return "connections " + connections;
    }

    private static Thread closeAt(long end, AutoCloseable connection) {
        Thread closer =
                new Thread(
                        () -> {
                            try {
                                TimeUnit.NANOSECONDS.sleep(end - System.nanoTime());
                                connection.close();
                            } catch (Exception e) {
                                // The connection has ended by itself.
                            }
                        });
        closer.setDaemon(true);
        closer.start();
        return closer;
    }
}
