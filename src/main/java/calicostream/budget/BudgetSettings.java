// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The settings of grant allocation. Immutable, validated when constructed, and the same at every
 * process.
 *
 * @param pools groups of engines of the same kind or tier; each engine belongs to one
 * @param tenants the tenants that share the engines
 * @param processes names of the processes that have a floor at every engine, whether they run or
 *     not
 * @param ttlNanos lease time: the leader expires grants that are not renewed for this long
 * @param driftPpm bound on the drift between any two clocks, in parts per million
 * @param maxUnacknowledged maximum number of sessions that a process has sent to one engine and
 *     that the engine has not acknowledged
 */
public record BudgetSettings(
        List<Pool> pools,
        List<Tenant> tenants,
        List<String> processes,
        long ttlNanos,
        int driftPpm,
        int maxUnacknowledged) {
    /** Stands for all pools together where a pool's name is expected. */
    public static final String ALL_POOLS = "*";

    private static final int MAX_VALUE = 1_000_000;
    private static final long MIN_TTL_NANOS = 1_000_000;
    private static final int DRIFT_PPM_LIMIT = 100_000;
    private static final int PARTS_PER_MILLION = 1_000_000;

    /**
     * A pool of engines.
     *
     * @param floor sessions that each configured process may always use at each engine of the pool,
     *     even without grants
     * @param cap maximum sessions in the whole pool; the sum of the engines' caps applies if lower
     */
    public record Pool(String name, int floor, int cap) {}

    /**
     * A tenant.
     *
     * @param quotas by pool name or {@link #ALL_POOLS}; without an entry there is no guarantee and
     *     no ceiling
     */
    public record Tenant(String name, int weight, Map<String, Quota> quotas) {
        /** Copies the map. */
        public Tenant {
            quotas = Map.copyOf(quotas);
        }

        /** The quota in one pool or, for {@link #ALL_POOLS}, in all pools together. */
        public Quota quota(String pool) {
            return quotas.getOrDefault(pool, Quota.UNLIMITED);
        }
    }

    /**
     * The bounds of a tenant's sessions.
     *
     * @param guarantee sessions that the tenant gets before others if it demands them
     * @param ceiling maximum number of sessions
     */
    public record Quota(int guarantee, int ceiling) {
        static final Quota UNLIMITED = new Quota(0, MAX_VALUE);
    }

    /**
     * Validates the settings.
     *
     * @throws BudgetException.InvalidSetting if a setting is out of range or contradicts another
     *     one
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
                "a name is listed twice");
        require(ttlNanos >= MIN_TTL_NANOS, "ttl", "must be at least 1 ms");
        require(
                driftPpm >= 0 && driftPpm < DRIFT_PPM_LIMIT,
                "drift_ppm",
                "not in 0.." + DRIFT_PPM_LIMIT);
        require(maxUnacknowledged > 0, "in_hand", "must be greater than 0");
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
                    tenants.stream()
                            .mapToLong(tenant -> tenant.quota(pool.name()).guarantee())
                            .sum();
            require(
                    guaranteed <= pool.cap(),
                    key + ".cap",
                    "less than the sum of the tenants' guarantees, " + guaranteed);
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
                        + " must satisfy 0 <= guarantee <= ceiling");
        require(
                quota.guarantee() <= tenant.quota(ALL_POOLS).ceiling(),
                key + ".guarantee",
                "exceeds the tenant's ceiling for all pools");
    }

    private static void require(boolean isValid, String key, String reason) {
        if (!isValid) {
            throw new BudgetException.InvalidSetting(key, reason);
        }
    }

    /**
     * How long a process may use its grants after it has made the report that renewed them, on its
     * own clock. Shorter than the lease time at the leader by the largest drift between two clocks,
     * so that the process stops first.
     */
    public long usableNanos() {
        return ttlNanos - ttlNanos / PARTS_PER_MILLION * (2L * driftPpm + 1) - 2L * driftPpm - 2;
    }

    /** The floor of a process at an engine of that pool. */
    int floor(String process, String pool) {
        return processes.contains(process) ? pool(pool).floor() : 0;
    }

    /**
     * The pool of that name.
     *
     * @throws BudgetException.UnknownName if there is none
     */
    Pool pool(String name) {
        return pools.stream()
                .filter(pool -> pool.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new BudgetException.UnknownName("pool", name));
    }

    /**
     * The index of the tenant of that name.
     *
     * @throws BudgetException.UnknownName if there is none
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
