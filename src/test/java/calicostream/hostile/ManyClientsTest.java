// SPDX-License-Identifier: Apache-2.0
package calicostream.hostile;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Hundreds of clients at once that write slowly, stop half way through a large request, or send
 * heads of very many short fields. {@code -Dhostile.hold.millis=N}: they stay for so long.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ManyClientsTest {
    /** About a third of 1,024 descriptors, which clients hold at most. */
    private static final int CLIENTS = 330;

    private static final long HOLD_MILLIS = Long.getLong("hostile.hold.millis", 2000);
    private static final long SLOW_BYTE_PAUSE_MILLIS = 20;
    private static final int LARGE_BYTES = 60 << 20;
    private Rig flight;
    private Rig platform;

    /** What each client writes at once; then it writes slowly, or nothing more. */
    private enum Start {
        /** Nothing at once. */
        SLOW_FROM_THE_START(0, true),
        HALF_OF_A_LARGE_REQUEST(LARGE_BYTES / 2, false),
        SMALL_PART_OF_A_LARGE_REQUEST(100_000, false),
        LARGE_REQUEST_AND_THEN_SLOW(100_000, true),
        MANY_SHORT_FIELDS(0, false);

        private final int bytes;
        private final boolean goesOnSlowly;

        Start(int bytes, boolean goesOnSlowly) {
            this.bytes = bytes;
            this.goesOnSlowly = goesOnSlowly;
        }
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

    /** Messages that had arrived in part took all memory, and the process was killed. */
    @ParameterizedTest
    @EnumSource
    void flightClientsHarmNobodyElse(Start start) throws Exception {
        flight.assertHarmsNobodyElse(
                "flight " + start,
                victim -> connectAll(victim.flightPort(), flightBytes(start), start));
    }

    /** The same on the platform's front, in the memory that {@code run} has. */
    @ParameterizedTest
    @EnumSource
    void lineClientsHarmNobodyElse(Start start) throws Exception {
        platform.assertHarmsNobodyElse(
                "platform " + start,
                victim -> connectAll(victim.linePort(), lineBytes(start), start));
    }

    private static byte[] lineBytes(Start start) {
        String head =
                "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"lookup\",\"params\":{\"content\":\"";
        String body =
                start == Start.MANY_SHORT_FIELDS
                        ? "{" + "\"a\":1,".repeat(15_000)
                        : head + "A".repeat(Math.min(start.bytes, 1 << 20));
        return body.getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] flightBytes(Start start) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Http2Frames frames = new Http2Frames(out);
        if (start == Start.MANY_SHORT_FIELDS) {
            ByteArrayOutputStream fields = new ByteArrayOutputStream();
            fields.writeBytes(Http2Frames.call("DoAction"));
            for (int i = 0; i < 3000; i++) {
                Http2Frames.field(fields, "a", "b");
            }
            frames.frame(Http2Frames.HEADERS, 0, 1, fields.toByteArray());
        } else {
            frames.frame(
                    Http2Frames.HEADERS, Http2Frames.END_HEADERS, 1, Http2Frames.call("DoPut"));
            frames.frame(Http2Frames.DATA, 0, 1, Http2Frames.message(LARGE_BYTES, new byte[0]));
            for (int sent = 0; sent < start.bytes; sent += Http2Frames.MAX_FRAME_BYTES) {
                frames.frame(Http2Frames.DATA, 0, 1, new byte[Http2Frames.MAX_FRAME_BYTES]);
            }
        }
        frames.flush();
        return out.toByteArray();
    }

    /** Each client writes what the front end takes, in a thread of its own. */
    private static String connectAll(int port, byte[] first, Start start) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HOLD_MILLIS);
        List<Socket> sockets = new ArrayList<>();
        List<Thread> writers = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            sockets.add(socket);
            Thread writer = new Thread(() -> write(socket, first, start.goesOnSlowly));
            writer.setDaemon(true);
            writer.start();
            writers.add(writer);
        }
        TimeUnit.NANOSECONDS.sleep(end - System.nanoTime());
        for (Socket each : sockets) {
            each.close();
        }
        for (Thread each : writers) {
            each.join();
        }
        return CLIENTS + " clients";
    }

    private static void write(Socket socket, byte[] first, boolean goesOnSlowly) {
        try {
            OutputStream out = socket.getOutputStream();
            out.write(first);
            while (goesOnSlowly) {
                Thread.sleep(SLOW_BYTE_PAUSE_MILLIS);
                out.write('A');
            }
        } catch (IOException | InterruptedException e) {
            // The front end or the test has closed the connection.
        }
    }
}
