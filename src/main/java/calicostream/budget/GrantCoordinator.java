// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Computes the grants that the holder of the coordinator's lease proposes: the fair allocation of
 * all engines, as far as there is free capacity. Lowered grants are proposed at once, raised ones
 * as capacity becomes free; the state machine checks both again. Not thread-safe.
 *
 * <p>The last allocation is its only state, kept so that the next one moves few sessions. A new
 * coordinator starts without one and derives all changes from the grants in the state machine.
 */
public final class GrantCoordinator {
    /** Threshold that ends a command; keeps it far below the size limit of the replicated log. */
    private static final int GRANTS_PER_COMMAND = 300;

    private final BudgetSettings settings;

    /** By engine: sessions by tenant. */
    private final Map<String, int[]> lastAllocation = new HashMap<>();

    /** Creates a coordinator without a previous allocation. */
    public GrantCoordinator(BudgetSettings settings) {
        this.settings = settings;
    }

    /**
     * Proposes the changes of grants for the current state.
     *
     * @param machine any copy of the state; an outdated one only causes more rejections
     * @param fencingToken of the coordinator's lease
     */
    public List<BudgetCommand.Allocate> allocate(GrantStateMachine machine, long fencingToken) {
        GrantLedger ledger = machine.ledger();
        List<String> engines = List.copyOf(ledger.engines().keySet());
        int[][] allocation = fairAllocation(ledger, engines);
        List<BudgetCommand.Allocate> commands = new ArrayList<>();
        List<BudgetCommand.Grant> grants = new ArrayList<>();
        for (int engine = 0; engine < engines.size(); engine++) {
            EngineGrantPlanner planner =
                    new EngineGrantPlanner(
                            settings, ledger, engines.get(engine), column(allocation, engine));
            grants.addAll(planner.changes());
            boolean isLast = engine == engines.size() - 1;
            if (grants.size() >= GRANTS_PER_COMMAND || isLast && !grants.isEmpty()) {
                commands.add(new BudgetCommand.Allocate(fencingToken, grants));
                grants = new ArrayList<>();
            }
        }
        return commands;
    }

    private int[][] fairAllocation(GrantLedger ledger, List<String> engines) {
        int tenants = settings.tenants().size();
        int[][] previous = new int[tenants][engines.size()];
        for (int engine = 0; engine < engines.size(); engine++) {
            int[] lastSessions = lastAllocation.getOrDefault(engines.get(engine), new int[tenants]);
            for (int tenant = 0; tenant < tenants; tenant++) {
                previous[tenant][engine] = lastSessions[tenant];
            }
        }
        int[][] allocation =
                MaxMinFairAllocator.allocate(
                        AllocationProblem.fromLedger(settings, ledger, engines), previous);
        lastAllocation.clear();
        for (int engine = 0; engine < engines.size(); engine++) {
            lastAllocation.put(engines.get(engine), column(allocation, engine));
        }
        return allocation;
    }

    private static int[] column(int[][] matrix, int column) {
        return Arrays.stream(matrix).mapToInt(row -> row[column]).toArray();
    }
}
