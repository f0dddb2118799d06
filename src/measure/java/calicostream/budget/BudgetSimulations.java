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
 * Runs of the fleet in virtual time: with faults, whose only question is the caps; and steady ones,
 * whose question is fairness and use.
 */
public final class BudgetSimulations {
    private static final long MS = FleetSimulation.MS;
    private static final long SECOND = 1_000 * MS;

    private BudgetSimulations() {}

    /** What a number of runs with faults came to. */
    public record FaultyRuns(
            int runs,
            long steps,
            long commands,
            int faults,
            int violations,
            String firstViolation,
            List<Long> reclaims,
            List<Long> releases,
            Map<String, Integer> refusals) {}

    /** What a steady run came to. */
    public record SteadyRun(double unfairness, double utilization) {}

    private static BudgetSettings settings(int floor, int inHand) {
        return settings(7, floor, inHand);
    }

    private static BudgetSettings settings(int count, int floor, int inHand) {
        List<String> processes = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
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
                SECOND,
                500,
                inHand);
    }

    /** One run of ten seconds; null or what broke. */
    static FleetSimulation faulty(long seed, Set<Safeguard> out) {
        return faulty(seed, FaultPlan.ALL, out);
    }

    private static FleetSimulation faulty(long seed, FaultPlan faults, Set<Safeguard> out) {
        if (seed % 2 == 0) {
            return small(seed, faults, out);
        }
        SplittableRandom random = new SplittableRandom(seed * 31 + 7);
        int[] caps = random.ints(3, 21, random.nextBoolean() ? 30 : 60).toArray();
        int[] clients = random.ints(4, 1, 8).toArray();
        FleetSimulation sim =
                new FleetSimulation(
                        settings(random.nextInt(1, 4), random.nextInt(1, 4)),
                        caps,
                        faults,
                        out,
                        seed,
                        new SimulatedClients.Load(clients, random.nextInt(20, 200)));
        sim.run(10 * SECOND);
        return sim;
    }

    /**
     * One or two engines, two or three processes, little room and much demand: each fault meets
     * whoever is just using what it concerns. Which faults there are, and how much is late, differs
     * from run to run, as one that is rare among many hides what two of a kind would show.
     */
    private static FleetSimulation small(long seed, FaultPlan faults, Set<Safeguard> out) {
        SplittableRandom random = new SplittableRandom(seed * 31 + 11);
        int count = random.nextInt(2, 4);
        int floor = random.nextInt(0, 2);
        int[] caps = random.ints(random.nextInt(1, 3), count + 1, count + 9).toArray();
        int[] clients = {random.nextInt(3, 12), random.nextInt(0, 6), 0, 0};
        FaultPlan drawn =
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
                        settings(count, floor, random.nextInt(1, 4)),
                        caps,
                        drawn,
                        out,
                        seed,
                        new SimulatedClients.Load(clients, random.nextInt(20, 600)));
        sim.run(20 * SECOND);
        return sim;
    }

    /**
     * Runs with all faults, from that seed on; fewer if the time is over, which {@link
     * System#nanoTime} tells.
     */
    public static FaultyRuns faulty(long seed, boolean quorumLost, int most, long until) {
        int runs = 0;
        long steps = 0;
        long commands = 0;
        int faults = 0;
        int over = 0;
        String first = null;
        List<Long> reclaims = new ArrayList<>();
        List<Long> freed = new ArrayList<>();
        Map<String, Integer> refusals = new TreeMap<>();
        for (int i = 0; i < most && System.nanoTime() < until; i++) {
            runs++;
            FleetSimulation sim =
                    faulty(
                            seed + i,
                            quorumLost ? FaultPlan.ALL : FaultPlan.WITH_QUORUM,
                            EnumSet.noneOf(Safeguard.class));
            steps += sim.steps;
            commands += sim.commands;
            faults += sim.injected.values().stream().mapToInt(Integer::intValue).sum();
            if (sim.violation != null) {
                over++;
                first = first == null ? "seed " + (seed + i) + ": " + sim.violation : first;
            }
            reclaims.addAll(sim.reclaims);
            freed.addAll(sim.releases);
            sim.refusals.forEach((code, count) -> refusals.merge(code, count, Integer::sum));
        }
        Collections.sort(reclaims);
        Collections.sort(freed);
        return new FaultyRuns(
                runs, steps, commands, faults, over, first, reclaims, freed, refusals);
    }

    /**
     * The first seed of a small fleet at which the checker finds a break with this safeguard taken
     * out, or -1.
     */
    static long firstSeedViolating(Safeguard safeguard, long seed, int runs) {
        for (int i = 0; i < runs; i++) {
            if (small(seed + i, FaultPlan.ALL, EnumSet.of(safeguard)).violation != null) {
                return seed + i;
            }
        }
        return -1;
    }

    /** Safeguards that are each taken out, by name. */
    public static List<String> safeguards() {
        return Arrays.stream(Safeguard.values()).map(Enum::name).toList();
    }

    /** The same by name. */
    public static long firstSeedViolating(String safeguard, long seed, int runs) {
        return firstSeedViolating(Safeguard.valueOf(safeguard), seed, runs);
    }

    /**
     * Ten seconds without faults and with enough demand, judged from the fourth on against the
     * all-seeing division of the whole caps.
     */
    public static SteadyRun steady(long seed) {
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
        sim.run(4 * SECOND);
        long[] before = areas(sim, clients.length);
        long[] ran = ran(sim);
        sim.run(10 * SECOND);
        long[] after = areas(sim, clients.length);
        long[] then = ran(sim);
        double[] fair = MaxMinOracle.totals(problem(settings, caps, clients));
        double distance = 0;
        for (int t = 0; t < clients.length; t++) {
            double has = (after[t] - before[t]) / (6.0 * SECOND);
            distance = Math.max(distance, Math.abs(has - fair[t]) / fair[t]);
        }
        double use = 0;
        double could = Math.min(Arrays.stream(caps).sum(), Arrays.stream(fair).sum());
        for (int e = 0; e < caps.length; e++) {
            use += (then[e] - ran[e]) / (6.0 * SECOND);
        }
        if (sim.violation != null) {
            throw new IllegalStateException("seed " + seed + ": " + sim.violation);
        }
        return new SteadyRun(distance, use / could);
    }

    private static long[] areas(FleetSimulation sim, int tenants) {
        long[] areas = new long[tenants];
        for (int t = 0; t < tenants; t++) {
            for (SimulatedProcess process : sim.processes) {
                areas[t] += process.totalSessionNanos(t);
            }
        }
        return areas;
    }

    private static long[] ran(FleetSimulation sim) {
        sim.engines.forEach(engine -> engine.add(sim.now, new SimulatedEngine.Owner("", 0), 0));
        return sim.engines.stream().mapToLong(engine -> engine.sessionNanos).toArray();
    }

    private static MaxMinFairAllocator.Problem problem(
            BudgetSettings settings, int[] caps, int[] clients) {
        int[] poolOf = new int[caps.length];
        for (int engine = 0; engine < caps.length; engine++) {
            poolOf[engine] = engine % settings.pools().size();
        }
        List<MaxMinFairAllocator.TenantClaim> claims = new ArrayList<>();
        for (int tenant = 0; tenant < clients.length; tenant++) {
            int[] demand = new int[caps.length];
            Arrays.fill(demand, clients[tenant] * settings.processes().size());
            claims.add(AllocationProblem.claim(settings, tenant, demand));
        }
        return new MaxMinFairAllocator.Problem(
                caps,
                poolOf,
                settings.pools().stream().mapToInt(BudgetSettings.Pool::cap).toArray(),
                claims);
    }
}
