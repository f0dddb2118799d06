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
    static FleetSimulation faulty(long seed, Set<Safeguard> disabled) {
        return faulty(seed, FaultPlan.ALL, disabled);
    }

    private static FleetSimulation faulty(long seed, FaultPlan faults, Set<Safeguard> disabled) {
        if (seed % 2 == 0) {
            return small(seed, faults, disabled);
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
        sim.run(10 * SECOND);
        return sim;
    }

    /**
     * One or two engines, two or three processes, little capacity and much demand, so that each
     * fault concerns what is in use. Which faults there are, and how many messages are late,
     * differs from run to run: one that is rare among many hides what two of a kind would show.
     */
    private static FleetSimulation small(long seed, FaultPlan faults, Set<Safeguard> disabled) {
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
                        disabled,
                        seed,
                        new SimulatedClients.Load(clients, random.nextInt(20, 600)));
        sim.run(20 * SECOND);
        return sim;
    }

    /**
     * Runs with all faults, from that seed on; fewer if the time is over, which {@link
     * System#nanoTime} tells.
     */
    public static FaultyRuns faulty(long seed, boolean isQuorumLost, int maxRuns, long deadline) {
        int runs = 0;
        long steps = 0;
        long commands = 0;
        int faults = 0;
        int violations = 0;
        String firstViolation = null;
        List<Long> reclaims = new ArrayList<>();
        List<Long> releases = new ArrayList<>();
        Map<String, Integer> refusals = new TreeMap<>();
        for (int i = 0; i < maxRuns && System.nanoTime() < deadline; i++) {
            runs++;
            FleetSimulation sim =
                    faulty(
                            seed + i,
                            isQuorumLost ? FaultPlan.ALL : FaultPlan.WITH_QUORUM,
                            EnumSet.noneOf(Safeguard.class));
            steps += sim.steps;
            commands += sim.commands;
            faults += sim.injected.values().stream().mapToInt(Integer::intValue).sum();
            if (sim.violation != null) {
                violations++;
                if (firstViolation == null) {
                    firstViolation = "seed " + (seed + i) + ": " + sim.violation;
                }
            }
            reclaims.addAll(sim.reclaims);
            releases.addAll(sim.releases);
            sim.refusals.forEach((code, count) -> refusals.merge(code, count, Integer::sum));
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
                refusals);
    }

    /**
     * The first seed of a small fleet at which the checker finds a violation with this safeguard
     * disabled, or -1.
     */
    static long firstSeedViolating(Safeguard safeguard, long seed, int runs) {
        for (int i = 0; i < runs; i++) {
            if (small(seed + i, FaultPlan.ALL, EnumSet.of(safeguard)).violation != null) {
                return seed + i;
            }
        }
        return -1;
    }

    /** The names of all safeguards. */
    public static List<String> safeguards() {
        return Arrays.stream(Safeguard.values()).map(Enum::name).toList();
    }

    /** The same by name. */
    public static long firstSeedViolating(String safeguard, long seed, int runs) {
        return firstSeedViolating(Safeguard.valueOf(safeguard), seed, runs);
    }

    /**
     * Ten seconds without faults and with enough demand, judged from the fourth on against the
     * exact allocation of the whole caps.
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
        long[] before = sessionNanosByTenant(sim, clients.length);
        long[] engineNanosBefore = sessionNanosByEngine(sim);
        sim.run(10 * SECOND);
        long[] after = sessionNanosByTenant(sim, clients.length);
        long[] engineNanosAfter = sessionNanosByEngine(sim);
        double[] fair = MaxMinOracle.totals(problem(settings, caps, clients));
        double unfairness = 0;
        for (int t = 0; t < clients.length; t++) {
            double used = (after[t] - before[t]) / (6.0 * SECOND);
            unfairness = Math.max(unfairness, Math.abs(used - fair[t]) / fair[t]);
        }
        double used = 0;
        double usable = Math.min(Arrays.stream(caps).sum(), Arrays.stream(fair).sum());
        for (int e = 0; e < caps.length; e++) {
            used += (engineNanosAfter[e] - engineNanosBefore[e]) / (6.0 * SECOND);
        }
        if (sim.violation != null) {
            throw new IllegalStateException("seed " + seed + ": " + sim.violation);
        }
        return new SteadyRun(unfairness, used / usable);
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
