// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import static calicostream.budget.BudgetCommand.MAX_NAME_BYTES;

import calicostream.budget.EngineAllocation.GrantedSum;
import calicostream.cluster.BinaryCodec;

/** The snapshot format of a {@link GrantLedger}. Stateless. */
final class GrantLedgerCodec {
    private static final int FORMAT_VERSION = 1;

    /** The smallest encoded size of an element, by kind of list. */
    private static final int MIN_ENGINE_BYTES = 20;

    private static final int MIN_REMOVED_ENGINE_BYTES = 12;
    private static final int MIN_PROCESS_BYTES = 40;
    private static final int MIN_ALLOCATION_BYTES = 16;
    private static final int MIN_TENANT_BYTES = 12;
    private static final int MIN_SUM_BYTES = 16;

    private GrantLedgerCodec() {}

    static byte[] encode(GrantLedger ledger) {
        BinaryCodec.Writer out =
                new BinaryCodec.Writer()
                        .u8(FORMAT_VERSION)
                        .i64(ledger.fencingToken())
                        .i64(ledger.appliedIndex());
        out.i32(ledger.engines().size());
        ledger.engines().forEach((name, engine) -> writeEngine(out, name, engine));
        out.i32(ledger.removedEngines().size());
        ledger.removedEngines().forEach((name, incarnation) -> out.text(name).i64(incarnation));
        out.i32(ledger.processes().size());
        ledger.processes().values().forEach(process -> writeProcess(out, process));
        return out.toByteArray();
    }

    /**
     * Decodes the result of {@link #encode}.
     *
     * @throws calicostream.cluster.ClusterException.Malformed if the bytes are not a valid
     *     snapshot, or refer to a pool that is not configured
     */
    static GrantLedger decode(BudgetSettings settings, byte[] snapshot) {
        BinaryCodec.Reader in = new BinaryCodec.Reader("budget snapshot", snapshot);
        in.requireVersion(FORMAT_VERSION);
        GrantLedger ledger = new GrantLedger(settings);
        ledger.setFencingToken(in.i64());
        ledger.setAppliedIndex(in.i64());
        for (int i = in.count(MIN_ENGINE_BYTES); i > 0; i--) {
            readEngine(in, settings, ledger);
        }
        for (int i = in.count(MIN_REMOVED_ENGINE_BYTES); i > 0; i--) {
            ledger.putRemovedEngine(readName(in), in.i64());
        }
        for (int i = in.count(MIN_PROCESS_BYTES); i > 0; i--) {
            readProcess(in, ledger);
        }
        in.requireEnd();
        return ledger;
    }

    private static void writeEngine(BinaryCodec.Writer out, String name, EngineEntry engine) {
        out.text(name)
                .i64(engine.incarnation())
                .text(engine.pool())
                .i32(engine.cap())
                .i32(engine.requestedCap());
    }

    private static void readEngine(
            BinaryCodec.Reader in, BudgetSettings settings, GrantLedger ledger) {
        String name = readName(in);
        long incarnation = in.i64();
        String pool = readName(in);
        int cap = in.i32();
        int requestedCap = in.i32();
        try {
            ledger.putEngine(
                    name, new EngineEntry(incarnation, settings.pool(pool), cap, requestedCap));
        } catch (BudgetException.UnknownName unknown) {
            throw in.malformed(unknown.getMessage());
        }
    }

    private static void writeProcess(BinaryCodec.Writer out, ProcessEntry process) {
        ProcessEntry.LeaseState state = process.leaseState();
        out.text(process.name())
                .i64(state.session())
                .i64(state.reportNumber())
                .i64(state.grantVersion())
                .i64(state.expiredAtIndex())
                .i64(state.predecessorsExpiredAtIndex())
                .u8(state.hasPredecessors() ? 1 : 0)
                .i32(process.allocations().size());
        process.allocations()
                .forEach((engine, allocation) -> writeAllocation(out, engine, allocation));
    }

    private static void readProcess(BinaryCodec.Reader in, GrantLedger ledger) {
        ProcessEntry process = ledger.addProcess(readName(in));
        process.restoreLeaseState(
                new ProcessEntry.LeaseState(
                        in.i64(), in.i64(), in.i64(), in.i64(), in.i64(), in.u8() == 1));
        for (int i = in.count(MIN_ALLOCATION_BYTES); i > 0; i--) {
            String engine = readName(in);
            process.restoreAllocation(engine, readAllocation(in));
        }
    }

    private static void writeAllocation(
            BinaryCodec.Writer out, String engine, EngineAllocation allocation) {
        out.text(engine)
                .i32(allocation.orphaned())
                .i32(allocation.inUse())
                .i32(allocation.tenants().size());
        allocation
                .tenants()
                .forEach(
                        (name, tenant) ->
                                out.text(name).i32(tenant.granted()).i32(tenant.demand()));
        out.i32(allocation.usableSums().size());
        for (GrantedSum sum : allocation.usableSums()) {
            out.i64(sum.version()).i64(sum.sessions());
        }
    }

    private static EngineAllocation readAllocation(BinaryCodec.Reader in) {
        EngineAllocation allocation = new EngineAllocation(in.i32(), in.i32());
        for (int i = in.count(MIN_TENANT_BYTES); i > 0; i--) {
            TenantAllocation tenant = allocation.tenant(readName(in));
            tenant.setGranted(in.i32());
            tenant.setDemand(in.i32());
        }
        for (int i = in.count(MIN_SUM_BYTES); i > 0; i--) {
            allocation.restoreUsableSum(new GrantedSum(in.i64(), in.i64()));
        }
        return allocation;
    }

    private static String readName(BinaryCodec.Reader in) {
        return in.text(MAX_NAME_BYTES);
    }
}
