// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import calicostream.cluster.BinaryCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What the grant machine knows: engines with their caps, processes with what they may have in use.
 * It answers how many sessions may be in use at an engine and decides nothing; ordered maps make
 * equal states equal bytes. Owned by one machine, which alone changes it.
 */
final class GrantLedger {
    private static final int FORMAT = 1;
    private static final int VERSIONS = 16;

    /**
     * An engine in its present incarnation; a target under the cap is a lowered cap that is not yet
     * in force.
     */
    static final class EngineBook {
        long incarnation;
        String pool;
        int cap;
        int target;

        /** Of each named process; follows from the pool. */
        int floor;
    }

    /** A process by its name. */
    static final class ProcessBook {
        long session;
        long number;
        long version;

        /**
         * Index at which the leader had counted this start's grants out; 0 while they may be used.
         */
        long expiredAt;

        /** The same for its earlier starts together. */
        long formerExpiredAt;

        boolean hasFormer;
        final SortedMap<String, Held> held = new TreeMap<>();

        Held held(String engine) {
            return held.computeIfAbsent(engine, name -> new Held());
        }
    }

    /** What a process may have in use at one engine's present incarnation. */
    static final class Held {
        /** Sessions that earlier starts may have left running. */
        int left;

        /** Sessions at the last report, or the bound on them where the process fell silent. */
        int used;

        final SortedMap<String, Line> lines = new TreeMap<>();

        /** Sums granted, by version: those that the process may still go by. */
        private final List<long[]> sums = new ArrayList<>();

        int granted() {
            return lines.values().stream().mapToInt(line -> line.granted).sum();
        }

        /** The most that a version which the process may go by allows. */
        int most() {
            long most = 0;
            for (long[] sum : sums) {
                most = Math.max(most, sum[1]);
            }
            return (int) most;
        }

        void granted(long version, int sum) {
            sums.add(new long[] {version, sum});
            if (sums.size() > VERSIONS) { // the two oldest as one: counts more, never less
                long[] oldest = sums.remove(0);
                sums.get(0)[1] = Math.max(sums.get(0)[1], oldest[1]);
            }
        }

        /** The process goes by that version: what it went by before is over. */
        void adopted(long version) {
            while (sums.size() > 1 && sums.get(1)[0] <= version) {
                sums.remove(0);
            }
        }

        void forgetGrants() {
            sums.clear();
            lines.values().forEach(line -> line.granted = 0);
        }

        /**
         * What may be in use by this start and those before, given what the process may always use.
         */
        int committed(int floor) {
            return Math.max(floor, left + Math.max(most(), used));
        }
    }

    /** A tenant's part. */
    static final class Line {
        int granted;
        int wanted;
    }

    private final Set<String> named;
    final SortedMap<String, EngineBook> engines = new TreeMap<>();
    final SortedMap<String, ProcessBook> processes = new TreeMap<>();

    /** Last incarnations of engines that are no more: none of them may come back. */
    final SortedMap<String, Long> past = new TreeMap<>();

    long token;
    long index;

    GrantLedger(BudgetSettings settings) {
        named = Set.copyOf(settings.processes());
        named.forEach(name -> processes.put(name, new ProcessBook()));
    }

    int floor(String process, String engine) {
        return named.contains(process) ? engines.get(engine).floor : 0;
    }

    /**
     * The most sessions that may be in use at the engine now or later, if nothing else is granted.
     */
    int committed(String engine) {
        return committed(engine, Map.of());
    }

    /** The same with further sums granted, by process. */
    int committed(String engine, Map<String, Integer> sums) {
        long total = 0;
        for (Map.Entry<String, ProcessBook> each : processes.entrySet()) {
            int floor = floor(each.getKey(), engine);
            Held held = each.getValue().held.get(engine);
            int sum = sums.getOrDefault(each.getKey(), 0);
            total +=
                    held == null
                            ? Math.max(floor, sum)
                            : Math.max(held.committed(floor), held.left + Math.max(sum, held.used));
        }
        return (int) Math.min(total, Integer.MAX_VALUE);
    }

    byte[] snapshot() {
        BinaryCodec.Writer out =
                new BinaryCodec.Writer().u8(FORMAT).i64(token).i64(index).i32(engines.size());
        engines.forEach(
                (name, engine) ->
                        out.text(name)
                                .i64(engine.incarnation)
                                .text(engine.pool)
                                .i32(engine.cap)
                                .i32(engine.target));
        out.i32(past.size());
        past.forEach((name, incarnation) -> out.text(name).i64(incarnation));
        out.i32(processes.size());
        processes.forEach(
                (name, process) -> {
                    out.text(name)
                            .i64(process.session)
                            .i64(process.number)
                            .i64(process.version)
                            .i64(process.expiredAt)
                            .i64(process.formerExpiredAt)
                            .u8(process.hasFormer ? 1 : 0)
                            .i32(process.held.size());
                    process.held.forEach(
                            (engine, held) -> {
                                out.text(engine)
                                        .i32(held.left)
                                        .i32(held.used)
                                        .i32(held.lines.size());
                                held.lines.forEach(
                                        (tenant, line) ->
                                                out.text(tenant)
                                                        .i32(line.granted)
                                                        .i32(line.wanted));
                                out.i32(held.sums.size());
                                held.sums.forEach(sum -> out.i64(sum[0]).i64(sum[1]));
                            });
                });
        return out.toByteArray();
    }

    static GrantLedger restore(BudgetSettings settings, byte[] snapshot) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("budget snapshot", snapshot);
        in.requireVersion(FORMAT);
        GrantLedger books = new GrantLedger(settings);
        books.token = in.i64();
        books.index = in.i64();
        for (int i = in.count(20); i > 0; i--) {
            EngineBook engine = new EngineBook();
            books.engines.put(in.text(BudgetCommand.NAME), engine);
            engine.incarnation = in.i64();
            engine.pool = in.text(BudgetCommand.NAME);
            engine.cap = in.i32();
            engine.target = in.i32();
            try {
                engine.floor = settings.pool(engine.pool).floor();
            } catch (BudgetException.Unknown other) {
                throw in.malformed(other.getMessage());
            }
        }
        for (int i = in.count(12); i > 0; i--) {
            books.past.put(in.text(BudgetCommand.NAME), in.i64());
        }
        for (int i = in.count(40); i > 0; i--) {
            ProcessBook process = new ProcessBook();
            books.processes.put(in.text(BudgetCommand.NAME), process);
            process.session = in.i64();
            process.number = in.i64();
            process.version = in.i64();
            process.expiredAt = in.i64();
            process.formerExpiredAt = in.i64();
            process.hasFormer = in.u8() == 1;
            for (int j = in.count(16); j > 0; j--) {
                held(in, process.held(in.text(BudgetCommand.NAME)));
            }
        }
        in.requireEnd();
        return books;
    }

    private static void held(BinaryCodec.Reader in, Held held) {
        held.left = in.i32();
        held.used = in.i32();
        for (int i = in.count(12); i > 0; i--) {
            Line line = new Line();
            held.lines.put(in.text(BudgetCommand.NAME), line);
            line.granted = in.i32();
            line.wanted = in.i32();
        }
        for (int i = in.count(16); i > 0; i--) {
            held.sums.add(new long[] {in.i64(), in.i64()});
        }
    }
}
