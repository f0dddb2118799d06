// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.config;

import calicostream.budget.BudgetSettings;
import calicostream.budget.BudgetSettings.Pool;
import calicostream.budget.TenantRules;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The settings of session budgets; {@code docs/operate/cluster-settings.md} has every key.
 * Immutable and consistent.
 *
 * @param settings of the allocation, the same at all members
 * @param tenants rules that determine a request's tenant
 * @param enginePools settings of the engines, by the name of their pool
 * @param maxQueuedPerTenant requests of one tenant that may be queued
 * @param maxQueueDelay after which a queued request is rejected
 */
public record BudgetConfig(
        BudgetSettings settings,
        TenantRules tenants,
        Map<String, EnginePool> enginePools,
        int maxQueuedPerTenant,
        Duration maxQueueDelay) {
    /**
     * The engines of a pool.
     *
     * @param kinds numbers of the engine kinds; empty for the pool of all other kinds
     * @param engineCap sessions that each engine of the pool runs at once
     */
    public record EnginePool(Set<Integer> kinds, int engineCap) {
        /** Copies the set. */
        public EnginePool {
            kinds = Set.copyOf(kinds);
        }
    }

    /** Copies the map. */
    public BudgetConfig {
        enginePools = Map.copyOf(enginePools);
    }

    /**
     * The pool of engines of this kind; empty if there is none, so that their sessions are not
     * counted.
     */
    public Optional<String> poolOfEngineKind(int kind) {
        return findPool(pool -> pool.kinds.contains(kind))
                .or(() -> findPool(pool -> pool.kinds.isEmpty()));
    }

    private Optional<String> findPool(Predicate<EnginePool> condition) {
        return settings.pools().stream()
                .map(Pool::name)
                .filter(name -> condition.test(enginePools.get(name)))
                .findFirst();
    }
}
