// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayList;
import java.util.List;

/**
 * Distributes one engine's fair allocation among processes, and plans the changes of grants that
 * lead there from what is granted now. Used once; not thread-safe.
 */
final class EngineGrantPlanner {
    private final BudgetSettings settings;
    private final GrantLedger ledger;
    private final String engineName;
    private final EngineEntry engine;
    private final int[] fair;
    private final List<ProcessPlan> plans = new ArrayList<>();

    /**
     * A plan for an engine of the ledger.
     *
     * @param fair sessions by tenant
     */
    EngineGrantPlanner(BudgetSettings settings, GrantLedger ledger, String engineName, int[] fair) {
        this.settings = settings;
        this.ledger = ledger;
        this.engineName = engineName;
        this.engine = ledger.engines().get(engineName);
        this.fair = fair.clone();
        for (ProcessEntry process : ledger.processes().values()) {
            EngineAllocation allocation = process.allocations().get(engineName);
            if (process.isActive() && allocation != null) {
                plans.add(new ProcessPlan(process, allocation));
            }
        }
    }

    /** One process's grants at the engine: as they are, as they shall be, and the next step. */
    private final class ProcessPlan {
        private final ProcessEntry process;
        private final EngineAllocation allocation;
        private final int floor;
        private final int grantedSum;
        private final int maxInUse;

        // By tenant.
        private final int[] demand = new int[fair.length];
        private final int[] granted = new int[fair.length];
        private final int[] target = new int[fair.length];
        private final int[] next = new int[fair.length];

        private int targetSum;
        private int nextSum;

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

        /** Whether the tenant's next session goes to this process rather than to the other one. */
        private boolean isBefore(ProcessPlan other, int tenant) {
            boolean isBelowFloor = targetSum < floor;
            if (isBelowFloor != other.targetSum < other.floor) {
                return isBelowFloor;
            }
            return (2L * target[tenant] + 1) * other.demand[tenant]
                    < (2L * other.target[tenant] + 1) * demand[tenant];
        }

        /**
         * What one session more costs of the cap: nothing below the floor or below what may be in
         * use anyway.
         */
        private int costOfNextSession() {
            int orphaned = allocation.orphaned();
            return Math.max(floor, orphaned + Math.max(maxInUse, nextSum + 1))
                    - Math.max(floor, orphaned + Math.max(maxInUse, nextSum));
        }

        private void addChanges(List<BudgetCommand.Grant> changes) {
            for (int tenant = 0; tenant < fair.length; tenant++) {
                if (next[tenant] != granted[tenant]) {
                    changes.add(
                            new BudgetCommand.Grant(
                                    process.name(),
                                    process.session(),
                                    engineName,
                                    engine.incarnation(),
                                    settings.tenants().get(tenant).name(),
                                    next[tenant]));
                }
            }
        }
    }

    /** One session more for a tenant in a process. */
    private record Raise(ProcessPlan plan, int tenant) {}

    /** The grants to change now. */
    List<BudgetCommand.Grant> changes() {
        distribute();
        int[] nextByTenant = lowerGrants();
        raiseGrants(nextByTenant);
        List<BudgetCommand.Grant> changes = new ArrayList<>();
        plans.forEach(plan -> plan.addChanges(changes));
        return changes;
    }

    /**
     * Sets the targets, session by session with all tenants in step: first for processes below
     * their floors, which are set aside anyway, then by demand.
     */
    private void distribute() {
        int[] placed = new int[fair.length];
        for (int tenant = leastPlaced(placed); tenant >= 0; tenant = leastPlaced(placed)) {
            ProcessPlan best = null;
            for (ProcessPlan plan : plans) {
                if (plan.target[tenant] < plan.demand[tenant]
                        && (best == null || plan.isBefore(best, tenant))) {
                    best = plan;
                }
            }
            if (best == null) {
                fair[tenant] = placed[tenant];
            } else {
                best.target[tenant]++;
                best.targetSum++;
                placed[tenant]++;
            }
        }
    }

    /** The tenant with the smallest part of its sessions placed; -1 if all are. */
    private int leastPlaced(int[] placed) {
        int least = -1;
        for (int tenant = 0; tenant < fair.length; tenant++) {
            if (placed[tenant] < fair[tenant]
                    && (least < 0
                            || (long) placed[tenant] * fair[least]
                                    < (long) placed[least] * fair[tenant])) {
                least = tenant;
            }
        }
        return least;
    }

    /**
     * Plans the lowered grants, which take effect at once.
     *
     * @return sessions that each tenant then has
     */
    private int[] lowerGrants() {
        int[] nextByTenant = new int[fair.length];
        for (ProcessPlan plan : plans) {
            for (int tenant = 0; tenant < fair.length; tenant++) {
                plan.next[tenant] = Math.min(plan.granted[tenant], plan.target[tenant]);
                plan.nextSum += plan.next[tenant];
                nextByTenant[tenant] += plan.next[tenant];
            }
        }
        return nextByTenant;
    }

    /**
     * Plans the raised grants as far as capacity is free; who has least for its weight is first.
     */
    private void raiseGrants(int[] nextByTenant) {
        int free = engine.isCapLowered() ? 0 : engine.cap() - ledger.committed(engineName);
        for (Raise raise = nextRaise(nextByTenant, free);
                raise != null;
                raise = nextRaise(nextByTenant, free)) {
            free -= raise.plan.costOfNextSession();
            raise.plan.nextSum++;
            raise.plan.next[raise.tenant]++;
            nextByTenant[raise.tenant]++;
        }
    }

    private Raise nextRaise(int[] nextByTenant, int free) {
        Raise best = null;
        for (ProcessPlan plan : plans) {
            boolean isRaised = plan.nextSum >= plan.grantedSum;
            if (plan.costOfNextSession() > free || isRaised && engine.isCapLowered()) {
                continue;
            }
            for (int tenant = 0; tenant < fair.length; tenant++) {
                if (plan.next[tenant] < plan.target[tenant]
                        && (best == null
                                || hasLessForItsWeight(nextByTenant, tenant, best.tenant))) {
                    best = new Raise(plan, tenant);
                }
            }
        }
        return best;
    }

    private boolean hasLessForItsWeight(int[] sessions, int tenant, int other) {
        return (long) sessions[tenant] * settings.tenants().get(other).weight()
                < (long) sessions[other] * settings.tenants().get(tenant).weight();
    }
}
