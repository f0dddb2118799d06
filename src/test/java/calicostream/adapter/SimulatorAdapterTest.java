// SPDX-License-Identifier: Apache-2.0
package calicostream.adapter;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.routing.Idempotency;
import calicostream.routing.LoadReporting;
import calicostream.routing.RouterSettings;
import calicostream.routing.SettingsParser;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The protocol, the settings in it, and how bad input is reported. */
class SimulatorAdapterTest {
    private static final String OPTIONS =
            "balancers=2\n"
                    + "lanes.count=1\n"
                    + "lanes.0.effect=repeatable\n"
                    + "lanes.0.aim_us=300000\n"
                    + "lanes.0.deadline_us=1500000\n"
                    + "family_info.kind_cores=8\n"
                    + "new.key=x,y\n"
                    + "family_info.kind_memory_mb=16384.0\n"
                    + "tick_us=5000\n";

    private interface Body {
        void write(DataOutputStream out) throws IOException;
    }

    private record RunResult(int exitCode, byte[] out, String errors) {}

    private static byte[] frame(int records, long clock, Body body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        body.write(new DataOutputStream(bytes));
        ByteBuffer frame = ByteBuffer.allocate(EventBatch.HEADER_BYTES + bytes.size());
        frame.putInt(records).putInt(frame.capacity()).putLong(clock).put(bytes.toByteArray());
        return frame.array();
    }

