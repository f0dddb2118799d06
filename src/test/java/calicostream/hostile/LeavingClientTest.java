// SPDX-License-Identifier: Apache-2.0
package calicostream.hostile;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.wire.FakeDiscoveryServer;
import calicostream.wire.FakeRespEngine;
import calicostream.wire.ServerProgram;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Clients of the platform's protocol that leave, and what becomes of their requests. */
class LeavingClientTest {
    /** An attempt may begin so long after its client has left. */
    private static final int SEND_GRACE_MILLIS = 100;

    private static final int REQUESTS = 32;
    private static final int UNREAD_BYTES = 2 << 20;
    @TempDir Path folder;
    private FakeRespEngine engine;
    private FakeDiscoveryServer discovery;
    private ServerProgram program;
    private int port;

    @BeforeEach
    void start() throws Exception {
        engine = new FakeRespEngine();
        discovery = new FakeDiscoveryServer();
        Path config =
                ServerProgram.configure(
                        folder,
                        0,
                        discovery.port(),
                        List.of(ServerProgram.endpoint("e1", engine.address(), "Ready", 0)),
                        1024);
        program = ServerProgram.asDeployed(folder, config, Map.of());
        discovery.follow();
        discovery.stayAwake();
        port = program.port("listening on port");
        program.drainLog();
    }

    @AfterEach
    void end() throws Exception {
        program.close();
        discovery.close();
        engine.close();
    }

    private static String request(int id, String queryClass, long requestId) {
        return String.format(
                "{\"jsonrpc\":\"2.0\",\"id\":%d,\"method\":\"%s\",\"params\":{\"i\":\"%016x\","
                        + "\"d\":10000,\"content\":\"c2VsZWN0IDE=\"}}\n",
                id, queryClass, requestId);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout((int) ServerProgram.PATIENCE_MS);
        return socket;
    }

    private static void write(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Requests of a client that had left were sent on, as its close was behind unread input. */
    @Test
    void requestsOfAClientThatClosedBehindMuchUnreadInputAreNotSentOn() throws Exception {
        StringBuilder text = new StringBuilder();
        for (int i = 1; i <= REQUESTS; i++) {
            text.append(request(i, "report", i));
        }
        text.append("\n".repeat(UNREAD_BYTES));
        try (Socket client = connect()) {
            write(client, text.toString());
        }
        long leftAt = System.nanoTime();
        int sent = 0;
        int sentLate = 0;
        for (String command = engine.poll(ServerProgram.PATIENCE_MS);
                command != null;
                command = engine.poll(1500)) {
            String[] words = command.split("\\|");
            if (!words[0].equals("REQ")) {
                continue;
            }
            sent++;
            long sinceMillis = (System.nanoTime() - leftAt) / 1_000_000;
            sentLate += sinceMillis > SEND_GRACE_MILLIS + 50 ? 1 : 0;
            Thread.sleep(10);
            engine.answer(words[1] + "|DONE|sheets=1|x\n");
        }
        System.out.printf("%d of %d sent, %d late%n", sent, REQUESTS, sentLate);
        assertTrue(sent > 0, "none was sent");
        assertEquals(0, sentLate, "sent after their client had left, of " + sent);
    }

    /** A load ran twice when its id came again after its client had left. */
    @Test
    void loadThatMayHaveRunIsNotSentWhenItsIdComesAgain() throws Exception {
        try (Socket client = connect()) {
            write(client, request(1, "stat-load", 77));
            assertTrue(engine.command().startsWith("REQ"));
        }
        assertTrue(engine.command().startsWith("STOP"));
        try (Socket client = connect()) {
            write(client, request(1, "stat-load", 77));
            String answer =
                    new BufferedReader(
                                    new InputStreamReader(
                                            client.getInputStream(), StandardCharsets.US_ASCII))
                            .readLine();
            assertTrue(answer.contains("\"error\"") && !answer.contains("-32000"), answer);
        }
        assertTrue(engine.quiet(500), "the load was sent again");
    }
}
