// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Runs simulated fleets in virtual time: runs with faults, which check that no engine exceeds its
 * cap, and steady runs without faults, which measure fairness and utilization.
 */
public final class BudgetSimulations {
    private static final long NANOS_PER_MILLI = FleetSimulation.NANOS_PER_MILLI;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;

    private BudgetSimulations() {}

    /**
     * Totals over a number of runs with faults; {@code reclaims} and {@code releases} are sorted.
     */
    public record FaultyRuns(
            int runs,
            long steps,
            long commands,
            int faults,
            int violations,
            String firstViolation,
            List<Long> reclaims,
            List<Long> releases,
            Map<String, Integer> rejections) {}

    /**
     * The result of a steady run.
     *
     * @param unfairness largest relative deviation of a tenant from its exact allocation
     * @param utilization used fraction of the usable session time
     */
    public record SteadyRun(double unfairness, double utilization) {}

    private static BudgetSettings settings(int floor, int maxUnacknowledged) {
        return settings(7, floor, maxUnacknowledged);
    }

    private static BudgetSettings settings(int processCount, int floor, int maxUnacknowledged) {
        List<String> processes = new ArrayList<>();
        for (int i = 1; i <= processCount; i++) {
            processes.add("p" + i);
        }
        return new BudgetSettings(
                List.of(
                        new BudgetSettings.Pool("core", floor, 500),
                        new BudgetSettings.Pool("scatter", 1, 500)),
                List.of(
                        new BudgetSettings.Tenant("north", 1, Map.of()),
                        new BudgetSettings.Tenant(
                                "south", 2, Map.of("core", new BudgetSettings.Quota(4, 200))),
                        new BudgetSettings.Tenant(
                                "east",
                                3,
                                Map.of(BudgetSettings.ALL_POOLS, new BudgetSettings.Quota(0, 40))),
                        new BudgetSettings.Tenant(
                                "west",
                                1,
                                Map.of(
                                        BudgetSettings.ALL_POOLS,
                                        new BudgetSettings.Quota(30, 300)))),
                processes,
                NANOS_PER_SECOND,
                500,
                maxUnacknowledged);
    }

    /** One run with all faults; {@link FleetSimulation#violation} has the result. */
    static FleetSimulation runWithFaults(long seed, Set<Safeguard> disabled) {
        return runWithFaults(seed, FaultPlan.ALL, disabled);
    }

    private static FleetSimulation runWithFaults(
            long seed, FaultPlan faults, Set<Safeguard> disabled) {
        if (seed % 2 == 0) {
            return smallFleet(seed, faults, disabled);
        }
        SplittableRandom random = new SplittableRandom(seed * 31 + 7);
        int[] caps = random.ints(3, 21, random.nextBoolean() ? 30 : 60).toArray();
        int[] clients = random.ints(4, 1, 8).toArray();
        FleetSimulation sim =
                new FleetSimulation(
                        settings(random.nextInt(1, 4), random.nextInt(1, 4)),
                        caps,
                        faults,
                        disabled,
                        seed,
                        new SimulatedClients.Load(clients, random.nextInt(20, 200)));
        sim.run(10 * NANOS_PER_SECOND);
        return sim;
    }

    /**
     * A fleet of one or two engines and two or three processes, with little capacity and much
     * demand, so that each fault affects sessions in use. The kinds of faults and the rate of
     * delayed messages are drawn for each run: if every run had all kinds, two faults of the same
     * kind would rarely follow each other, and violations that need both would not be found.
     */
    private static FleetSimulation smallFleet(
            long seed, FaultPlan faults, Set<Safeguard> disabled) {
        SplittableRandom random = new SplittableRandom(seed * 31 + 11);
        int processCount = random.nextInt(2, 4);
        int floor = random.nextInt(0, 2);
        int[] caps =
                random.ints(random.nextInt(1, 3), processCount + 1, processCount + 9).toArray();
        int[] clients = {random.nextInt(3, 12), random.nextInt(0, 6), 0, 0};
        FaultPlan randomFaults =
                new FaultPlan(
                        faults.isEnabled(),
                        faults.isQuorumLost(),
                        random.nextDouble() * 0.2,
                        random.nextDouble() * 0.2,
                        random.nextDouble() * 0.2,
                        random.nextInt(1, 1 << FaultInjector.FAULT_KINDS),
                        random.nextInt(20, 150));
        FleetSimulation sim =
                new FleetSimulation(
                        settings(processCount, floor, random.nextInt(1, 4)),
                        caps,
                        randomFaults,
                        disabled,
                        seed,
                        new SimulatedClients.Load(clients, random.nextInt(20, 600)));
        sim.run(20 * NANOS_PER_SECOND);
        return sim;
    }