    private static RunResult run(byte[]... frames) throws IOException {
        ByteArrayOutputStream in = new ByteArrayOutputStream();
        for (byte[] each : frames) {
            in.write(each);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        int code =
                SimulatorAdapter.run(
                        new ByteArrayInputStream(in.toByteArray()), out, new PrintStream(errors));
        return new RunResult(code, out.toByteArray(), errors.toString());
    }

    private static void startInstance(DataOutputStream out, String options) throws IOException {
        out.writeShort(EventCode.INSTANCE_STARTED.value());
        out.writeInt(3);
        out.writeLong(42);
        out.writeInt(options.length());
        out.writeBytes(options);
    }

    private static void sendEndpointList(DataOutputStream out) throws IOException {
        out.writeShort(EventCode.ENDPOINT_LIST.value());
        out.writeShort(0);
        out.writeInt(1);
        out.writeFloat(1);
        out.writeByte(0);
        out.writeShort(0);
        out.writeInt(0x0a124a07);
        out.writeShort(0x138b);
        out.writeShort(0);
        out.writeLong(0);
        out.writeByte(1);
        out.writeShort(EventCode.ENDPOINTS_CHANGED.value());
        out.writeInt(3);
        out.writeLong(1);
        out.writeShort(0);
        out.writeByte(2);
    }

    private static void acceptQuery(DataOutputStream out) throws IOException {
        out.writeShort(EventCode.QUERY_ACCEPTED.value());
        out.writeInt(3);
        out.writeInt(0xfd3a91c4);
        out.writeByte(0);
        out.writeShort(0);
        out.writeLong(0);
        out.writeInt(240000);
        out.writeInt(12000);
        out.writeFloat(384);
        out.writeFloat(11);
        out.writeShort(1);
    }

    @Test
    void anEmptyBatchIsAnswered() throws IOException {
        RunResult result = run(frame(0, 5, out -> {}));
        assertEquals(0, result.exitCode);
        assertArrayEquals(new byte[] {0, 0, 0, 0, 0, 0, 0, 8}, result.out);
    }

    @Test
    void anAttemptHasTheQuerysIdAndTheEnginesUnchanged() throws IOException {
        RunResult result =
                run(
                        frame(
                                4,
                                1000,
                                out -> {
                                    startInstance(out, OPTIONS);
                                    sendEndpointList(out);
                                    acceptQuery(out);
                                }));
        assertEquals(0, result.exitCode, result.errors);
        byte[] expected = {
            3,
            (byte) 0xe8,
            0,
            0,
            0,
            3,
            (byte) 0xfd,
            0x3a,
            (byte) 0x91,
            (byte) 0xc4,
            0x0a,
            0x12,
            0x4a,
            7,
            0x13,
            (byte) 0x8b
        };
        boolean found = false;
        for (int i = 0; i + expected.length <= result.out.length; i++) {
            found |=
                    Arrays.equals(expected, Arrays.copyOfRange(result.out, i, i + expected.length));
        }
        assertTrue(found, "no START_ATTEMPT in the reply");
        assertEquals(result.out.length, ByteBuffer.wrap(result.out).getInt(4));
    }

    @Test
    void fieldsComeBackAsWritten() throws IOException {
        Random random = new Random(7);
        for (int i = 0; i < 200; i++) {
            long engine = random.nextLong() & 0xffffffffffffL;
            long query = random.nextLong() & 0xffffffffL;
            long token = random.nextLong();
            float number = random.nextFloat();
            ActionReply reply = new ActionReply();
            reply.record(ActionCode.START_ATTEMPT, query)
                    .engine(engine)
                    .u64(token)
                    .f32(number)
                    .u8(200)
                    .text("wörd");
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            reply.send(out);
            byte[] body =
                    Arrays.copyOfRange(out.toByteArray(), ActionReply.HEADER_BYTES, out.size());
            EventBatch in =
                    EventBatch.read(
                            new DataInputStream(
                                    new ByteArrayInputStream(frame(1, 9, o -> o.write(body)))));
            assertEquals(1000, in.u16());
            assertEquals(query, in.u32());
            assertEquals(engine, in.engine());
            assertEquals(token, in.u64());
            assertEquals(number, (float) in.f32());
            assertEquals(200, in.u8());
            assertEquals("wörd", in.text(in.u16()));
            in.end();
        }
        assertNull(EventBatch.read(new DataInputStream(new ByteArrayInputStream(new byte[0]))));
    }

    @Test
    void badInputIsReportedInOneLineWithAnExitCode() throws IOException {
        byte[] good =
                frame(
                        3,
                        1000,
                        out -> {
                            startInstance(out, OPTIONS);
                            sendEndpointList(out);
                        });
        byte[] truncatedRecord =
                frame(1, 1000, out -> out.writeShort(EventCode.INSTANCE_STARTED.value()));
        byte[] shortLength = ByteBuffer.allocate(16).putInt(0).putInt(3).putLong(1).array();
        byte[] trailingBytes = frame(0, 1, out -> out.writeInt(1));
        byte[] unknownEvent = frame(1, 1, out -> out.writeShort(77));
        byte[] notStarted = frame(1, 1, out -> acceptQuery(out));
        byte[] badSetting = frame(1, 1, out -> startInstance(out, "lanes.count=-4\n"));
        byte[] badSettingValue =
                frame(1, 1, out -> startInstance(out, "lanes.count=1\nlanes.0.effect=perhaps\n"));
        byte[] missingList =
                frame(
                        2,
                        1,
                        out -> {
                            startInstance(out, OPTIONS);
                            out.writeShort(EventCode.ENDPOINTS_CHANGED.value());
                            out.writeInt(3);
                            out.writeLong(1);
                            out.writeShort(9);
                            out.writeByte(1);
                        });
        for (byte[] bad :
                List.of(
                        Arrays.copyOf(good, good.length - 5),
                        Arrays.copyOf(good, 9),
                        truncatedRecord,
                        shortLength,
                        trailingBytes,
                        unknownEvent,
                        notStarted,
                        badSetting,
                        badSettingValue,
                        missingList)) {
            RunResult result = run(bad);
            assertEquals(1, result.exitCode);
            assertEquals(1, result.errors.strip().lines().count(), result.errors);
            assertTrue(result.errors.startsWith("calicostream: "));
        }
    }

    @Test
    void settingsAreReadAndUnknownOnesIgnored() {
        RouterSettings settings =
                SettingsParser.ofLines(
                                OPTIONS
                                        + "stats.how=on_probe\nlanes.0.allowed_in=1,2\n"
                                        + "ceilings.may_probe=true\nmembership_mode=subscribe\n")
                        .settings();
        assertEquals(2, settings.gateways());
        assertEquals(Idempotency.IDEMPOTENT, settings.classes().get(0).idempotency());
        assertEquals(List.of(1, 2), settings.classes().get(0).zones());
        assertEquals(8, settings.engineKinds().get(0).cores());
        assertEquals(LoadReporting.ON_PROBE, settings.loadReporting());
        assertTrue(settings.watchEndpointsOnRequest() && settings.attemptLimits().probes());
        RouterSettings bare = SettingsParser.ofLines("").settings();
        assertEquals(1, bare.gateways());
        assertTrue(bare.classes().isEmpty());
    }

    @Test
    void anExceptionOfTheRouterIsReportedWithItsCause() throws IOException {
        ActionReply reply = new ActionReply();
        RouterInstance instance = new RouterInstance(3, SettingsParser.ofLines(OPTIONS), reply);
        instance.apply(
                router -> {
                    throw new IllegalStateException("odd list");
                });
        instance.apply(router -> instance.probeLoad(1));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        reply.send(out);
        ByteBuffer frame = ByteBuffer.wrap(out.toByteArray());
        assertEquals(1, frame.getInt(0), "a failed instance acts no more");
        assertEquals(ActionCode.ROUTER_FAILED.value(), frame.getShort(ActionReply.HEADER_BYTES));
        assertTrue(out.toString().contains("odd list"));
    }

    @Test
    void aStoppedInstanceReceivesNoFurtherEvents() throws IOException {
        RunResult result =
                run(
                        frame(
                                4,
                                1000,
                                out -> {
                                    startInstance(out, OPTIONS);
                                    sendEndpointList(out);
                                    out.writeShort(EventCode.INSTANCE_STOPPED.value());
                                    out.writeInt(3);
                                }),
                        frame(1, 1001, SimulatorAdapterTest::acceptQuery));
        assertEquals(1, result.exitCode);
        assertTrue(result.errors.contains("not up"));
    }
}
