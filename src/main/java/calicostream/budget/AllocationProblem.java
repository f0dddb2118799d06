// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import calicostream.budget.MaxMinFairAllocator.Problem;
import calicostream.budget.MaxMinFairAllocator.TenantClaim;
import java.util.ArrayList;
import java.util.List;

/**
 * Builds the input of the {@link MaxMinFairAllocator} from the settings and the ledger. Stateless.
 */
final class AllocationProblem {
    private AllocationProblem() {}

    /**
     * Builds the problem for the current state of the ledger.
     *
     * @param engines names of the ledger's engines, in the order of the problem's arrays
     */
    static Problem fromLedger(BudgetSettings settings, GrantLedger ledger, List<String> engines) {
        int[] caps = new int[engines.size()];
        int[] poolByEngine = new int[engines.size()];
        int[][] demand = new int[settings.tenants().size()][engines.size()];
        for (int engine = 0; engine < caps.length; engine++) {
            String name = engines.get(engine);
            String pool = ledger.engines().get(name).pool();
            poolByEngine[engine] = settings.pools().indexOf(settings.pool(pool));
            caps[engine] = grantableSessions(ledger, name);
            addDemand(settings, ledger, name, demand, engine);
        }
        int[] poolCaps = settings.pools().stream().mapToInt(BudgetSettings.Pool::cap).toArray();
        List<TenantClaim> claims = new ArrayList<>();
        for (int tenant = 0; tenant < demand.length; tenant++) {
            claims.add(claim(settings, tenant, demand[tenant]));
        }
        return new Problem(caps, poolByEngine, poolCaps, claims);
    }

    /** A tenant's weight, guarantees and ceilings from the settings, with its demand by engine. */
    static TenantClaim claim(BudgetSettings settings, int tenantIndex, int[] demand) {
        BudgetSettings.Tenant tenant = settings.tenants().get(tenantIndex);
        int[] poolGuarantees = new int[settings.pools().size()];
        int[] poolCeilings = new int[poolGuarantees.length];
        for (int pool = 0; pool < poolGuarantees.length; pool++) {
            BudgetSettings.Quota quota = tenant.quota(settings.pools().get(pool).name());
            poolGuarantees[pool] = quota.guarantee();
            poolCeilings[pool] = quota.ceiling();
        }
        BudgetSettings.Quota overall = tenant.quota(BudgetSettings.ALL_POOLS);
        return new TenantClaim(
                tenant.weight(),
                demand,
                poolGuarantees,
                poolCeilings,
                overall.guarantee(),
                overall.ceiling());
    }

    /**
     * The part of the engine's cap that can be granted. The rest is reserved for floors that exceed
     * the demand and for sessions that inactive processes may have in use.
     */
    private static int grantableSessions(GrantLedger ledger, String engineName) {
        EngineEntry engine = ledger.engines().get(engineName);
        int grantable = Math.min(engine.cap(), engine.requestedCap());
        for (ProcessEntry process : ledger.processes().values()) {
            int floor = ledger.floor(process.name(), engineName);
            EngineAllocation allocation = process.allocations().get(engineName);
            if (allocation == null) {
                grantable -= floor;
            } else if (!process.isActive()) {
                grantable -= allocation.committed(floor);
            } else {
                grantable -= Math.max(floor - totalDemand(allocation), allocation.orphaned());
            }
        }
        return Math.max(0, grantable);
    }

    private static int totalDemand(EngineAllocation allocation) {
        return allocation.tenants().values().stream().mapToInt(TenantAllocation::demand).sum();
    }

    private static void addDemand(
            BudgetSettings settings,
            GrantLedger ledger,
            String engineName,
            int[][] demand,
            int engine) {
        for (ProcessEntry process : ledger.processes().values()) {
            EngineAllocation allocation = process.allocations().get(engineName);
            if (allocation != null && process.isActive()) {
                allocation
                        .tenants()
                        .forEach(
                                (tenant, tenantAllocation) ->
                                        demand[settings.tenantIndex(tenant)][engine] +=
                                                tenantAllocation.demand());
            }
        }
    }
}
