// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The settings that grants are decided by; immutable, the same at every process, validated when
 * constructed. Sessions are whole numbers.
 *
 * @param pools the kinds or tiers of engines; each engine belongs to one
 * @param tenants who shares the engines
 * @param processes by name: those that have a floor at every engine, whether they run or not
 * @param ttlNanos for how long the leader counts a grant that is not renewed
 * @param driftPpm bound on how much any two clocks differ in a second, in millionths
 * @param maxUnacknowledged most sessions a process may have sent to one engine without the engine's
 *     acknowledgement
 */
public record BudgetSettings(
        List<Pool> pools,
        List<Tenant> tenants,
        List<String> processes,
        long ttlNanos,
        int driftPpm,
        int maxUnacknowledged) {
    /** In place of a pool's name: all pools together. */
    public static final String ALL_POOLS = "*";

    private static final int MAX_VALUE = 1_000_000;
    private static final long MIN_TTL_NANOS = 1_000_000;
    private static final int DRIFT_PPM_LIMIT = 100_000;
    private static final int PPM = 1_000_000;

    /**
     * A pool of engines.
     *
     * @param floor sessions that each named process may always use at each engine of the pool
     * @param cap of the pool's sessions together; the sum of the engines' caps applies if it is
     *     lower
     */
    public record Pool(String name, int floor, int cap) {}

    /**
     * A tenant.
     *
     * @param quotas by the pool's name or {@link #ALL_POOLS}; none is no guarantee and no ceiling
     */
    public record Tenant(String name, int weight, Map<String, Quota> quotas) {
        /** Copies the map. */
        public Tenant {
            quotas = Map.copyOf(quotas);
        }

        /** The quota in one pool or, for {@link #ALL_POOLS}, in all together. */
        public Quota quota(String pool) {
            return quotas.getOrDefault(pool, Quota.UNLIMITED);
        }
    }

    /**
     * The bounds of a tenant's sessions.
     *
     * @param guarantee sessions that the tenant has whenever it demands them
     * @param ceiling the most sessions it may have
     */
    public record Quota(int guarantee, int ceiling) {
        static final Quota UNLIMITED = new Quota(0, MAX_VALUE);
    }

    /**
     * Validates the settings.
     *
     * @throws BudgetException.BadSetting if a setting is out of range or contradicts another one
     */
    public BudgetSettings {
        pools = List.copyOf(pools);
        tenants = List.copyOf(tenants);
        processes = List.copyOf(processes);
        validatePools(pools, tenants);
        validateTenants(pools, tenants);
        require(
                new HashSet<>(processes).size() == processes.size(),
                "processes",
                "a name comes twice");
        require(ttlNanos >= MIN_TTL_NANOS, "ttl", "under 1 ms");
        require(
                driftPpm >= 0 && driftPpm < DRIFT_PPM_LIMIT,
                "drift_ppm",
                "not in 0.." + DRIFT_PPM_LIMIT);
        require(maxUnacknowledged > 0, "in_hand", "not over 0");
    }

    private static void validatePools(List<Pool> pools, List<Tenant> tenants) {
        Set<String> names = new HashSet<>();
        for (Pool pool : pools) {
            String key = "pools." + pool.name();
            require(
                    names.add(pool.name()) && !pool.name().equals(ALL_POOLS),
                    key,
                    "the name is taken");
            require(
                    pool.floor() >= 0 && pool.floor() <= MAX_VALUE,
                    key + ".floor",
                    "not in 0.." + MAX_VALUE);
            require(
                    pool.cap() >= 0 && pool.cap() <= MAX_VALUE,
                    key + ".cap",
                    "not in 0.." + MAX_VALUE);
            long guaranteed =
                    tenants.stream().mapToLong(each -> each.quota(pool.name()).guarantee()).sum();
            require(guaranteed <= pool.cap(), key + ".cap", "tenants are guaranteed " + guaranteed);
        }
    }

    private static void validateTenants(List<Pool> pools, List<Tenant> tenants) {
        Set<String> poolNames = new HashSet<>();
        pools.forEach(pool -> poolNames.add(pool.name()));
        poolNames.add(ALL_POOLS);
        Set<String> names = new HashSet<>();
        for (Tenant tenant : tenants) {
            String key = "tenants." + tenant.name();
            require(names.add(tenant.name()), key, "the name is taken");
            require(
                    tenant.weight() > 0 && tenant.weight() <= MAX_VALUE,
                    key + ".weight",
                    "not in 1.." + MAX_VALUE);
            tenant.quotas()
                    .forEach(
                            (pool, quota) -> {
                                require(poolNames.contains(pool), key + "." + pool, "no such pool");
                                validateQuota(key + "." + pool, quota, tenant);
                            });
        }
    }

    private static void validateQuota(String key, Quota quota, Tenant tenant) {
        require(
                quota.guarantee() >= 0
                        && quota.guarantee() <= quota.ceiling()
                        && quota.ceiling() <= MAX_VALUE,
                key,
                "guarantee "
                        + quota.guarantee()
                        + " and ceiling "
                        + quota.ceiling()
                        + " are not in order");
        require(
                quota.guarantee() <= tenant.quota(ALL_POOLS).ceiling(),
                key + ".guarantee",
                "over the ceiling of all pools");
    }

    private static void require(boolean holds, String key, String reason) {
        if (!holds) {
            throw new BudgetException.InvalidSetting(key, reason);
        }
    }

    /**
     * For how long a process may use what it was granted, counted on its own clock from before it
     * asked: shorter than the leader's time by what two clocks can differ.
     */
    public long usableNanos() {
        return ttlNanos - ttlNanos / PPM * (2L * driftPpm + 1) - 2L * driftPpm - 2;
    }

    /** The floor of a process at an engine of that pool. */
    int floor(String process, String pool) {
        return processes.contains(process) ? pool(pool).floor() : 0;
    }

    /**
     * The pool of that name.
     *
     * @throws BudgetException.Unknown if there is none
     */
    Pool pool(String name) {
        return pools.stream()
                .filter(each -> each.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new BudgetException.UnknownName("pool", name));
    }

    /**
     * The index of the tenant of that name.
     *
     * @throws BudgetException.Unknown if there is none
     */
    int tenantIndex(String name) {
        for (int tenant = 0; tenant < tenants.size(); tenant++) {
            if (tenants.get(tenant).name().equals(name)) {
                return tenant;
            }
        }
        throw new BudgetException.UnknownName("tenant", name);
    }
}
