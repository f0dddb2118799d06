// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import calicostream.budget.GrantLedger.EngineAllocation;
import calicostream.budget.GrantLedger.ProcessEntry;
import calicostream.budget.GrantLedger.TenantAllocation;
import java.util.ArrayList;
import java.util.List;

/**
 * What a copy of the grant machine knows, for arbiters and operators. Same thread as its machine;
 * changes nothing.
 */
public final class GrantView {
    /** An engine; {@code target} is under {@code cap} while a lowered cap is not in force. */
    public record EngineTotals(
            String name,
            long incarnation,
            String pool,
            int cap,
            int requestedCap,
            int committed,
            int granted) {}

    /** A tenant in the whole fleet. */
    public record TenantTotals(int granted, int demand) {}

    /**
     * Sessions that count until the engine tells; {@code over} is the index from which its word is
     * proof.
     */
    public record UnconfirmedUsage(
            String engine,
            String process,
            long session,
            boolean ofPredecessors,
            long expiredAtIndex,
            int sessions) {}

    private final GrantLedger books;

    GrantView(GrantLedger books) {
        this.books = books;
    }

    /** Index of the last command that the copy has applied; 0 if none. */
    public long appliedIndex() {
        return books.appliedIndex;
    }

    public List<EngineTotals> engines() {
        List<EngineTotals> out = new ArrayList<>();
        books.engines.forEach(
                (name, engine) ->
                        out.add(
                                new EngineTotals(
                                        name,
                                        engine.incarnation,
                                        engine.pool,
                                        engine.cap,
                                        engine.requestedCap,
                                        books.committed(name),
                                        books.processes.values().stream()
                                                .filter(
                                                        process ->
                                                                process.allocations.containsKey(
                                                                        name))
                                                .mapToInt(
                                                        process ->
                                                                process.allocations
                                                                        .get(name)
                                                                        .granted())
                                                .sum())));
        return out;
    }

    public TenantTotals tenantTotals(String tenant) {
        int granted = 0;
        int wanted = 0;
        for (ProcessEntry process : books.processes.values()) {
            for (EngineAllocation held : process.allocations.values()) {
                TenantAllocation line = held.tenants.get(tenant);
                granted += line == null ? 0 : line.granted;
                wanted += line == null ? 0 : line.demand;
            }
        }
        return new TenantTotals(granted, wanted);
    }

    /**
     * What silent processes, and starts before the present ones, may have in use and no longer may
     * begin.
     */
    public List<UnconfirmedUsage> unconfirmedUsages() {
        List<UnconfirmedUsage> out = new ArrayList<>();
        books.processes.forEach(
                (name, process) ->
                        process.allocations.forEach(
                                (engine, held) -> {
                                    int sessions = Math.max(held.inUse, held.maxUsableSum());
                                    if (process.session != 0
                                            && process.expiredAtIndex != 0
                                            && sessions > 0) {
                                        out.add(
                                                new UnconfirmedUsage(
                                                        engine,
                                                        name,
                                                        process.session,
                                                        false,
                                                        process.expiredAtIndex,
                                                        sessions));
                                    }
                                    if (process.session != 0
                                            && process.hasPredecessors
                                            && process.predecessorsExpiredAtIndex != 0
                                            && held.orphaned > 0) {
                                        out.add(
                                                new UnconfirmedUsage(
                                                        engine,
                                                        name,
                                                        process.session,
                                                        true,
                                                        process.predecessorsExpiredAtIndex,
                                                        held.orphaned));
                                    }
                                }));
        return out;
    }
}
