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
import calicostream.cluster.config.BudgetConfig.EnginePool;
import calicostream.cluster.config.ClusterConfigException.Code;
import calicostream.cluster.config.SettingsFile.Section;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Reads and validates the sections of a {@link SettingsFile} that make a {@link BudgetConfig}. */
final class BudgetConfigReader {
    private static final int MAX_COUNT = 1_000_000;
    private static final int UNLIMITED = MAX_COUNT;
    private static final int MAX_ENGINE_KIND = 1 << 16;

    /** Stands for the kinds that no other pool has. */
    private static final int ALL_OTHER_KINDS = -1;

    private final SettingsFile file;
    private final Section budget;
    private final Map<String, EnginePool> enginePools = new HashMap<>();
    private final Map<String, TenantMatchers> tenantMatchers = new HashMap<>();

    private BudgetConfigReader(SettingsFile file) {
        this.file = file;
        this.budget = file.section("budget");
    }

    /**
     * Returns empty if the file has no {@code [budget]}.
     *
     * @param leaderChangeTime that grants have to outlast
     */
    static Optional<BudgetConfig> read(SettingsFile file, int driftPpm, Duration leaderChangeTime) {
        if (!file.top().has("budget")) {
            return Optional.empty();
        }
        return Optional.of(new BudgetConfigReader(file).read(driftPpm, leaderChangeTime));
    }

    private BudgetConfig read(int driftPpm, Duration leaderChangeTime) {
        Duration ttl = grantTtl(leaderChangeTime);
        List<String> processes = budget.texts("processes");
        processes.forEach(name -> ClusterConfigReader.requireName(budget, "processes", name));
        List<Pool> pools = pools(processes.size());
        List<Tenant> tenants = tenants(pools);
        String defaultTenant = defaultTenant();
        requireGuaranteesFit(pools, tenants);
        BudgetSettings settings =
                new BudgetSettings(
                        pools,
                        tenants,
                        processes,
                        ttl.toNanos(),
                        driftPpm,
                        budget.count("in_hand", 8, 1, 10_000));
        return new BudgetConfig(
                settings,
                tenantRules(settings, defaultTenant),
                enginePools,
                budget.count("queue", 1000, 1, MAX_COUNT),
                budget.duration("patience", "300ms", "1ms", "1h"));
    }

    private Duration grantTtl(Duration leaderChangeTime) {
        Duration ttl = budget.duration("ttl", "5s", "100ms", "1h");
        if (ttl.compareTo(leaderChangeTime) <= 0) {
            throw budget.error(
                    Code.IMPOSSIBLE,
                    "ttl",
                    "grants must outlast a change of leader, which takes "
                            + Units.DURATION.text(leaderChangeTime.toNanos())
                            + " by raft.heartbeat, raft.missed and raft.election");
        }
        return ttl;
    }

    private String defaultTenant() {
        String tenant = budget.text("default");
        if (!tenantMatchers.containsKey(tenant)) {
            throw budget.error(
                    Code.IMPOSSIBLE,
                    "default",
                    "'"
                            + tenant
                            + "' is none of the tenants "
                            + String.join(", ", file.section("tenants").names()));
        }
        return tenant;
    }

    private List<Pool> pools(int processes) {
        Section section = file.section("pools");
        List<Pool> pools = new ArrayList<>();
        Map<Integer, String> poolsByKind = new HashMap<>();
        for (String name : section.names()) {
            Section poolSection =
                    section.section(ClusterConfigReader.requireName(section, name, name));
            Pool pool =
                    new Pool(
                            name,
                            poolSection.count("floor", 0, 0, MAX_COUNT),
                            poolSection.count("cap", UNLIMITED, 0, MAX_COUNT));
            EnginePool engines =
                    new EnginePool(
                            Set.copyOf(poolSection.counts("kinds", MAX_ENGINE_KIND)),
                            poolSection.count("engine_cap", null, 1, MAX_COUNT));
            requireFloorsFit(poolSection, pool, engines, processes);
            claimKinds(poolSection, name, engines, poolsByKind);
            enginePools.put(name, engines);
            pools.add(pool);
        }
        if (pools.isEmpty()) {
            throw file.top()
                    .error(
                            Code.MISSING_KEY,
                            "pools",
                            "a budget needs one pool at least, such as [pools.all]");
        }
        return pools;
    }

    private static void requireFloorsFit(
            Section section, Pool pool, EnginePool engines, int processes) {
        long floors = (long) pool.floor() * processes;
        if (floors > engines.engineCap()) {
            throw section.error(
                    Code.IMPOSSIBLE,
                    "engine_cap",
                    engines.engineCap()
                            + " is less than the floors of "
                            + processes
                            + " processes, "
                            + floors
                            + " by pools."
                            + pool.name()
                            + ".floor and budget.processes");
        }
    }

