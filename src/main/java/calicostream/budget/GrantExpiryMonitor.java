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
 * Proposes the expiry of leases at the leader: of a process's grants when no report has followed
 * the last one for the whole lease time, and of its predecessors' grants once it has joined for as
 * long. It counts from when it sees a report applied, which is after the process sent it. Same
 * thread as its state machine.
 */
public final class GrantExpiryMonitor implements ExpiryMonitor {
    private final BudgetSettings settings;
    private final GrantStateMachine machine;
    private final Map<BudgetCommand.Expire, Long> firstSeenNanos = new HashMap<>();

    /**
     * A monitor that has seen no report yet.
     *
     * @param machine the copy beside it
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
        List<byte[]> due = new ArrayList<>();
        for (BudgetCommand.Expire expire : pending) {
            long since = firstSeenNanos.computeIfAbsent(expire, key -> nowNanos);
            if (nowNanos - since >= settings.ttlNanos()) {
                due.add(expire.encode());
            }
        }
        return due;
    }

    /** The expiry of every lease that is valid now. */
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
