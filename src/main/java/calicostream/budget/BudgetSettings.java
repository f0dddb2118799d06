// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What operators set; immutable, the same at every process, checked when it is made. Sessions are
 * whole numbers.
 *
 * @param pools the kinds or tiers of engines; each engine belongs to one
 * @param tenants who shares the engines
 * @param processes by name: those that have a floor at every engine, whether they run or not
 * @param ttlNanos for how long the leader counts a grant that is not renewed
 * @param driftPpm bound on how much any two clocks differ in a second, in millionths
 * @param inHand most sessions a process may have sent to one engine without the engine's word that
 *     it has them
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

    private static final int MOST = 1_000_000;

    /**
     * @param floor sessions that each named process may always use at each engine of the pool
     * @param cap of the pool's sessions together; what the engines' caps sum up to if that is less
     */
    public record Pool(String name, int floor, int cap) {}

    /**
     * @param shares by the pool's name or {@link #FLEET}; none is no guarantee and no ceiling
     */
    public record Tenant(String name, int weight, Map<String, Quota> quotas) {
        public Tenant {
            quotas = Map.copyOf(quotas);
        }

        /** Sessions guaranteed and sessions at most, in one pool or in all. */
        public Quota quota(String pool) {
            return quotas.getOrDefault(pool, Quota.NONE);
        }
    }

    /**
     * @param ceiling sessions at most
     */
    public record Quota(int guarantee, int ceiling) {
        static final Quota NONE = new Quota(0, MOST);
    }

    public BudgetSettings {
        pools = List.copyOf(pools);
        tenants = List.copyOf(tenants);
        processes = List.copyOf(processes);
        Set<String> names = new HashSet<>();
        for (Pool pool : pools) {
            need(
                    names.add(pool.name()) && !pool.name().equals(ALL_POOLS),
                    "pools." + pool.name(),
                    "the name is taken");
            need(
                    pool.floor() >= 0 && pool.floor() <= MOST,
                    "pools." + pool.name() + ".floor",
                    "not in 0.." + MOST);
            need(
                    pool.cap() >= 0 && pool.cap() <= MOST,
                    "pools." + pool.name() + ".cap",
                    "not in 0.." + MOST);
            long guaranteed =
                    tenants.stream().mapToLong(each -> each.quota(pool.name()).guarantee()).sum();
            need(
                    guaranteed <= pool.cap(),
                    "pools." + pool.name() + ".cap",
                    "tenants are guaranteed " + guaranteed);
        }
        names.add(ALL_POOLS);
        Set<String> seen = new HashSet<>();
        for (Tenant tenant : tenants) {
            String key = "tenants." + tenant.name();
            need(seen.add(tenant.name()), key, "the name is taken");
            need(
                    tenant.weight() > 0 && tenant.weight() <= MOST,
                    key + ".weight",
                    "not in 1.." + MOST);
            tenant.quotas()
                    .forEach(
                            (pool, share) -> {
                                need(names.contains(pool), key + "." + pool, "no such pool");
                                need(
                                        share.guarantee() >= 0
                                                && share.guarantee() <= share.ceiling()
                                                && share.ceiling() <= MOST,
                                        key + "." + pool,
                                        "guarantee "
                                                + share.guarantee()
                                                + " and ceiling "
                                                + share.ceiling()
                                                + " are not in order");
                                need(
                                        share.guarantee() <= tenant.quota(ALL_POOLS).ceiling(),
                                        key + "." + pool + ".guarantee",
                                        "over the ceiling of all pools");
                            });
        }
        need(
                new HashSet<>(processes).size() == processes.size(),
                "processes",
                "a name comes twice");
        need(ttlNanos >= 1_000_000, "ttl", "under 1 ms");
        need(driftPpm >= 0 && driftPpm < 100_000, "drift_ppm", "not in 0..100000");
        need(maxUnacknowledged > 0, "in_hand", "not over 0");
    }

    private static void need(boolean holds, String key, String why) {
        if (!holds) {
            throw new BudgetException.BadSetting(key, why);
        }
    }

    /**
     * For how long a process may use what it was granted, counted on its own clock from before it
     * asked.
     */
    public long usableNanos() {
        return ttlNanos - ttlNanos / 1_000_000 * (2L * driftPpm + 1) - 2L * driftPpm - 2;
    }

    /** The floor of a process at an engine of that pool. */
    int floor(String process, String pool) {
        return processes.contains(process) ? pool(pool).floor() : 0;
    }

    Pool pool(String name) {
        return pools.stream()
                .filter(each -> each.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new BudgetException.Unknown("pool", name));
    }

    int tenantIndex(String name) {
        for (int i = 0; i < tenants.size(); i++) {
            if (tenants.get(i).name().equals(name)) {
                return i;
            }
        }
        throw new BudgetException.Unknown("tenant", name);
    }
}
