// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import calicostream.cluster.ExpiryMonitor;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The leader's count of leases: a report that has not been followed by another for the whole time
 * is over, and so are the grants of a process's earlier starts once it has joined for as long. It
 * counts from when it sees a report applied, which is after the process asked.
 */
public final class GrantExpiryMonitor implements ExpiryMonitor {
    private final BudgetSettings settings;
    private final GrantStateMachine machine;
    private final Map<String, Long> since = new HashMap<>();

    /**
     * @param machine the copy beside it
     */
    public GrantExpiryMonitor(BudgetSettings settings, GrantStateMachine machine) {
        this.settings = settings;
        this.machine = machine;
    }

    @Override
    public void epochStarted(long era, long nowNanos) {
        since.clear();
    }

    @Override
    public List<byte[]> expiredCommands(long nowNanos) {
        List<byte[]> due = new ArrayList<>();
        Map<String, Long> present = new HashMap<>();
        machine.ledger()
                .processes
                .forEach(
                        (name, process) -> {
                            if (process.session != 0 && process.expiredAtIndex == 0) {
                                look(
                                        new BudgetCommand.Expire(
                                                name, process.session, false, process.reportNumber),
                                        nowNanos,
                                        present,
                                        due);
                            }
                            if (process.hasPredecessors
                                    && process.predecessorsExpiredAtIndex == 0) {
                                look(
                                        new BudgetCommand.Expire(name, process.session, true, 0),
                                        nowNanos,
                                        present,
                                        due);
                            }
                        });
        since.clear();
        since.putAll(present);
        return due;
    }

    private void look(
            BudgetCommand.Expire expire, long now, Map<String, Long> present, List<byte[]> due) {
        String key = expire.toString();
        long from = since.getOrDefault(key, now);
        present.put(key, from);
        if (now - from >= settings.ttlNanos()) {
            due.add(expire.encode());
        }
    }
}
