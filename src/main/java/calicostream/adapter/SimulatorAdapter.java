// SPDX-License-Identifier: Apache-2.0
package calicostream.adapter;

import calicostream.config.SettingsException;
import calicostream.routing.AttemptOutcome;
import calicostream.routing.EndpointUpdate;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import calicostream.routing.LoadReport;
import calicostream.routing.ProgressKind;
import calicostream.routing.SettingsParser;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Hosts one decision instance for each gateway and speaks the simulator's wire. */
public final class SimulatorAdapter {
    private static final int BUFFER = 1 << 16;
    private static final double MS_SHIFT = 4096;
    private static final double MEMORY_UNIT_MB = 4;
    private final Map<Long, RouterInstance> instances = new HashMap<>();
    private final Map<Integer, List<EngineEndpoint>> lists = new HashMap<>();
    private final SimulatorFrame.ActionReply reply = new SimulatorFrame.ActionReply();

    /** Serves until the input ends; the exit code. */
    public static int run(InputStream input, OutputStream output, PrintStream errors)
            throws IOException {
        DataInputStream in = new DataInputStream(new BufferedInputStream(input, BUFFER));
        OutputStream out = new BufferedOutputStream(output, BUFFER);
        SimulatorAdapter adapter = new SimulatorAdapter();
        try {
            for (SimulatorFrame.EventBatch batch = SimulatorFrame.read(in);
                    batch != null;
                    batch = SimulatorFrame.read(in)) {
                for (long i = 0; i < batch.records; i++) {
                    adapter.event(batch);
                }
                batch.end();
                adapter.reply.send(out);
            }
            return 0;
        } catch (MalformedFrameException | SettingsException e) {
            errors.println("calicostream: " + e.getMessage());
            return 1;
        }
    }

    private void event(SimulatorFrame.EventBatch in) {
        int code = in.u16();
        if (code == RecordCodes.MANIFEST) {
            manifest(in);
            return;
        }
        if (!RecordCodes.EVENTS.contains(code)) {
            throw new MalformedFrameException("unknown event " + code);
        }
        long number = in.u32();
        if (code == RecordCodes.UP) {
            in.u64();
            SettingsParser parser = SettingsParser.ofLines(in.text(in.u32()));
            RouterInstance fresh = new RouterInstance(number, parser, reply);
            instances.put(number, fresh);
            fresh.guard(() -> fresh.router.start(in.clock));
            return;
        }
        RouterInstance to = instances.get(number);
        if (code == RecordCodes.DOWN) {
            instances.remove(number);
            return;
        }
        if (to == null) {
            throw new MalformedFrameException(
                    "event " + code + " for instance " + number + ", which is not up");
        }
        Runnable call = decode(code, in, to);
        to.guard(call);
    }

    private Runnable decode(int code, SimulatorFrame.EventBatch in, RouterInstance to) {
        long now = in.clock;
        switch (code) {
            case RecordCodes.BACKENDS_CHANGED:
                return roster(in, to);
            case RecordCodes.QUERY:
                return query(in, to);
            case RecordCodes.ESTABLISHED:
                {
                    long id = in.u32();
                    in.engine();
                    in.u32();
                    int attempt = in.u16();
                    return () -> to.router.streamStarted(now, id, attempt);
                }
            case RecordCodes.NOTICE:
                {
                    long id = in.u32();
                    ProgressKind notice = notice(in.u8());
                    double amount = in.f32();
                    int attempt = in.u16();
                    in.engine();
                    boolean onLoad = notice == ProgressKind.WAITING_FOR_MEMORY && amount >= 2;
                    ProgressKind kind = onLoad ? ProgressKind.WAITING_FOR_LOAD : notice;
                    return () ->
                            to.router.progress(
                                    now,
                                    new calicostream.routing.QueryProgress(
                                            id, attempt, kind, amount));
                }
            case RecordCodes.RESULT:
                return result(in, to);
            case RecordCodes.DROPPED:
                {
                    long id = in.u32();
                    return () -> to.router.queryAbandoned(now, id);
                }
            case RecordCodes.ALARM:
                {
                    long token = in.u64();
                    return () -> to.router.timerFired(now, token);
                }
            case RecordCodes.CHECKED:
                {
                    long engine = in.engine();
                    AttemptOutcome outcome = outcome(in.u16());
                    in.u32();
                    LoadReport report = report(in, to);
                    return () -> to.router.probeCompleted(now, engine, outcome, report);
                }
            default:
                {
                    in.u16();
                    in.bytes(in.u16());
                    return () -> {};
                }
        }
    }

