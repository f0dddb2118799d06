// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import calicostream.cluster.ExpiryMonitor;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Proposes the expiry of leases at the leader: of a process's grants when its last report is a full
 * lease time old, and of its predecessors' grants a full lease time after it joined. The time runs
 * from when the monitor first sees the report applied, which is after the process created it, so
 * the lease ends at the process first. Same thread as its state machine.
 */
public final class GrantExpiryMonitor implements ExpiryMonitor {
    private final BudgetSettings settings;
    private final GrantStateMachine machine;
    private final Map<BudgetCommand.Expire, Long> firstSeenNanos = new HashMap<>();

    /**
     * Creates a monitor that has seen no report.
     *
     * @param machine the leader's own copy of the state
     */
    public GrantExpiryMonitor(BudgetSettings settings, GrantStateMachine machine) {
        this.settings = settings;
        this.machine = machine;
    }

    @Override
    public void epochStarted(long era, long nowNanos) {
        firstSeenNanos.clear();
    }

    @Override
    public List<byte[]> expiredCommands(long nowNanos) {
        Set<BudgetCommand.Expire> pending = pendingExpiries();
        firstSeenNanos.keySet().retainAll(pending);
        List<byte[]> dueCommands = new ArrayList<>();
        for (BudgetCommand.Expire expire : pending) {
            long firstSeen = firstSeenNanos.computeIfAbsent(expire, key -> nowNanos);
            if (nowNanos - firstSeen >= settings.ttlNanos()) {
                dueCommands.add(expire.encode());
            }
        }
        return dueCommands;
    }

    /** The expiry command of every lease that is still valid. */
    private Set<BudgetCommand.Expire> pendingExpiries() {
        Set<BudgetCommand.Expire> pending = new LinkedHashSet<>();
        for (ProcessEntry process : machine.ledger().processes().values()) {
            String name = process.name();
            if (process.isActive()) {
                pending.add(
                        new BudgetCommand.Expire(
                                name, process.session(), false, process.reportNumber()));
            }
            if (process.hasPredecessors() && process.predecessorsExpiredAtIndex() == 0) {
                pending.add(new BudgetCommand.Expire(name, process.session(), true, 0));
            }
        }
        return pending;
    }
}
