// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Applies the coordinator's {@link BudgetCommand.Allocate} commands to a {@link GrantLedger},
 * atomically. Rejects a command that raises a grant at an engine if more sessions than the engine's
 * cap could then be in use.
 */
final class AllocationHandler {
    private static final int MAX_GRANTED_SUM = 1_000_000;

    private final BudgetSettings settings;
    private final Set<Safeguard> disabledSafeguards;
    private final GrantLedger ledger;

    AllocationHandler(
            BudgetSettings settings, Set<Safeguard> disabledSafeguards, GrantLedger ledger) {
        this.settings = settings;
        this.disabledSafeguards = disabledSafeguards;
        this.ledger = ledger;
    }

    /** The requested grants at one engine, in sessions by process and tenant. */
    private static final class EngineRequest {
        private final SortedMap<String, SortedMap<String, Integer>> byProcess = new TreeMap<>();
        private final SortedMap<String, Integer> sums = new TreeMap<>();

        private void add(BudgetCommand.Grant grant) {
            byProcess
                    .computeIfAbsent(grant.process(), name -> new TreeMap<>())
                    .put(grant.tenant(), grant.sessions());
        }
    }

    void allocate(BudgetCommand.Allocate allocate) {
        if (allocate.fencingToken() < ledger.fencingToken()) {
            throw new BudgetException.StaleToken(allocate.fencingToken(), ledger.fencingToken());
        }
        SortedMap<String, EngineRequest> requests = new TreeMap<>();
        for (BudgetCommand.Grant grant : allocate.grants()) {
            checkGrant(grant);
            requests.computeIfAbsent(grant.engine(), name -> new EngineRequest()).add(grant);
        }
        requests.forEach(this::checkCap);
        ledger.setFencingToken(allocate.fencingToken());
        Set<ProcessEntry> changed = new LinkedHashSet<>();
        requests.forEach((engine, request) -> apply(engine, request, changed));
    }

    private void checkGrant(BudgetCommand.Grant grant) {
        ledger.requirePresent(grant.engine(), grant.incarnation());
        settings.tenantIndex(grant.tenant());
        ProcessEntry process = ledger.processes().get(grant.process());
        if (process == null
                || process.session() != grant.session()
                || !process.hasSession()
                || process.isExpired() && grant.sessions() > 0) {
            throw new BudgetException.GrantExpired(grant.process(), grant.session());
        }
    }

    /** Computes each process's new sum of grants at the engine and checks the cap with them. */
    private void checkCap(String name, EngineRequest request) {
        boolean isRaised = false;
        for (Map.Entry<String, SortedMap<String, Integer>> processGrants :
                request.byProcess.entrySet()) {
            EngineAllocation allocation =
                    ledger.processes().get(processGrants.getKey()).allocations().get(name);
            long before = allocation == null ? 0 : allocation.granted();
            long sum = before;
            for (Map.Entry<String, Integer> tenantGrant : processGrants.getValue().entrySet()) {
                int granted = allocation == null ? 0 : allocation.granted(tenantGrant.getKey());
                sum += tenantGrant.getValue() - granted;
            }
            isRaised |= sum > before;
            request.sums.put(processGrants.getKey(), (int) Math.min(sum, MAX_GRANTED_SUM));
        }
        if (!isRaised || disabledSafeguards.contains(Safeguard.CAP_CHECKED_AT_APPLY)) {
            return;
        }
        EngineEntry engine = ledger.engines().get(name);
        int committedBefore = ledger.committed(name);
        int committedAfter = ledger.committed(name, request.sums);
        if (engine.isCapLowered()) {
            throw new BudgetException.CapLowered(
                    name, engine.cap(), engine.requestedCap(), committedBefore);
        }
        if (committedAfter > engine.cap()) {
            throw new BudgetException.OverCap(
                    name, engine.incarnation(), engine.cap(), committedBefore, committedAfter);
        }
    }

    private void apply(String engine, EngineRequest request, Set<ProcessEntry> changed) {
        request.byProcess.forEach(
                (name, sessionsByTenant) -> {
                    ProcessEntry process = ledger.processes().get(name);
                    if (changed.add(process)) {
                        process.incrementGrantVersion();
                    }
                    EngineAllocation allocation = process.allocation(engine);
                    sessionsByTenant.forEach(
                            (tenant, sessions) -> allocation.tenant(tenant).setGranted(sessions));
                    allocation.recordSum(process.grantVersion(), request.sums.get(name));
                    if (disabledSafeguards.contains(
                            Safeguard.LOWERED_GRANT_COUNTS_UNTIL_ACKNOWLEDGED)) {
                        allocation.acknowledge(process.grantVersion());
                    }
                });
    }
}