    private void manifest(SimulatorFrame.EventBatch in) {
        int number = in.u16();
        long count = in.u32();
        List<EngineEndpoint> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            in.f32();
            int kind = in.u8();
            int cell = in.u16();
            long id = in.engine();
            int zone = in.u16();
            long born = in.u64();
            entries.add(new EngineEndpoint(id, kind, cell, zone, born, state(in.u8())));
        }
        lists.put(number, List.copyOf(entries));
    }

    private Runnable roster(SimulatorFrame.EventBatch in, RouterInstance to) {
        in.u64();
        int number = in.u16();
        int form = in.u8();
        if (form >= EndpointUpdate.values().length) {
            throw new MalformedFrameException("unknown form of list " + form);
        }
        EndpointUpdate kind = EndpointUpdate.values()[form];
        List<EngineEndpoint> entries =
                kind == EndpointUpdate.FAILED ? List.of() : lists.get(number);
        if (entries == null) {
            throw new MalformedFrameException("list " + number + " was never sent");
        }
        return () -> to.router.endpointsChanged(in.clock, kind, entries);
    }

    private static Runnable query(SimulatorFrame.EventBatch in, RouterInstance to) {
        long id = in.u32();
        int queryClass = in.u8();
        int tenant = in.u16();
        long key = in.u64();
        long left = in.u32();
        double cost = in.u32();
        double memory = in.f32();
        int group = (int) in.f32();
        int bits = in.u16();
        double valid = (bits & 1) != 0 ? cost : 0;
        return () ->
                to.router.queryAccepted(
                        in.clock,
                        new calicostream.routing.Query(
                                id,
                                queryClass,
                                tenant,
                                key,
                                left,
                                valid,
                                memory,
                                group,
                                (bits & 2) != 0,
                                0));
    }

    private static Runnable result(SimulatorFrame.EventBatch in, RouterInstance to) {
        long id = in.u32();
        long elapsed = in.u32();
        boolean over = in.u8() != 0;
        AttemptOutcome outcome = outcome(in.u16());
        long note = in.u32();
        int attempt = in.u16();
        long engine = in.engine();
        LoadReport report = report(in, to);
        boolean told = to.reportsCost && outcome == AttemptOutcome.OK;
        double work = told ? Math.floor(note / MS_SHIFT) : 0;
        double memory = told ? note % MS_SHIFT * MEMORY_UNIT_MB : 0;
        return () ->
                to.router.attemptEnded(
                        in.clock,
                        new calicostream.routing.AttemptResult(
                                id, attempt, engine, outcome, over, elapsed, work, memory, report));
    }

    private static LoadReport report(SimulatorFrame.EventBatch in, RouterInstance to) {
        int count = in.u8();
        LoadReport report = count == 0 ? null : LoadReport.EMPTY;
        for (int i = 0; i < count; i++) {
            double value = in.f32();
            report = i < to.columns.size() ? report.withColumn(to.columns.get(i), value) : report;
        }
        return report;
    }

    private static EngineLifecycle state(int code) {
        if (code >= EngineLifecycle.values().length) {
            throw new MalformedFrameException("unknown state of an engine " + code);
        }
        return EngineLifecycle.values()[code];
    }

    private static ProgressKind notice(int code) {
        switch (code) {
            case 1:
                return ProgressKind.FRACTION_DONE;
            case 2:
                return ProgressKind.SPILLING;
            case 3:
                return ProgressKind.WAITING_FOR_MEMORY;
            default:
                return ProgressKind.OTHER;
        }
    }

    private static AttemptOutcome outcome(int code) {
        AttemptOutcome outcome = RecordCodes.OUTCOMES.get(code);
        if (outcome == null) {
            throw new MalformedFrameException("unknown outcome " + code);
        }
        return outcome;
    }
}
