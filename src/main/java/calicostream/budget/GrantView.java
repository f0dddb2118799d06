// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayList;
import java.util.List;

/**
 * Read-only view of a {@link GrantStateMachine}'s copy, for coordinators and operators. Used on the
 * thread of its state machine.
 */
public final class GrantView {
    /**
     * An engine.
     *
     * @param requestedCap lower than {@code cap} while a lowered cap is not in force
     * @param committed the most sessions that may be in use
     * @param granted sessions granted to all processes
     */
    public record EngineTotals(
            String name,
            long incarnation,
            String pool,
            int cap,
            int requestedCap,
            int committed,
            int granted) {}

    /** Sessions of a tenant in the whole fleet. */
    public record TenantTotals(int granted, int demand) {}

    /**
     * Sessions that may be in use until the engine's own count shows otherwise.
     *
     * @param session that the process's present incarnation joined under
     * @param ofPredecessors whether they are of earlier incarnations of the process
     * @param expiredAtIndex index from which a count is proof
     */
    public record UnconfirmedUsage(
            String engine,
            String process,
            long session,
            boolean ofPredecessors,
            long expiredAtIndex,
            int sessions) {}

    private final GrantLedger ledger;

    GrantView(GrantLedger ledger) {
        this.ledger = ledger;
    }

    /** Index of the last command that the copy has applied; 0 if none. */
    public long appliedIndex() {
        return ledger.appliedIndex();
    }

    /** All engines, sorted by name. */
    public List<EngineTotals> engines() {
        List<EngineTotals> totals = new ArrayList<>();
        ledger.engines()
                .forEach(
                        (name, engine) ->
                                totals.add(
                                        new EngineTotals(
                                                name,
                                                engine.incarnation(),
                                                engine.pool(),
                                                engine.cap(),
                                                engine.requestedCap(),
                                                ledger.committed(name),
                                                grantedAt(name))));
        return totals;
    }

    private int grantedAt(String engine) {
        int granted = 0;
        for (ProcessEntry process : ledger.processes().values()) {
            EngineAllocation allocation = process.allocations().get(engine);
            granted += allocation == null ? 0 : allocation.granted();
        }
        return granted;
    }

    /** What the tenant is granted and demands at all engines. */
    public TenantTotals tenantTotals(String tenant) {
        int granted = 0;
        int demand = 0;
        for (ProcessEntry process : ledger.processes().values()) {
            for (EngineAllocation allocation : process.allocations().values()) {
                TenantAllocation each = allocation.tenants().get(tenant);
                granted += each == null ? 0 : each.granted();
                demand += each == null ? 0 : each.demand();
            }
        }
        return new TenantTotals(granted, demand);
    }

    /** What silent processes, and earlier incarnations, may have in use and can no longer start. */
    public List<UnconfirmedUsage> unconfirmedUsages() {
        List<UnconfirmedUsage> usages = new ArrayList<>();
        for (ProcessEntry process : ledger.processes().values()) {
            if (process.hasSession()) {
                process.allocations()
                        .forEach((engine, allocation) -> add(usages, process, engine, allocation));
            }
        }
        return usages;
    }

    private static void add(
            List<UnconfirmedUsage> usages,
            ProcessEntry process,
            String engine,
            EngineAllocation allocation) {
        int sessions = Math.max(allocation.inUse(), allocation.maxUsableSum());
        if (process.isExpired() && sessions > 0) {
            usages.add(
                    new UnconfirmedUsage(
                            engine,
                            process.name(),
                            process.session(),
                            false,
                            process.expiredAtIndex(),
                            sessions));
        }
        boolean havePredecessorsExpired =
                process.hasPredecessors() && process.predecessorsExpiredAtIndex() != 0;
        if (havePredecessorsExpired && allocation.orphaned() > 0) {
            usages.add(
                    new UnconfirmedUsage(
                            engine,
                            process.name(),
                            process.session(),
                            true,
                            process.predecessorsExpiredAtIndex(),
                            allocation.orphaned()));
        }
    }
}
