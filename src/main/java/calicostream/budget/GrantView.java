// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayList;
import java.util.List;

/**
 * Read-only view of one copy of the {@link GrantStateMachine}, for coordinators and metrics. Must
 * be used on the thread of its state machine.
 */
public final class GrantView {
    /**
     * An engine's caps and sums.
     *
     * @param requestedCap lower than {@code cap} while a lowered cap is not in force
     * @param committed upper bound on the sessions in use
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

    /** Granted and demanded sessions of a tenant in the whole fleet. */
    public record TenantTotals(int granted, int demand) {}

    /**
     * Sessions that may be in use as long as no engine count proves a lower number.
     *
     * @param session cluster session under which the process's current incarnation joined
     * @param forPredecessors whether the sessions are of earlier incarnations of the process
     * @param expiredAtIndex smallest applied index at which a count must be requested to be usable
     */
    public record UnconfirmedUsage(
            String engine,
            String process,
            long session,
            boolean forPredecessors,
            long expiredAtIndex,
            int sessions) {}

    private final GrantLedger ledger;

    GrantView(GrantLedger ledger) {
        this.ledger = ledger;
    }

    /** Index of the last command that this copy has applied; 0 if none. */
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
                                                totalGranted(name))));
        return totals;
    }

    private int totalGranted(String engine) {
        int granted = 0;
        for (ProcessEntry process : ledger.processes().values()) {
            EngineAllocation allocation = process.allocations().get(engine);
            granted += allocation == null ? 0 : allocation.granted();
        }
        return granted;
    }

    /** Sums of the tenant's grants and demand at all engines. */
    public TenantTotals tenantTotals(String tenant) {
        int granted = 0;
        int demand = 0;
        for (ProcessEntry process : ledger.processes().values()) {
            for (EngineAllocation allocation : process.allocations().values()) {
                TenantAllocation tenantAllocation = allocation.tenants().get(tenant);
                granted += tenantAllocation == null ? 0 : tenantAllocation.granted();
                demand += tenantAllocation == null ? 0 : tenantAllocation.demand();
            }
        }
        return new TenantTotals(granted, demand);
    }

    /** Sessions that processes with expired grants, and earlier incarnations, may have in use. */
    public List<UnconfirmedUsage> unconfirmedUsages() {
        List<UnconfirmedUsage> usages = new ArrayList<>();
        for (ProcessEntry process : ledger.processes().values()) {
            if (process.hasSession()) {
                process.allocations()
                        .forEach(
                                (engine, allocation) ->
                                        addUsages(usages, process, engine, allocation));
            }
        }
        return usages;
    }

    private static void addUsages(
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
