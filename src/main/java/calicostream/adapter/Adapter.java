// SPDX-License-Identifier: Apache-2.0
package calicostream.adapter;

import calicostream.QueryRouter.Engine;
import calicostream.QueryRouter.EngineState;
import calicostream.QueryRouter.Notice;
import calicostream.QueryRouter.Outcome;
import calicostream.QueryRouter.Report;
import calicostream.QueryRouter.RosterKind;
import calicostream.SettingsException;
import calicostream.SettingsParser;
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
public final class Adapter {
    private static final int BUFFER = 1 << 16;
    private static final double MS_SHIFT = 4096;
    private static final double MEMORY_UNIT_MB = 4;
    private final Map<Long, Instance> instances = new HashMap<>();
    private final Map<Integer, List<Engine>> lists = new HashMap<>();
    private final Frame.Reply reply = new Frame.Reply();

    /** Serves until the input ends; the exit code. */
    public static int run(InputStream input, OutputStream output, PrintStream errors)
            throws IOException {
        DataInputStream in = new DataInputStream(new BufferedInputStream(input, BUFFER));
        OutputStream out = new BufferedOutputStream(output, BUFFER);
        Adapter adapter = new Adapter();
        try {
            for (Frame.Batch batch = Frame.read(in); batch != null; batch = Frame.read(in)) {
                for (long i = 0; i < batch.records; i++) {
                    adapter.event(batch);
                }
                batch.end();
                adapter.reply.send(out);
            }
            return 0;
        } catch (WireException | SettingsException e) {
            errors.println("calicostream: " + e.getMessage());
            return 1;
        }
    }

    private void event(Frame.Batch in) {
        int code = in.u16();
        if (code == Codes.MANIFEST) {
            manifest(in);
            return;
        }
        if (!Codes.EVENTS.contains(code)) {
            throw new WireException("unknown event " + code);
        }
        long number = in.u32();
        if (code == Codes.UP) {
            in.u64();
            SettingsParser parser = SettingsParser.ofLines(in.text(in.u32()));
            Instance fresh = new Instance(number, parser, reply);
            instances.put(number, fresh);
            fresh.guard(() -> fresh.router.start(in.clock));
            return;
        }
        Instance to = instances.get(number);
        if (code == Codes.DOWN) {
            instances.remove(number);
            return;
        }
        if (to == null) {
            throw new WireException(
                    "event " + code + " for instance " + number + ", which is not up");
        }
        Runnable call = decode(code, in, to);
        to.guard(call);
    }

    private Runnable decode(int code, Frame.Batch in, Instance to) {
        long now = in.clock;
        switch (code) {
            case Codes.BACKENDS_CHANGED:
                return roster(in, to);
            case Codes.QUERY:
                return query(in, to);
            case Codes.ESTABLISHED:
                {
                    long id = in.u32();
                    in.engine();
                    in.u32();
                    int attempt = in.u16();
                    return () -> to.router.started(now, id, attempt);
                }
            case Codes.NOTICE:
                {
                    long id = in.u32();
                    Notice notice = notice(in.u8());
                    double amount = in.f32();
                    int attempt = in.u16();
                    in.engine();
                    boolean onLoad = notice == Notice.WAITS_FOR_MEMORY && amount >= 2;
                    Notice kind = onLoad ? Notice.WAITS_FOR_LOAD : notice;
                    return () ->
                            to.router.progress(
                                    now,
                                    new calicostream.QueryRouter.Progress(
                                            id, attempt, kind, amount));
                }
            case Codes.RESULT:
                return result(in, to);
            case Codes.DROPPED:
                {
                    long id = in.u32();
                    return () -> to.router.abandoned(now, id);
                }
            case Codes.ALARM:
                {
                    long token = in.u64();
                    return () -> to.router.timer(now, token);
                }
            case Codes.CHECKED:
                {
                    long engine = in.engine();
                    Outcome outcome = outcome(in.u16());
                    in.u32();
                    Report report = report(in, to);
                    return () -> to.router.probed(now, engine, outcome, report);
                }
            default:
                {
                    in.u16();
                    in.bytes(in.u16());
                    return () -> {};
                }
        }
    }

    private void manifest(Frame.Batch in) {
        int number = in.u16();
        long count = in.u32();
        List<Engine> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            in.f32();
            int kind = in.u8();
            int cell = in.u16();
            long id = in.engine();
            int zone = in.u16();
            long born = in.u64();
            entries.add(new Engine(id, kind, cell, zone, born, state(in.u8())));
        }
        lists.put(number, List.copyOf(entries));
    }

    private Runnable roster(Frame.Batch in, Instance to) {
        in.u64();
        int number = in.u16();
        int form = in.u8();
        if (form >= RosterKind.values().length) {
            throw new WireException("unknown form of list " + form);
        }
        RosterKind kind = RosterKind.values()[form];
        List<Engine> entries = kind == RosterKind.FAILED ? List.of() : lists.get(number);
        if (entries == null) {
            throw new WireException("list " + number + " was never sent");
        }
        return () -> to.router.roster(in.clock, kind, entries);
    }

    private static Runnable query(Frame.Batch in, Instance to) {
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
                to.router.query(
                        in.clock,
                        new calicostream.QueryRouter.Query(
                                id,
                                queryClass,
                                tenant,
                                key,
                                left,
                                valid,
                                memory,
                                group,
                                (bits & 2) != 0));
    }

    private static Runnable result(Frame.Batch in, Instance to) {
        long id = in.u32();
        long elapsed = in.u32();
        boolean over = in.u8() != 0;
        Outcome outcome = outcome(in.u16());
        long note = in.u32();
        int attempt = in.u16();
        long engine = in.engine();
        Report report = report(in, to);
        boolean told = to.tellsCost && outcome == Outcome.OK;
        double work = told ? Math.floor(note / MS_SHIFT) : 0;
        double memory = told ? note % MS_SHIFT * MEMORY_UNIT_MB : 0;
        return () ->
                to.router.ended(
                        in.clock,
                        new calicostream.QueryRouter.AttemptEnd(
                                id, attempt, engine, outcome, over, elapsed, work, memory, report));
    }

    private static Report report(Frame.Batch in, Instance to) {
        int count = in.u8();
        Report report = count == 0 ? null : Report.NOTHING;
        for (int i = 0; i < count; i++) {
            double value = in.f32();
            report = i < to.columns.size() ? report.with(to.columns.get(i), value) : report;
        }
        return report;
    }

    private static EngineState state(int code) {
        if (code >= EngineState.values().length) {
            throw new WireException("unknown state of an engine " + code);
        }
        return EngineState.values()[code];
    }

    private static Notice notice(int code) {
        switch (code) {
            case 1:
                return Notice.SHARE_DONE;
            case 2:
                return Notice.SPILLS;
            case 3:
                return Notice.WAITS_FOR_MEMORY;
            default:
                return Notice.OTHER;
        }
    }

    private static Outcome outcome(int code) {
        Outcome outcome = Codes.OUTCOMES.get(code);
        if (outcome == null) {
            throw new WireException("unknown outcome " + code);
        }
        return outcome;
    }
}
