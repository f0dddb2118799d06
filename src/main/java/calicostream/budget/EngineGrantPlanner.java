// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayList;
import java.util.List;

/**
 * Distributes one engine's fair allocation among processes, and plans the next changes from the
 * current grants towards it. For a single use; not thread-safe.
 */
final class EngineGrantPlanner {
    private final BudgetSettings settings;
    private final GrantLedger ledger;
    private final String engineName;
    private final EngineEntry engine;
    private final int[] fairSessions;
    private final List<ProcessPlan> plans = new ArrayList<>();

    /**
     * Creates a planner for an engine of the ledger.
     *
     * @param fairSessions the engine's fair allocation: sessions by tenant
     */
    EngineGrantPlanner(
            BudgetSettings settings, GrantLedger ledger, String engineName, int[] fairSessions) {
        this.settings = settings;
        this.ledger = ledger;
        this.engineName = engineName;
        this.engine = ledger.engines().get(engineName);
        this.fairSessions = fairSessions.clone();
        for (ProcessEntry process : ledger.processes().values()) {
            EngineAllocation allocation = process.allocations().get(engineName);
            if (process.isActive() && allocation != null) {
                plans.add(new ProcessPlan(process, allocation));
            }
        }
    }

    /** One process's grants at the engine: current, target, and after the next change. */
    private final class ProcessPlan {
        private final ProcessEntry process;
        private final EngineAllocation allocation;
        private final int floor;
        private final int grantedSum;
        private final int maxInUse;

        // By tenant.
        private final int[] demand = new int[fairSessions.length];
        private final int[] granted = new int[fairSessions.length];
        private final int[] target = new int[fairSessions.length];
        private final int[] planned = new int[fairSessions.length];

        private int targetSum;
        private int plannedSum;

        private ProcessPlan(ProcessEntry process, EngineAllocation allocation) {
            this.process = process;
            this.allocation = allocation;
            floor = ledger.floor(process.name(), engineName);
            grantedSum = allocation.granted();
            maxInUse = Math.max(allocation.maxUsableSum(), allocation.inUse());
            allocation
                    .tenants()
                    .forEach(
                            (name, tenant) -> {
                                int index = settings.tenantIndex(name);
                                demand[index] = tenant.demand();
                                granted[index] = tenant.granted();
                            });
        }

        /** Whether the tenant's next session goes to this process and not to the other one. */
        private boolean hasPriorityOver(ProcessPlan other, int tenant) {
            boolean isBelowFloor = targetSum < floor;
            if (isBelowFloor != other.targetSum < other.floor) {
                return isBelowFloor;
            }
            return (2L * target[tenant] + 1) * other.demand[tenant]
                    < (2L * other.target[tenant] + 1) * demand[tenant];
        }

        /**
         * How much of the cap one more session uses: 0 if it is within the floor, or within the
         * sessions that may be in use anyway.
         */
        private int costOfNextSession() {
            int orphaned = allocation.orphaned();
            return Math.max(floor, orphaned + Math.max(maxInUse, plannedSum + 1))
                    - Math.max(floor, orphaned + Math.max(maxInUse, plannedSum));
        }

        private void addChanges(List<BudgetCommand.Grant> changes) {
            for (int tenant = 0; tenant < fairSessions.length; tenant++) {
                if (planned[tenant] != granted[tenant]) {
                    changes.add(
                            new BudgetCommand.Grant(
                                    process.name(),
                                    process.session(),
                                    engineName,
                                    engine.incarnation(),
                                    settings.tenants().get(tenant).name(),
                                    planned[tenant]));
                }
            }
        }
    }

    /** One more session for a tenant in a process. */
    private record GrantIncrement(ProcessPlan plan, int tenant) {}

