// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.config;

import calicostream.budget.AddressRange;
import calicostream.budget.BudgetException;
import calicostream.budget.BudgetSettings;
import calicostream.budget.BudgetSettings.Pool;
import calicostream.budget.BudgetSettings.Quota;
import calicostream.budget.BudgetSettings.Tenant;
import calicostream.budget.TenantRules;
import calicostream.budget.TenantRules.TenantMatchers;
import calicostream.cluster.config.ClusterConfigException.Code;
import calicostream.cluster.config.SettingsFile.Section;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Session budgets as the file has them; {@code docs/operate/cluster-settings.md} has every key.
 * Immutable, and possible as a whole.
 *
 * @param settings what the fleet decides by, the same at all members
 * @param tenants how a request's tenant is known
 * @param engines what is set of the engines, by pool
 * @param queue requests of one tenant that wait at most
 * @param patience for which a request waits for room before it is refused
 */
public record BudgetConfig(
        BudgetSettings settings,
        TenantRules tenants,
        Map<String, EnginePool> enginePools,
        int maxQueuedPerTenant,
        Duration maxQueueDelay) {
    private static final int MOST = 1_000_000;
    private static final int NO_CAP = MOST;

    /**
     * @param kinds the engines' kinds by number; none for the pool that has all the other kinds
     * @param cap sessions that each engine of the pool runs at once
     */
    public record EnginePool(Set<Integer> kinds, int engineCap) {
        public EnginePool {
            kinds = Set.copyOf(kinds);
        }
    }

    public BudgetConfig {
        enginePools = Map.copyOf(enginePools);
    }

    /**
     * The pool of an engine of this kind; empty where no pool has it, and its sessions are not
     * counted.
     */
    public Optional<String> poolOfEngineKind(int kind) {
        return settings.pools().stream()
                .map(Pool::name)
                .filter(name -> enginePools.get(name).kinds.contains(kind))
                .findFirst()
                .or(
                        () ->
                                settings.pools().stream()
                                        .map(Pool::name)
                                        .filter(name -> enginePools.get(name).kinds.isEmpty())
                                        .findFirst());
    }

    /** Empty where the file has no {@code [budget]}. */
    static Optional<BudgetConfig> of(SettingsFile file, int driftPpm, Duration changeOfLeader) {
        if (!file.top().has("budget")) {
            return Optional.empty();
        }
        Section budget = file.section("budget");
        Duration ttl = budget.duration("ttl", "5s", "100ms", "1h");
        if (ttl.compareTo(changeOfLeader) <= 0) {
            throw budget.error(
                    Code.IMPOSSIBLE,
                    "ttl",
                    "grants must outlast a change of leader, which takes "
                            + Units.DURATION.text(changeOfLeader.toNanos())
                            + " by raft.heartbeat, raft.missed and raft.election");
        }
        List<String> processes = budget.texts("processes");
        processes.forEach(name -> ClusterConfig.name(budget, "processes", name));
        Map<String, EnginePool> engines = new HashMap<>();
        List<Pool> pools = pools(file.section("pools"), processes.size(), engines);
        if (pools.isEmpty()) {
            throw file.top()
                    .error(
                            Code.MISSING_KEY,
                            "pools",
                            "a budget needs one pool at least, such as [pools.all]");
        }
        Section section = file.section("tenants");
        Map<String, TenantMatchers> known = new HashMap<>();
        List<Tenant> tenants = tenants(section, pools, known);
        String without = budget.text("default");
        if (!known.containsKey(without)) {
            throw budget.error(
                    Code.IMPOSSIBLE,
                    "default",
                    "'"
                            + without
                            + "' is none of the tenants "
                            + String.join(", ", section.names()));
        }
        guaranteesFit(file.section("pools"), pools, tenants);
        BudgetSettings settings =
                new BudgetSettings(
                        pools,
                        tenants,
                        processes,
                        ttl.toNanos(),
                        driftPpm,
                        budget.count("in_hand", 8, 1, 10_000));
        return Optional.of(
                new BudgetConfig(
                        settings,
                        rules(section, settings, known, without),
                        engines,
                        budget.count("queue", 1000, 1, MOST),
                        budget.duration("patience", "300ms", "1ms", "1h")));
    }

    private static List<Pool> pools(
            Section section, int processes, Map<String, EnginePool> engines) {
        List<Pool> out = new ArrayList<>();
        Map<Integer, String> kinds = new HashMap<>();
        for (String name : section.names()) {
            Section each = section.section(ClusterConfig.name(section, name, name));
            Pool pool =
                    new Pool(
                            name,
                            each.count("floor", 0, 0, MOST),
                            each.count("cap", NO_CAP, 0, MOST));
            EnginePool of =
                    new EnginePool(
                            Set.copyOf(each.counts("kinds", 1 << 16)),
                            each.count("engine_cap", null, 1, MOST));
            long floors = (long) pool.floor() * processes;
            if (floors > of.engineCap) {
                throw each.error(
                        Code.IMPOSSIBLE,
                        "engine_cap",
                        of.engineCap
                                + " is less than the floors of "
                                + processes
                                + " processes, "
                                + floors
                                + " by pools."
                                + name
                                + ".floor and budget.processes");
            }
            for (int kind : of.kinds.isEmpty() ? Set.of(-1) : of.kinds) {
                String other = kinds.putIfAbsent(kind, name);
                if (other != null) {
                    throw each.error(
                            Code.OVERLAP,
                            "kinds",
                            (kind < 0 ? "all the other kinds" : "kind " + kind)
                                    + " is pool "
                                    + other
                                    + "'s");
                }
            }
            engines.put(name, of);
            out.add(pool);
        }
        return out;
    }

    private static List<Tenant> tenants(
            Section section, List<Pool> pools, Map<String, TenantMatchers> known) {
        List<Tenant> out = new ArrayList<>();
        for (String name : section.names()) {
            Section each = section.section(ClusterConfig.name(section, name, name));
            Map<String, Quota> shares = new HashMap<>();
            Quota all = share(each);
            shares.put(BudgetSettings.ALL_POOLS, all);
            Section byPool = each.section("pools");
            long guarantees = 0;
            for (String pool : byPool.names()) {
                if (pools.stream().noneMatch(has -> has.name().equals(pool))) {
                    throw byPool.error(
                            Code.IMPOSSIBLE,
                            pool,
                            "'"
                                    + pool
                                    + "' is none of the pools "
                                    + String.join(", ", pools.stream().map(Pool::name).toList()));
                }
                Section one = byPool.section(pool);
                Quota share = share(one);
                guarantees += share.guarantee();
                if (guarantees > all.ceiling()) {
                    throw one.error(
                            Code.IMPOSSIBLE,
                            "guarantee",
                            "with the other pools' "
                                    + guarantees
                                    + ", over tenants."
                                    + name
                                    + ".ceiling");
                }
                shares.put(pool, share);
            }
            out.add(new Tenant(name, each.count("weight", 1, 1, MOST), shares));
            known.put(name, known(each));
        }
        return out;
    }

    private static Quota share(Section section) {
        Quota out =
                new Quota(
                        section.count("guarantee", 0, 0, MOST),
                        section.count("ceiling", NO_CAP, 0, MOST));
        if (out.guarantee() > out.ceiling()) {
            throw section.error(
                    Code.IMPOSSIBLE,
                    "ceiling",
                    out.ceiling() + " is less than the guarantee of " + out.guarantee());
        }
        return out;
    }

    private static TenantMatchers known(Section section) {
        List<AddressRange> clients = new ArrayList<>();
        for (String each : section.texts("clients")) {
            AddressRange range = AddressRange.parse(each);
            if (range == null) {
                throw section.error(
                        Code.WRONG_TYPE,
                        "clients",
                        "'"
                                + each
                                + "' is no range such as 10.1.0.0/16 with no bits beyond its"
                                + " length");
            }
            clients.add(range);
        }
        return new TenantMatchers(
                section.texts("logins"),
                section.texts("catalogs"),
                section.addresses("listen"),
                clients);
    }

    /**
     * What all tenants are guaranteed must fit, in each pool and over all, or none of it is a
     * promise.
     */
    private static void guaranteesFit(Section section, List<Pool> pools, List<Tenant> tenants) {
        for (Pool pool : pools) {
            long sum =
                    tenants.stream().mapToLong(each -> each.quota(pool.name()).guarantee()).sum();
            if (sum > pool.cap()) {
                throw section.section(pool.name())
                        .error(
                                Code.IMPOSSIBLE,
                                "cap",
                                pool.cap()
                                        + " is less than the "
                                        + sum
                                        + " that tenants are guaranteed");
            }
        }
        long caps = pools.stream().mapToLong(Pool::cap).sum();
        long sum =
                tenants.stream()
                        .mapToLong(each -> each.quota(BudgetSettings.ALL_POOLS).guarantee())
                        .sum();
        if (sum > caps) {
            throw section.section(pools.get(0).name())
                    .error(
                            Code.IMPOSSIBLE,
                            "cap",
                            "all pools together have "
                                    + caps
                                    + ", less than the "
                                    + sum
                                    + " that tenants are guaranteed over all");
        }
    }

    private static TenantRules rules(
            Section section,
            BudgetSettings settings,
            Map<String, TenantMatchers> known,
            String without) {
        try {
            return new TenantRules(settings, known, without);
        } catch (BudgetException.InvalidSetting shared) {
            int dot = shared.key().lastIndexOf('.'); // a tenant's name may have some
            String tenant = shared.key().substring("tenants.".length(), dot);
            throw section.section(tenant)
                    .error(Code.OVERLAP, shared.key().substring(dot + 1), shared.reason());
        }
    }
}
