// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import calicostream.budget.GrantLedger.EngineAllocation;
import calicostream.budget.GrantLedger.EngineEntry;
import calicostream.budget.GrantLedger.ProcessEntry;
import calicostream.budget.GrantLedger.TenantAllocation;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the holder of the arbiter's lease proposes: the fair division of all engines, as far as room
 * is free for it now. Lowered shares go out at once, raised ones as the room comes back, which the
 * machine checks again. It keeps only the last division, to move little; a new arbiter begins with
 * what the machine says is granted.
 */
public final class GrantCoordinator {
    private static final int SHARES = 300; // a command, so that it stays far under the log's bound
    private final BudgetSettings settings;
    private final Map<String, int[]> last = new HashMap<>();

    public GrantCoordinator(BudgetSettings settings) {
        this.settings = settings;
    }

    /**
     * @param machine any copy; the newer, the less is refused
     * @param token of the arbiter's lease
     */
    public List<BudgetCommand.Allocate> allocate(GrantStateMachine machine, long token) {
        GrantLedger books = machine.ledger();
        String[] engines = books.engines.keySet().toArray(String[]::new);
        int[][] fair = fair(books, engines);
        List<BudgetCommand.Allocate> commands = new ArrayList<>();
        List<BudgetCommand.Grant> shares = new ArrayList<>();
        for (int e = 0; e < engines.length; e++) {
            shares.addAll(new EngineShares(books, engines[e], column(fair, e)).changes());
            if (shares.size() >= SHARES || e == engines.length - 1 && !shares.isEmpty()) {
                commands.add(new BudgetCommand.Allocate(token, shares));
                shares = new ArrayList<>();
            }
        }
        return commands;
    }

    private int[][] fair(GrantLedger books, String[] engines) {
        int tenants = settings.tenants().size();
        int tiers = settings.pools().size();
        int[] caps = new int[engines.length];
        int[] tierOf = new int[engines.length];
        int[][] wanted = new int[tenants][engines.length];
        int[][] previous = new int[tenants][engines.length];
        for (int e = 0; e < engines.length; e++) {
            EngineEntry engine = books.engines.get(engines[e]);
            tierOf[e] = settings.pools().indexOf(settings.pool(engine.pool));
            caps[e] = grantable(books, engines[e], engine, wanted, e);
            int[] before = last.getOrDefault(engines[e], new int[tenants]);
            for (int t = 0; t < tenants; t++) {
                previous[t][e] = before[t];
            }
        }
        int[][] guarantees = new int[tenants][tiers];
        int[][] ceilings = new int[tenants][tiers];
        for (int t = 0; t < tenants; t++) {
            for (int k = 0; k < tiers; k++) {
                BudgetSettings.Quota share =
                        settings.tenants().get(t).quota(settings.pools().get(k).name());
                guarantees[t][k] = share.guarantee();
                ceilings[t][k] = share.ceiling();
            }
        }
        int[][] fair =
                MaxMinFairAllocator.allocate(
                        new MaxMinFairAllocator.Problem(
                                caps,
                                tierOf,
                                settings.pools().stream()
                                        .mapToInt(BudgetSettings.Pool::cap)
                                        .toArray(),
                                settings.tenants().stream()
                                        .mapToInt(BudgetSettings.Tenant::weight)
                                        .toArray(),
                                wanted,
                                guarantees,
                                ceilings,
                                settings.tenants().stream()
                                        .mapToInt(
                                                tenant ->
                                                        tenant.quota(BudgetSettings.ALL_POOLS)
                                                                .guarantee())
                                        .toArray(),
                                settings.tenants().stream()
                                        .mapToInt(
                                                tenant ->
                                                        tenant.quota(BudgetSettings.ALL_POOLS)
                                                                .ceiling())
                                        .toArray()),
                        previous);
        last.clear();
        for (int e = 0; e < engines.length; e++) {
            last.put(engines[e], column(fair, e));
        }
        return fair;
    }

    /**
     * What of the cap can be granted at all: the rest is floors that nobody asks for, and what
     * silent processes may have in use.
     */
    private int grantable(
            GrantLedger books, String name, EngineEntry engine, int[][] wanted, int e) {
        int rest = Math.min(engine.cap, engine.requestedCap);
        for (Map.Entry<String, ProcessEntry> each : books.processes.entrySet()) {
            int floor = books.floor(each.getKey(), name);
            EngineAllocation held = each.getValue().allocations.get(name);
            if (held == null) {
                rest -= floor;
            } else if (!takes(each.getValue())) {
                rest -= held.committed(floor);
            } else {
                int wants = 0;
                for (Map.Entry<String, TenantAllocation> line : held.tenants.entrySet()) {
                    wanted[settings.tenantIndex(line.getKey())][e] += line.getValue().demand;
                    wants += line.getValue().demand;
                }
                rest -= Math.max(floor - wants, held.orphaned);
            }
        }
        return Math.max(0, rest);
    }

    private static boolean takes(ProcessEntry process) {
        return process.session != 0 && process.expiredAtIndex == 0;
    }

    private static int[] column(int[][] fair, int engine) {
        return Arrays.stream(fair).mapToInt(row -> row[engine]).toArray();
    }

    /** One engine's division among processes, and the way there from what is granted. */
    private final class EngineShares {
        private final GrantLedger books;
        private final String name;
        private final EngineEntry engine;
        private final String[] processes;
        private final int[][] wanted;
        private final int[][] given;
        private final int[] sums;
        private final int[] fair;
        private final EngineAllocation[] held;
        private final int[] floor;
        private final int[] granted;

