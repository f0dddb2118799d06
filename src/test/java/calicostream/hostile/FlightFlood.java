// SPDX-License-Identifier: Apache-2.0
package calicostream.hostile;

import calicostream.flight.suite.RawFlightClient;
import calicostream.flight.wire.FlightWire;
import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.sql.impl.FlightSql;

/** What one hostile client writes to the Flight SQL front, over and over. */
enum FlightFlood {
    EMPTY_DATA(
            (to, i) -> {
                if (i == 0) {
                    to.frame(
                            Http2Frames.HEADERS,
                            Http2Frames.END_HEADERS,
                            1,
                            Http2Frames.call("DoPut"));
                }
                to.frame(Http2Frames.DATA, 0, 1, Http2Frames.NOTHING);
            }),
    EMPTY_DATA_OF_MANY_STREAMS(
            (to, i) -> {
                int stream = 2 * (i / 1000) + 1;
                if (i % 1000 == 0) {
                    to.frame(
                            Http2Frames.HEADERS,
                            Http2Frames.END_HEADERS,
                            stream,
                            Http2Frames.call("DoPut"));
                }
                to.frame(Http2Frames.DATA, 0, stream, Http2Frames.NOTHING);
            }),
    ONE_BYTE_DATA(
            (to, i) -> {
                if (i == 0) {
                    to.frame(
                            Http2Frames.HEADERS,
                            Http2Frames.END_HEADERS,
                            1,
                            Http2Frames.call("DoPut"));
                    to.frame(Http2Frames.DATA, 0, 1, Http2Frames.message(1 << 20, new byte[] {0}));
                } else if (i < 900_000) {
                    to.frame(Http2Frames.DATA, 0, 1, new byte[] {0});
                } else {
                    to.frame(Http2Frames.PING, 0, 0, new byte[8]);
                }
            }),
    PADDING(
            (to, i) -> {
                if (i == 0) {
                    to.frame(
                            Http2Frames.HEADERS,
                            Http2Frames.END_HEADERS,
                            1,
                            Http2Frames.call("DoPut"));
                }
                to.frame(Http2Frames.DATA, Http2Frames.PADDED, 1, new byte[] {1, 0});
            }),
    EMPTY_MESSAGES(
            (to, i) -> {
                if (i == 0) {
                    to.frame(
                            Http2Frames.HEADERS,
                            Http2Frames.END_HEADERS,
                            1,
                            Http2Frames.call("Handshake"));
                }
                to.frame(Http2Frames.DATA, 0, 1, new byte[5 * 100]);
            }),
    PING((to, i) -> to.frame(Http2Frames.PING, 0, 0, new byte[8])),
    SETTINGS((to, i) -> to.frame(Http2Frames.SETTINGS, 0, 0, Http2Frames.NOTHING)),
    WINDOW_UPDATE((to, i) -> to.frame(Http2Frames.WINDOW_UPDATE, 0, 0, new byte[] {0, 0, 0, 1})),
    PRIORITY(
            (to, i) ->
                    to.frame(
                            Http2Frames.PRIORITY, 0, stream(i), new byte[] {0, 0, 0, 0, (byte) i})),
    UNKNOWN((to, i) -> to.frame(Http2Frames.UNKNOWN, 0, 0, new byte[1])),
    GOAWAY((to, i) -> to.frame(Http2Frames.GOAWAY, 0, 0, new byte[8])),
    RESET(
            (to, i) -> {
                to.frame(
                        Http2Frames.HEADERS,
                        Http2Frames.END_HEADERS,
                        stream(i),
                        Http2Frames.call("DoAction"));
                to.frame(Http2Frames.RST_STREAM, 0, stream(i), new byte[] {0, 0, 0, 8});
            }),
    OPEN_STREAMS(
            (to, i) ->
                    to.frame(
                            Http2Frames.HEADERS,
                            Http2Frames.END_HEADERS,
                            stream(i),
                            Http2Frames.call("DoPut"))),
    UNSOUND_MESSAGE(
            (to, i) ->
                    request(
                            to,
                            stream(i),
                            Http2Frames.call("GetFlightInfo"),
                            new byte[] {(byte) 0xff, (byte) 0xff, 0x7f})),
    UNKNOWN_METHOD(
            (to, i) ->
                    to.frame(
                            Http2Frames.HEADERS,
                            Http2Frames.END_HEADERS | Http2Frames.END_STREAM,
                            stream(i),
                            Http2Frames.call("Method" + i))),
    MANY_SHORT_FIELDS(
            (to, i) ->
                    to.frame(
                            Http2Frames.HEADERS,
                            Http2Frames.END_HEADERS | Http2Frames.END_STREAM,
                            stream(i),
                            shortFields(3000))),
    ENDLESS_CONTINUATION(
            (to, i) -> {
                if (i == 0) {
                    to.frame(Http2Frames.HEADERS, 0, 1, Http2Frames.call("DoPut"));
                }
                to.frame(
                        Http2Frames.CONTINUATION,
                        0,
                        1,
                        i % 2 == 0 ? shortField() : Http2Frames.NOTHING);
            }),
    NEW_STATEMENTS(
            (to, i) ->
                    request(
                            to,
                            stream(i),
                            Http2Frames.call("GetFlightInfo"),
                            RawFlightClient.query("select " + i).toByteArray())),
    NEW_CLASSES(
            (to, i) ->
                    request(
                            to,
                            stream(i),
                            Http2Frames.call("GetFlightInfo", "calicostream-class", "class-" + i),
                            RawFlightClient.query("select 1").toByteArray())),
    NEW_TOKENS(
            (to, i) ->
                    request(
                            to,
                            stream(i),
                            Http2Frames.call(
                                    "GetFlightInfo",
                                    "authorization",
                                    "Bearer " + i,
                                    "cookie",
                                    "arrow_flight_session_id=" + i),
                            RawFlightClient.query("select 1").toByteArray())),
    NEW_PREPARED(
            (to, i) ->
                    request(
                            to,
                            stream(i),
                            Http2Frames.call("DoAction"),
                            Flight.Action.newBuilder()
                                    .setType(FlightWire.CREATE_PREPARED)
                                    .setBody(
                                            FlightWire.packed(
                                                    FlightSql.ActionCreatePreparedStatementRequest
                                                            .newBuilder()
                                                            .setQuery("select rows=1 n=" + i)
                                                            .build()))
                                    .build()
                                    .toByteArray())),
    NEW_ACTIONS(
            (to, i) ->
                    request(
                            to,
                            stream(i),
                            Http2Frames.call("DoAction"),
                            Flight.Action.newBuilder()
                                    .setType("action-" + i)
                                    .setBody(ByteString.copyFrom(new byte[16]))
                                    .build()
                                    .toByteArray())),
    NO_PREFACE((to, i) -> to.raw(junk()));