    /**
     * Runs with all faults, with consecutive seeds.
     *
     * @param deadline value of {@link System#nanoTime} after which no further run starts
     */
    public static FaultyRuns runWithFaults(
            long seed, boolean isQuorumLost, int maxRuns, long deadline) {
        int runs = 0;
        long steps = 0;
        long commands = 0;
        int faults = 0;
        int violations = 0;
        String firstViolation = null;
        List<Long> reclaims = new ArrayList<>();
        List<Long> releases = new ArrayList<>();
        Map<String, Integer> rejections = new TreeMap<>();
        for (int i = 0; i < maxRuns && System.nanoTime() < deadline; i++) {
            runs++;
            FleetSimulation sim =
                    runWithFaults(
                            seed + i,
                            isQuorumLost ? FaultPlan.ALL : FaultPlan.WITH_QUORUM,
                            EnumSet.noneOf(Safeguard.class));
            steps += sim.steps;
            commands += sim.commands;
            faults += sim.faultCounts.values().stream().mapToInt(Integer::intValue).sum();
            if (sim.violation != null) {
                violations++;
                if (firstViolation == null) {
                    firstViolation = "seed " + (seed + i) + ": " + sim.violation;
                }
            }
            reclaims.addAll(sim.reclaims);
            releases.addAll(sim.releases);
            sim.rejections.forEach((code, count) -> rejections.merge(code, count, Integer::sum));
        }
        Collections.sort(reclaims);
        Collections.sort(releases);
        return new FaultyRuns(
                runs,
                steps,
                commands,
                faults,
                violations,
                firstViolation,
                reclaims,
                releases,
                rejections);
    }

    /**
     * The first seed with which a small fleet violates a cap while the safeguard is disabled; -1 if
     * there is none.
     */
    static long firstSeedViolating(Safeguard safeguard, long seed, int runs) {
        for (int i = 0; i < runs; i++) {
            if (smallFleet(seed + i, FaultPlan.ALL, EnumSet.of(safeguard)).violation != null) {
                return seed + i;
            }
        }
        return -1;
    }

    /** The names of all safeguards. */
    public static List<String> safeguards() {
        return Arrays.stream(Safeguard.values()).map(Enum::name).toList();
    }

    /**
     * The first seed with which a small fleet violates a cap without the named safeguard, or -1.
     */
    public static long firstSeedViolating(String safeguard, long seed, int runs) {
        return firstSeedViolating(Safeguard.valueOf(safeguard), seed, runs);
    }

    /**
     * Runs ten seconds without faults and with demand above capacity. Compares the last six seconds
     * with the exact allocation of the full caps; the first four are warm-up.
     */
    public static SteadyRun runSteadyState(long seed) {
        SplittableRandom random = new SplittableRandom(seed * 17 + 3);
        int[] caps = random.ints(4, 24, 49).toArray();
        int[] clients = {
            random.nextInt(1, 4), random.nextInt(4, 9), random.nextInt(4, 9), random.nextInt(2, 9)
        };
        BudgetSettings settings = settings(1, 8);
        FleetSimulation sim =
                new FleetSimulation(
                        settings,
                        caps,
                        FaultPlan.NONE,
                        EnumSet.noneOf(Safeguard.class),
                        seed,
                        new SimulatedClients.Load(clients, 100));
        sim.run(4 * NANOS_PER_SECOND);
        long[] tenantNanosBefore = sessionNanosByTenant(sim, clients.length);
        long[] engineNanosBefore = sessionNanosByEngine(sim);
        sim.run(10 * NANOS_PER_SECOND);
        long[] tenantNanosAfter = sessionNanosByTenant(sim, clients.length);
        long[] engineNanosAfter = sessionNanosByEngine(sim);
        double[] exactTotals = MaxMinOracle.totals(problem(settings, caps, clients));
        double unfairness = 0;
        for (int t = 0; t < clients.length; t++) {
            double usedSessions =
                    (tenantNanosAfter[t] - tenantNanosBefore[t]) / (6.0 * NANOS_PER_SECOND);
            unfairness =
                    Math.max(unfairness, Math.abs(usedSessions - exactTotals[t]) / exactTotals[t]);
        }
        double usedSessions = 0;
        double usableSessions =
                Math.min(Arrays.stream(caps).sum(), Arrays.stream(exactTotals).sum());
        for (int e = 0; e < caps.length; e++) {
            usedSessions += (engineNanosAfter[e] - engineNanosBefore[e]) / (6.0 * NANOS_PER_SECOND);
        }
        if (sim.violation != null) {
            throw new IllegalStateException("seed " + seed + ": " + sim.violation);
        }
        return new SteadyRun(unfairness, usedSessions / usableSessions);
    }

    private static long[] sessionNanosByTenant(FleetSimulation sim, int tenants) {
        long[] nanos = new long[tenants];
        for (int t = 0; t < tenants; t++) {
            for (SimulatedProcess process : sim.processes) {
                nanos[t] += process.totalSessionNanos(t);
            }
        }
        return nanos;
    }

    private static long[] sessionNanosByEngine(FleetSimulation sim) {
        sim.engines.forEach(
                engine -> engine.addSessions(sim.now, new SimulatedEngine.Owner("", 0), 0));
        return sim.engines.stream().mapToLong(engine -> engine.sessionNanos).toArray();
    }

    private static MaxMinFairAllocator.Problem problem(
            BudgetSettings settings, int[] caps, int[] clients) {
        int[] poolByEngine = new int[caps.length];
        for (int engine = 0; engine < caps.length; engine++) {
            poolByEngine[engine] = engine % settings.pools().size();
        }
        List<MaxMinFairAllocator.TenantClaim> claims = new ArrayList<>();
        for (int tenant = 0; tenant < clients.length; tenant++) {
            int[] demand = new int[caps.length];
            Arrays.fill(demand, clients[tenant] * settings.processes().size());
            claims.add(AllocationProblem.claim(settings, tenant, demand));
        }
        return new MaxMinFairAllocator.Problem(
                caps,
                poolByEngine,
                settings.pools().stream().mapToInt(BudgetSettings.Pool::cap).toArray(),
                claims);
    }
}