        EngineShares(GrantLedger books, String name, int[] fair) {
            this.books = books;
            this.name = name;
            this.engine = books.engines.get(name);
            this.fair = fair.clone();
            processes =
                    books.processes.entrySet().stream()
                            .filter(
                                    each ->
                                            takes(each.getValue())
                                                    && each.getValue()
                                                            .allocations
                                                            .containsKey(name))
                            .map(Map.Entry::getKey)
                            .toArray(String[]::new);
            wanted = new int[processes.length][fair.length];
            given = new int[processes.length][fair.length];
            sums = new int[processes.length];
            held = new EngineAllocation[processes.length];
            floor = new int[processes.length];
            granted = new int[processes.length];
            for (int p = 0; p < processes.length; p++) {
                int row = p;
                held[p] = books.processes.get(processes[p]).allocations.get(name);
                floor[p] = books.floor(processes[p], name);
                granted[p] = held[p].granted();
                held[p].tenants.forEach(
                        (tenant, line) -> wanted[row][settings.tenantIndex(tenant)] = line.demand);
            }
        }

        List<BudgetCommand.Grant> changes() {
            spread();
            return towards();
        }

        /**
         * Session by session, tenants in step: first to processes below their floors, which are set
         * aside anyway, then by demand.
         */
        private void spread() {
            int[] taken = new int[fair.length];
            for (int t = least(taken); t >= 0; t = least(taken)) {
                int best = -1;
                for (int p = 0; p < processes.length; p++) {
                    if (given[p][t] < wanted[p][t] && (best < 0 || before(p, best, t))) {
                        best = p;
                    }
                }
                if (best < 0) {
                    fair[t] = taken[t];
                } else {
                    given[best][t]++;
                    sums[best]++;
                    taken[t]++;
                }
            }
        }

        /** The tenant with the least part of its sessions placed; -1 if all are. */
        private int least(int[] taken) {
            int least = -1;
            for (int t = 0; t < fair.length; t++) {
                if (taken[t] < fair[t]
                        && (least < 0
                                || (long) taken[t] * fair[least] < (long) taken[least] * fair[t])) {
                    least = t;
                }
            }
            return least;
        }

        private boolean before(int p, int q, int t) {
            boolean below = sums[p] < floor[p];
            if (below != sums[q] < floor[q]) {
                return below;
            }
            return (2L * given[p][t] + 1) * wanted[q][t] < (2L * given[q][t] + 1) * wanted[p][t];
        }

        /**
         * Lowered shares as they shall be, raised ones as far as room is free; least for its weight
         * first.
         */
        private List<BudgetCommand.Grant> towards() {
            int[][] now = new int[processes.length][fair.length];
            int[][] then = new int[processes.length][fair.length];
            int[] have = new int[fair.length];
            int[] most = new int[processes.length];
            int[] sum = new int[processes.length];
            for (int p = 0; p < processes.length; p++) {
                most[p] = Math.max(held[p].maxUsableSum(), held[p].inUse);
                for (int t = 0; t < fair.length; t++) {
                    TenantAllocation line = held[p].tenants.get(settings.tenants().get(t).name());
                    now[p][t] = line == null ? 0 : line.granted;
                    then[p][t] = Math.min(now[p][t], given[p][t]);
                    have[t] += then[p][t];
                    sum[p] += then[p][t];
                }
            }
            int free = engine.requestedCap < engine.cap ? 0 : engine.cap - books.committed(name);
            for (int[] next = next(then, have, sum, most, free);
                    next != null;
                    next = next(then, have, sum, most, free)) {
                int p = next[0];
                free -= cost(p, sum[p], most[p]);
                sum[p]++;
                then[p][next[1]]++;
                have[next[1]]++;
            }
            List<BudgetCommand.Grant> changes = new ArrayList<>();
            for (int p = 0; p < processes.length; p++) {
                for (int t = 0; t < fair.length; t++) {
                    if (then[p][t] != now[p][t]) {
                        changes.add(
                                new BudgetCommand.Grant(
                                        processes[p],
                                        books.processes.get(processes[p]).session,
                                        name,
                                        engine.incarnation,
                                        settings.tenants().get(t).name(),
                                        then[p][t]));
                    }
                }
            }
            return changes;
        }

        private int[] next(int[][] then, int[] have, int[] sum, int[] most, int free) {
            int[] best = null;
            for (int p = 0; p < processes.length; p++) {
                int cost = cost(p, sum[p], most[p]);
                boolean raises = sum[p] >= granted[p];
                if (cost > free || raises && engine.requestedCap < engine.cap) {
                    continue;
                }
                for (int t = 0; t < fair.length; t++) {
                    if (then[p][t] < given[p][t]
                            && (best == null
                                    || (long) have[t] * settings.tenants().get(best[1]).weight()
                                            < (long) have[best[1]]
                                                    * settings.tenants().get(t).weight())) {
                        best = new int[] {p, t};
                    }
                }
            }
            return best;
        }

        /**
         * What one session more than the sum takes of the cap: nothing below a floor or below what
         * may be in use anyway.
         */
        private int cost(int p, int sum, int most) {
            int left = held[p].orphaned;
            return Math.max(floor[p], left + Math.max(most, sum + 1))
                    - Math.max(floor[p], left + Math.max(most, sum));
        }
    }
}