    private static void claimKinds(
            Section section, String pool, EnginePool engines, Map<Integer, String> poolsByKind) {
        Set<Integer> kinds = engines.kinds().isEmpty() ? Set.of(ALL_OTHER_KINDS) : engines.kinds();
        for (int kind : kinds) {
            String other = poolsByKind.putIfAbsent(kind, pool);
            if (other != null) {
                throw section.error(
                        Code.OVERLAP,
                        "kinds",
                        (kind == ALL_OTHER_KINDS ? "all the other kinds" : "kind " + kind)
                                + " is pool "
                                + other
                                + "'s");
            }
        }
    }

    private List<Tenant> tenants(List<Pool> pools) {
        Section section = file.section("tenants");
        List<Tenant> tenants = new ArrayList<>();
        for (String name : section.names()) {
            Section tenantSection =
                    section.section(ClusterConfigReader.requireName(section, name, name));
            Map<String, Quota> quotas = quotas(tenantSection, name, pools);
            tenants.add(new Tenant(name, tenantSection.count("weight", 1, 1, MAX_COUNT), quotas));
            tenantMatchers.put(name, matchers(tenantSection));
        }
        return tenants;
    }

    /** The quotas of a tenant over all pools and in each pool that its section names. */
    private static Map<String, Quota> quotas(Section section, String tenant, List<Pool> pools) {
        Map<String, Quota> quotas = new HashMap<>();
        Quota total = quota(section);
        quotas.put(BudgetSettings.ALL_POOLS, total);
        Section byPool = section.section("pools");
        long guarantees = 0;
        for (String pool : byPool.names()) {
            requirePool(byPool, pool, pools);
            Section poolSection = byPool.section(pool);
            Quota quota = quota(poolSection);
            guarantees += quota.guarantee();
            if (guarantees > total.ceiling()) {
                throw poolSection.error(
                        Code.IMPOSSIBLE,
                        "guarantee",
                        "with the other pools' "
                                + guarantees
                                + ", over tenants."
                                + tenant
                                + ".ceiling");
            }
            quotas.put(pool, quota);
        }
        return quotas;
    }

    private static void requirePool(Section section, String name, List<Pool> pools) {
        List<String> names = pools.stream().map(Pool::name).toList();
        if (!names.contains(name)) {
            throw section.error(
                    Code.IMPOSSIBLE,
                    name,
                    "'" + name + "' is none of the pools " + String.join(", ", names));
        }
    }

    private static Quota quota(Section section) {
        Quota quota =
                new Quota(
                        section.count("guarantee", 0, 0, MAX_COUNT),
                        section.count("ceiling", UNLIMITED, 0, MAX_COUNT));
        if (quota.guarantee() > quota.ceiling()) {
            throw section.error(
                    Code.IMPOSSIBLE,
                    "ceiling",
                    quota.ceiling() + " is less than the guarantee of " + quota.guarantee());
        }
        return quota;
    }

    private static TenantMatchers matchers(Section section) {
        List<AddressRange> clients = new ArrayList<>();
        for (String text : section.texts("clients")) {
            AddressRange range = AddressRange.parse(text);
            if (range == null) {
                throw section.error(
                        Code.WRONG_TYPE,
                        "clients",
                        "'"
                                + text
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

    /** Guarantees can only be kept if they fit together, in each pool and over all pools. */
    private void requireGuaranteesFit(List<Pool> pools, List<Tenant> tenants) {
        Section section = file.section("pools");
        for (Pool pool : pools) {
            long guarantees = guarantees(tenants, pool.name());
            if (guarantees > pool.cap()) {
                throw section.section(pool.name())
                        .error(
                                Code.IMPOSSIBLE,
                                "cap",
                                pool.cap()
                                        + " is less than the "
                                        + guarantees
                                        + " that tenants are guaranteed");
            }
        }
        long caps = pools.stream().mapToLong(Pool::cap).sum();
        long guarantees = guarantees(tenants, BudgetSettings.ALL_POOLS);
        if (guarantees > caps) {
            throw section.section(pools.get(0).name())
                    .error(
                            Code.IMPOSSIBLE,
                            "cap",
                            "all pools together have "
                                    + caps
                                    + ", less than the "
                                    + guarantees
                                    + " that tenants are guaranteed over all");
        }
    }

    private static long guarantees(List<Tenant> tenants, String pool) {
        return tenants.stream().mapToLong(tenant -> tenant.quota(pool).guarantee()).sum();
    }

    private TenantRules tenantRules(BudgetSettings settings, String defaultTenant) {
        try {
            return new TenantRules(settings, tenantMatchers, defaultTenant);
        } catch (BudgetException.InvalidSetting e) {
            // The key is tenants.NAME.KEY, and the name may contain dots.
            int lastDot = e.key().lastIndexOf('.');
            String tenant = e.key().substring("tenants.".length(), lastDot);
            throw file.section("tenants")
                    .section(tenant)
                    .error(Code.OVERLAP, e.key().substring(lastDot + 1), e.reason());
        }
    }
}
