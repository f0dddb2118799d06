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
    static final class EngineEntry {
        long incarnation;
        String pool;
        int cap;
        int requestedCap;

        /** Of each named process; follows from the pool. */
        int floor;
    }

    /** A process by its name. */
    static final class ProcessEntry {
        long session;
        long reportNumber;
        long grantVersion;

        /**
         * Index at which the leader had counted this start's grants out; 0 while they may be used.
         */
        long expiredAtIndex;

        /** The same for its earlier starts together. */
        long predecessorsExpiredAtIndex;

        boolean hasPredecessors;
        final SortedMap<String, EngineAllocation> allocations = new TreeMap<>();

        EngineAllocation allocations(String engine) {
            return allocations.computeIfAbsent(engine, name -> new EngineAllocation());
        }
    }

    /** What a process may have in use at one engine's present incarnation. */
    static final class EngineAllocation {
        /** Sessions that earlier starts may have left running. */
        int orphaned;

        /** Sessions at the last report, or the bound on them where the process fell silent. */
        int inUse;

        final SortedMap<String, TenantAllocation> tenants = new TreeMap<>();

        /** Sums granted, by version: those that the process may still go by. */
        private final List<long[]> sums = new ArrayList<>();

        int granted() {
            return tenants.values().stream().mapToInt(line -> line.granted).sum();
        }

        /** The most that a version which the process may go by allows. */
        int maxUsableSum() {
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
        void acknowledge(long version) {
            while (sums.size() > 1 && sums.get(1)[0] <= version) {
                sums.remove(0);
            }
        }

        void revokeGrants() {
            sums.clear();
            tenants.values().forEach(line -> line.granted = 0);
        }

        /**
         * What may be in use by this start and those before, given what the process may always use.
         */
        int committed(int floor) {
            return Math.max(floor, orphaned + Math.max(maxUsableSum(), inUse));
        }
    }

    /** A tenant's part. */
    static final class TenantAllocation {
        int granted;
        int demand;
    }

    private final Set<String> named;
    final SortedMap<String, EngineEntry> engines = new TreeMap<>();
    final SortedMap<String, ProcessEntry> processes = new TreeMap<>();

    /** Last incarnations of engines that are no more: none of them may come back. */
    final SortedMap<String, Long> removedEngines = new TreeMap<>();

    long fencingToken;
    long appliedIndex;

    GrantLedger(BudgetSettings settings) {
        named = Set.copyOf(settings.processes());
        named.forEach(name -> processes.put(name, new ProcessEntry()));
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
        for (Map.Entry<String, ProcessEntry> each : processes.entrySet()) {
            int floor = floor(each.getKey(), engine);
            EngineAllocation held = each.getValue().allocations.get(engine);
            int sum = sums.getOrDefault(each.getKey(), 0);
            total +=
                    held == null
                            ? Math.max(floor, sum)
                            : Math.max(
                                    held.committed(floor),
                                    held.orphaned + Math.max(sum, held.inUse));
        }
        return (int) Math.min(total, Integer.MAX_VALUE);
    }

    byte[] snapshot() {
        BinaryCodec.Writer out =
                new BinaryCodec.Writer()
                        .u8(FORMAT)
                        .i64(fencingToken)
                        .i64(appliedIndex)
                        .i32(engines.size());
        engines.forEach(
                (name, engine) ->
                        out.text(name)
                                .i64(engine.incarnation)
                                .text(engine.pool)
                                .i32(engine.cap)
                                .i32(engine.requestedCap));
        out.i32(removedEngines.size());
        removedEngines.forEach((name, incarnation) -> out.text(name).i64(incarnation));
        out.i32(processes.size());
        processes.forEach(
                (name, process) -> {
                    out.text(name)
                            .i64(process.session)
                            .i64(process.reportNumber)
                            .i64(process.grantVersion)
                            .i64(process.expiredAtIndex)
                            .i64(process.predecessorsExpiredAtIndex)
                            .u8(process.hasPredecessors ? 1 : 0)
                            .i32(process.allocations.size());
                    process.allocations.forEach(
                            (engine, held) -> {
                                out.text(engine)
                                        .i32(held.orphaned)
                                        .i32(held.inUse)
                                        .i32(held.tenants.size());
                                held.tenants.forEach(
                                        (tenant, line) ->
                                                out.text(tenant)
                                                        .i32(line.granted)
                                                        .i32(line.demand));
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
        books.fencingToken = in.i64();
        books.appliedIndex = in.i64();
        for (int i = in.count(20); i > 0; i--) {
            EngineEntry engine = new EngineEntry();
            books.engines.put(in.text(BudgetCommand.MAX_NAME_BYTES), engine);
            engine.incarnation = in.i64();
            engine.pool = in.text(BudgetCommand.MAX_NAME_BYTES);
            engine.cap = in.i32();
            engine.requestedCap = in.i32();
            try {
                engine.floor = settings.pool(engine.pool).floor();
            } catch (BudgetException.Unknown other) {
                throw in.malformed(other.getMessage());
            }
        }
        for (int i = in.count(12); i > 0; i--) {
            books.removedEngines.put(in.text(BudgetCommand.MAX_NAME_BYTES), in.i64());
        }
        for (int i = in.count(40); i > 0; i--) {
            ProcessEntry process = new ProcessEntry();
            books.processes.put(in.text(BudgetCommand.MAX_NAME_BYTES), process);
            process.session = in.i64();
            process.reportNumber = in.i64();
            process.grantVersion = in.i64();
            process.expiredAtIndex = in.i64();
            process.predecessorsExpiredAtIndex = in.i64();
            process.hasPredecessors = in.u8() == 1;
            for (int j = in.count(16); j > 0; j--) {
                held(in, process.allocations(in.text(BudgetCommand.MAX_NAME_BYTES)));
            }
        }
        in.requireEnd();
        return books;
    }

    private static void held(BinaryCodec.Reader in, EngineAllocation held) {
        held.orphaned = in.i32();
        held.inUse = in.i32();
        for (int i = in.count(12); i > 0; i--) {
            TenantAllocation line = new TenantAllocation();
            held.tenants.put(in.text(BudgetCommand.MAX_NAME_BYTES), line);
            line.granted = in.i32();
            line.demand = in.i32();
        }
        for (int i = in.count(16); i > 0; i--) {
            held.sums.add(new long[] {in.i64(), in.i64()});
        }
    }
}