    /** Plans the grants to change now. */
    List<BudgetCommand.Grant> changes() {
        computeTargets();
        int[] plannedByTenant = lowerGrants();
        raiseGrants(plannedByTenant);
        List<BudgetCommand.Grant> changes = new ArrayList<>();
        plans.forEach(plan -> plan.addChanges(changes));
        return changes;
    }

    /**
     * Sets the targets one session at a time, keeping the placed fraction of all tenants equal.
     * Processes below their floors come first, since the floor is reserved for them in any case;
     * the others follow in proportion to their demand.
     */
    private void computeTargets() {
        int[] placed = new int[fairSessions.length];
        for (int tenant = leastPlacedTenant(placed);
                tenant >= 0;
                tenant = leastPlacedTenant(placed)) {
            ProcessPlan best = null;
            for (ProcessPlan plan : plans) {
                if (plan.target[tenant] < plan.demand[tenant]
                        && (best == null || plan.hasPriorityOver(best, tenant))) {
                    best = plan;
                }
            }
            if (best == null) {
                fairSessions[tenant] = placed[tenant];
            } else {
                best.target[tenant]++;
                best.targetSum++;
                placed[tenant]++;
            }
        }
    }

    /** The tenant with the smallest placed fraction of its sessions; -1 if all are placed. */
    private int leastPlacedTenant(int[] placed) {
        int leastPlaced = -1;
        for (int tenant = 0; tenant < fairSessions.length; tenant++) {
            if (placed[tenant] < fairSessions[tenant]
                    && (leastPlaced < 0
                            || (long) placed[tenant] * fairSessions[leastPlaced]
                                    < (long) placed[leastPlaced] * fairSessions[tenant])) {
                leastPlaced = tenant;
            }
        }
        return leastPlaced;
    }

    /**
     * Plans the lowered grants, which need no free capacity.
     *
     * @return sessions by tenant after the lowered grants
     */
    private int[] lowerGrants() {
        int[] plannedByTenant = new int[fairSessions.length];
        for (ProcessPlan plan : plans) {
            for (int tenant = 0; tenant < fairSessions.length; tenant++) {
                plan.planned[tenant] = Math.min(plan.granted[tenant], plan.target[tenant]);
                plan.plannedSum += plan.planned[tenant];
                plannedByTenant[tenant] += plan.planned[tenant];
            }
        }
        return plannedByTenant;
    }

    /**
     * Plans the raised grants as far as there is free capacity, the tenant with the fewest sessions
     * relative to its weight first.
     */
    private void raiseGrants(int[] plannedByTenant) {
        int freeCapacity = engine.isCapLowered() ? 0 : engine.cap() - ledger.committed(engineName);
        for (GrantIncrement increment = nextIncrement(plannedByTenant, freeCapacity);
                increment != null;
                increment = nextIncrement(plannedByTenant, freeCapacity)) {
            freeCapacity -= increment.plan.costOfNextSession();
            increment.plan.plannedSum++;
            increment.plan.planned[increment.tenant]++;
            plannedByTenant[increment.tenant]++;
        }
    }

    private GrantIncrement nextIncrement(int[] plannedByTenant, int freeCapacity) {
        GrantIncrement best = null;
        for (ProcessPlan plan : plans) {
            boolean isRaised = plan.plannedSum >= plan.grantedSum;
            if (plan.costOfNextSession() > freeCapacity || isRaised && engine.isCapLowered()) {
                continue;
            }
            for (int tenant = 0; tenant < fairSessions.length; tenant++) {
                if (plan.planned[tenant] < plan.target[tenant]
                        && (best == null
                                || hasFewerSessionsForWeight(
                                        plannedByTenant, tenant, best.tenant))) {
                    best = new GrantIncrement(plan, tenant);
                }
            }
        }
        return best;
    }

    private boolean hasFewerSessionsForWeight(int[] sessions, int tenant, int other) {
        return (long) sessions[tenant] * settings.tenants().get(other).weight()
                < (long) sessions[other] * settings.tenants().get(tenant).weight();
    }
}