    /** Writes the frames of one step; steps count from 0 on each connection. */
    interface Step {
        void write(Http2Frames to, int step) throws IOException;
    }

    private final Step step;

    FlightFlood(Step step) {
        this.step = step;
    }

    private static int stream(int i) {
        return 2 * i + 1;
    }

    private static byte[] junk() {
        return "x".repeat(1024).getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] shortField() {
        ByteArrayOutputStream block = new ByteArrayOutputStream();
        Http2Frames.field(block, "a", "b");
        return block.toByteArray();
    }

    private static byte[] shortFields(int count) {
        ByteArrayOutputStream block = new ByteArrayOutputStream();
        block.writeBytes(Http2Frames.call("DoAction"));
        for (int i = 0; i < count; i++) {
            Http2Frames.field(block, "a", "b");
        }
        return block.toByteArray();
    }

    private static void request(Http2Frames to, int stream, byte[] headers, byte[] body)
            throws IOException {
        to.frame(Http2Frames.HEADERS, Http2Frames.END_HEADERS, stream, headers);
        to.frame(Http2Frames.DATA, Http2Frames.END_STREAM, stream, Http2Frames.message(body));
    }

    /** Writes until the connection ends; its owner closes it. */
    void write(Http2Frames to) throws IOException {
        for (int i = 0; i < Integer.MAX_VALUE / 2; i++) {
            step.write(to, i);
        }
    }
}
