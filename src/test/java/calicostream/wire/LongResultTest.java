// SPDX-License-Identifier: Apache-2.0
package calicostream.wire;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A result that is longer than a platform client's connection takes at once. */
class LongResultTest {
    private static final int LONG_ROW_CHARS = 200_000;
    @TempDir Path folder;
    private final FlightTestServer stand = new FlightTestServer();
    private TestServer.Engine engine;
    private FakeDiscoveryServer log;
    private ServerProgram program;
    private int port;

    @BeforeEach
    void start() throws Exception {
        engine = stand.engine();
        log = new FakeDiscoveryServer();
        program =
                new ServerProgram(
                        folder,
                        log.port(),
                        List.of(ServerProgram.endpoint("e1", engine.address(), "Ready", 0)),
                        stand.deploy());
        log.follow();
        log.stayAwake();
        port = program.port("FrontEndServer - listening on port");
        stand.connect(program);
    }

    @AfterEach
    void end() throws Exception {
        stand.close();
        program.close();
        log.close();
        engine.die();
    }

    private static void ask(Socket client, int id) throws IOException {
        String request =
                String.format(
                        "{\"jsonrpc\":\"2.0\",\"id\":%d,\"method\":\"lookup\",\"params\":{\"i\":"
                                + "\"%016x\",\"d\":4000,\"content\":\"c2VsZWN0IDE=\"}}\n",
                        id, id);
        client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }

    /** The result was never written, nor was anything after it on that connection. */
    @Test
    void clientHearsThatItsResultIsTooLongAndIsServedOn() throws Exception {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.setSoTimeout((int) ServerProgram.PATIENCE_MS);
            BufferedReader answers =
                    new BufferedReader(
                            new InputStreamReader(
                                    client.getInputStream(), StandardCharsets.US_ASCII));
            ask(client, 1);
            engine.next().serve("x".repeat(LONG_ROW_CHARS));
            String answer = answers.readLine();
            assertTrue(answer.contains("\"error\"") && answer.contains("too long"), answer);
            ask(client, 2);
            engine.next().serve("x");
            answer = answers.readLine();
            assertTrue(answer.contains("\"result\""), answer);
        }
    }
}
