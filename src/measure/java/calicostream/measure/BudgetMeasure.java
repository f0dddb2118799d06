// SPDX-License-Identifier: Apache-2.0
package calicostream.measure;

import calicostream.budget.BudgetCommand;
import calicostream.budget.BudgetSettings;
import calicostream.budget.BudgetSimulations;
import calicostream.budget.DemandEstimator;
import calicostream.budget.GrantedSessions;
import calicostream.budget.TenantQueues;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * Session budgets: fleets in virtual time with faults until the time is up, steady ones against the
 * all-seeing division, and what one decision costs in real time. The last line holds the figures.
 */
public final class BudgetMeasure {
    private static final long FAULTY_NANOS = 14_000_000_000L;
    private static final int STEADY = 5;
    private static final long TTL = 1_000_000_000;

    private static final int ENGINES = 60;
    private static final int TENANTS = 16;
    private static final BudgetSettings SETTINGS =
            new BudgetSettings(
                    List.of(new BudgetSettings.Pool("pool", 1, 1_000)),
                    IntStream.range(0, TENANTS)
                            .mapToObj(t -> new BudgetSettings.Tenant("t" + t, 1 + t, Map.of()))
                            .toList(),
                    List.of("p"),
                    TTL,
                    500,
                    8);

    private BudgetMeasure() {}

    /** Grants for all tenants at all engines. */
    private static GrantedSessions holdings() {
        GrantedSessions holdings = new GrantedSessions(SETTINGS, "p");
        List<BudgetCommand.Grant> shares = new ArrayList<>();
        for (int e = 0; e < ENGINES; e++) {
            holdings.engineConnected(holdings.registerEngine("e" + e, "pool"), 1);
            for (int t = 0; t < TENANTS; t++) {
                shares.add(new BudgetCommand.Grant("p", 1, "e" + e, 1, "t" + t, (e + t) % 3));
            }
        }
        holdings.applyReply(
                new BudgetCommand.RenewalReply(
                        holdings.nextReport(0, new DemandEstimator(TENANTS, 1)).reportNumber(),
                        1,
                        shares,
                        List.of()),
                0);
        return holdings;
    }

    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        long runs = args.length > 1 ? Long.parseLong(args[1]) : Long.MAX_VALUE;
        System.out.println("seed " + seed);
        double distance = 0;
        double use = 1;
        for (int i = 0; i < STEADY; i++) {
            BudgetSimulations.SteadyRun steady = BudgetSimulations.runSteadyState(seed + i);
            System.out.println("steady, seed " + (seed + i) + ": " + steady);
            distance = Math.max(distance, steady.unfairness());
            use = Math.min(use, steady.utilization());
        }
        boolean timed = runs == Long.MAX_VALUE;
        int most = (int) Math.min(runs, 100_000);
        BudgetSimulations.FaultyRuns faulty =
                BudgetSimulations.runWithFaults(
                        seed,
                        true,
                        most,
                        timed ? System.nanoTime() + FAULTY_NANOS : Long.MAX_VALUE);
        tell("faulty", faulty);
        BudgetSimulations.FaultyRuns quorum =
                BudgetSimulations.runWithFaults(
                        seed,
                        false,
                        most,
                        timed ? System.nanoTime() + FAULTY_NANOS : Long.MAX_VALUE);
        tell("faulty with a quorum", quorum);
        System.out.printf(
                Locale.ROOT,
                "budget runs=%d over_cap=%d fair_distance=%.4f cap_use_ratio=%.3f"
                        + " reclaim_p50_ttl=%.2f reclaim_p99_ttl=%.2f decision_ns_p99=%.1f"
                        + " decision_us_p99=%.2f seed=%d%n",
                faulty.runs() + quorum.runs(),
                faulty.violations() + quorum.violations(),
                distance,
                use,
                at(quorum.reclaims(), 0.5),
                at(quorum.reclaims(), 0.99),
                decisionNanos(),
                requestMicros(),
                seed);
    }

    private static void tell(String what, BudgetSimulations.FaultyRuns runs) {
        System.out.printf(
                Locale.ROOT,
                "%s: %d runs, %d steps, %d commands, %d faults, refused %s, called back %d times:"
                    + " known after %.2f leases at p50, %.2f at p99, %.2f at most, room free after"
                    + " %.2f, %.2f, %.2f%s%n",
                what,
                runs.runs(),
                runs.steps(),
                runs.commands(),
                runs.faults(),
                runs.rejections(),
                runs.reclaims().size(),
                at(runs.reclaims(), 0.5),
                at(runs.reclaims(), 0.99),
                at(runs.reclaims(), 1),
                at(runs.releases(), 0.5),
                at(runs.releases(), 0.99),
                at(runs.releases(), 1),
                runs.firstViolation() == null ? "" : ", " + runs.firstViolation());
    }

    private static double at(List<Long> sorted, double part) {
        return sorted.isEmpty() ? 0 : sorted.get((int) ((sorted.size() - 1) * part)) / (double) TTL;
    }

    /**
     * What a request pays: is its tenant to be admitted, has it room at each engine in question,
     * one begins and ends. 99th percentile.
     */
    private static double requestMicros() {
        GrantedSessions holdings = holdings();
        TenantQueues queues = new TenantQueues(SETTINGS, 1_000, 1);
        Histogram requests = new Histogram(3);
        for (int i = 0; i < 300_000; i++) {
            int tenant = i % TENANTS;
            long from = System.nanoTime();
            int chosen = -1;
            if (queues.queued(tenant, 0) == 0 && holdings.headroom(tenant, 1) > 0) {
                for (int e = 0; e < ENGINES; e++) {
                    chosen = holdings.mayStart(tenant, e, 1) ? e : chosen;
                }
                holdings.sessionStarted(tenant, chosen);
                holdings.sessionAcknowledged(chosen, 1);
                holdings.sessionEnded(tenant, chosen, 1);
                queues.sessionEnded(tenant, i);
            }
            if (i >= 100_000) {
                requests.recordValue(System.nanoTime() - from);
            }
        }
        return requests.getValueAtPercentile(99) / 1000.0;
    }

    /**
     * The 99th percentile over batches of a hundred decisions, as one is shorter than the clock's
     * step.
     */
    private static double decisionNanos() {
        GrantedSessions holdings = holdings();
        Histogram batches = new Histogram(3);
        int yes = 0;
        for (int i = 0; i < 400_000; i++) {
            long from = System.nanoTime();
            for (int j = 0; j < 100; j++) {
                yes += holdings.mayStart((i + j * 7) % TENANTS, (i * 13 + j) % ENGINES, 1) ? 1 : 0;
            }
            if (i >= 100_000) {
                batches.recordValue(System.nanoTime() - from);
            }
        }
        if (yes == 0) {
            throw new IllegalStateException("nothing may be used");
        }
        return batches.getValueAtPercentile(99) / 100.0;
    }
}
