// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.suite;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import calicostream.core.FailureReason;
import calicostream.core.IncomingRequest;
import calicostream.core.RequestResult;
import calicostream.core.ResponseHandler;
import calicostream.flight.ArrowRows;
import calicostream.flight.ResultTooLongException;
import calicostream.flight.suite.Script.Act;
import calicostream.flight.wire.FlightFrame;
import calicostream.flight.wire.FlightWire;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.types.pojo.Schema;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Requests of the platform's protocol, whose results engines of Flight SQL send. */
class PlatformClientTest {
    private static final int LOOKUP_CLASS = 0;
    private static final long DEADLINE_MICROS = 4_000_000;
    private static final int SPOILT_RESULTS = 32;
    private static final int SOUND_RESULTS = 20;

    @TempDir Path folder;
    private final Script script = new Script();
    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
    private FlightHarness rig;
    private int asked;

    private final ResponseHandler client =
            new ResponseHandler() {
                @Override
                public void served(long tag, RequestResult result) {
                    answers.add(new String(ArrowRows.text(result), StandardCharsets.UTF_8));
                }

                @Override
                public void rejected(long tag, long retryAfterMs) {
                    answers.add("rejected");
                }

                @Override
                public void failed(long tag, FailureReason reason) {
                    answers.add("failed");
                }
            };

    @AfterEach
    void end() throws Exception {
        rig.close();
    }

    private String ask(String sql) throws Exception {
        String id = "request-" + asked++;
        byte[] body = sql.getBytes(StandardCharsets.UTF_8);
        rig.onLoop(
                () ->
                        rig.gateway.accept(
                                IncomingRequest.of(
                                        client, 1, id, LOOKUP_CLASS, 0, DEADLINE_MICROS, body)));
        return answers.poll(2 * DEADLINE_MICROS, TimeUnit.MICROSECONDS);
    }

    /** The client was never answered, as the result was read after its request was closed. */
    @ParameterizedTest
    @EnumSource(
            value = Act.class,
            names = {"BAD_ARROW", "BAD_SCHEMA", "BAD_BODY"})
    void spoiltResultIsRepeatedAndTheClientAnsweredOnce(Act act) throws Exception {
        rig = new FlightHarness(script, 2, folder);
        script.next("get", act);
        assertEquals("0\txxxx\n1\txxxx\n", ask("select rows=2"));
        assertEquals(2, rig.count("get"));
        assertEquals(0, answers.size());
    }

    /** Each spoilt result left its engine occupied, until sound requests were rejected. */
    @Test
    void spoiltResultsOccupyNoEngine() throws Exception {
        rig = new FlightHarness(script, 1, folder);
        for (int i = 0; i < SPOILT_RESULTS; i++) {
            script.next("get", i % 2 == 0 ? Act.BAD_BODY : Act.BAD_SCHEMA);
        }
        while (rig.count("get") < SPOILT_RESULTS) {
            String answer = ask("select rows=1");
            assertEquals(true, List.of("failed", "rejected", "0\txxxx\n").contains(answer), answer);
        }
        FlightHarness.await("sound again", () -> ask("select rows=1").equals("0\txxxx\n"));
        for (int i = 0; i < SOUND_RESULTS; i++) {
            assertEquals("0\txxxx\n", ask("select rows=1"));
        }
        assertEquals(0, answers.size());
    }

    /** Rows without columns take no room in a batch, so that a short one may claim any number. */
    @Test
    void textIsMadeUpToItsBoundOnly() throws Exception {
        rig = new FlightHarness(script, 1, folder);
        Schema empty = new Schema(List.of());
        try (VectorSchemaRoot root = VectorSchemaRoot.create(empty, ArrowRows.ALLOCATOR)) {
            root.setRowCount(Integer.MAX_VALUE);
            List<FlightFrame> frames =
                    List.of(
                            FlightFrame.of(
                                    ByteString.EMPTY,
                                    FlightWire.schemaHeader(empty),
                                    ByteString.EMPTY,
                                    ByteString.EMPTY),
                            ArrowRows.batch(root));
            assertThrows(ResultTooLongException.class, () -> ArrowRows.text(frames, 1_000));
        }
    }
}
