// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.Command;
import calicostream.cluster.CommandEffects;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the history of the leases in the log, entry by entry as the first replica applies it,
 * against queues of its own and the rules of {@code docs/design/lease.md}.
 */
final class LeaseHistoryChecker {
    private final Map<String, List<Long>> queues = new HashMap<>();
    private final Map<String, Long> currentTokens = new HashMap<>();
    private final Set<Long> appliedActions = new HashSet<>();
    private final Map<String, Long> lastActionTokens = new HashMap<>();
    private long lastIndex;
    private long lastToken;
    private int grantCount;
    private int queuedGrantCount;
    private String violation = "";

    /** The first violation; empty if there is none. */
    String violation() {
        return violation;
    }

    int grantCount() {
        return grantCount;
    }

    /** Number of grants to the session that had waited longest, or was named as successor. */
    int queuedGrantCount() {
        return queuedGrantCount;
    }

    long lastToken() {
        return lastToken;
    }

    /**
     * A replica has applied a command.
     *
     * @return whether it is the first to apply that entry
     */
    boolean onApplied(long index, Command command, CommandEffects effects) {
        if (index <= lastIndex) {
            return false;
        }
        lastIndex = index;
        LeaseCommand decoded = LeaseCommand.decode(command.body());
        if (decoded instanceof LeaseCommand.Transfer t
                && effects.isAccepted()
                && t.successor() != 0) {
            List<Long> queue = queues.get(t.name());
            queue.remove(t.successor());
            queue.add(0, t.successor());
        }
        events(command.session(), effects);
        if (!effects.isAccepted()) {
            return true;
        }
        if (decoded instanceof LeaseCommand.Withdraw) {
            queues.getOrDefault(decoded.name(), List.of()).remove(command.session());
        } else if (decoded instanceof LeaseCommand.Acquire
                && LeaseAnswer.decode(effects.response()) instanceof LeaseAnswer.Queued waits) {
            List<Long> queue = queues.computeIfAbsent(decoded.name(), any -> new ArrayList<>());
            queue.add(command.session());
            check(waits.position() == queue.size(), "place " + waits.position() + " of " + queue);
        }
        return true;
    }

    boolean onSessionEnded(long index, long session, CommandEffects effects) {
        if (index <= lastIndex) {
            return false;
        }
        lastIndex = index;
        queues.values().forEach(queue -> queue.remove(session));
        events(0, effects);
        return true;
    }

    private void events(long by, CommandEffects effects) {
        for (CommandEffects.Event each : effects.events()) {
            LeaseEvent event = LeaseEvent.decode(each);
            String name = event.name();
            if (event instanceof LeaseEvent.Granted g) {
                grantCount++;
                check(
                        g.token() > lastToken,
                        "token " + g.token() + " is granted after " + lastToken);
                check(
                        !currentTokens.containsKey(name),
                        "lease " + name + " is granted under " + g.token() + " and was not free");
                List<Long> queue = queues.getOrDefault(name, List.of());
                if (queue.isEmpty()) {
                    check(
                            g.session() == by,
                            "lease "
                                    + name
                                    + " is granted to "
                                    + g.session()
                                    + ", which did not ask");
                } else {
                    queuedGrantCount++;
                    check(
                            queue.remove(0) == g.session(),
                            "lease " + name + " is granted to " + g.session() + " before its turn");
                }
                lastToken = g.token();
                currentTokens.put(name, g.token());
            } else if (event instanceof LeaseEvent.Ended f) {
                check(
                        currentTokens.remove(name, f.token()),
                        "lease "
                                + name
                                + " ended under token "
                                + f.token()
                                + ", which does not hold it");
            } else if (event instanceof LeaseEvent.ActionPerformed a) {
                check(
                        appliedActions.add(new BinaryCodec.Reader("act", a.payload()).i64()),
                        "an action is applied twice");
                check(
                        a.token() >= lastActionTokens.getOrDefault(name, 0L),
                        "the log accepts an action of "
                                + name
                                + " under token "
                                + a.token()
                                + " after one under "
                                + lastActionTokens.get(name));
                lastActionTokens.put(name, a.token());
            }
        }
    }

    private void check(boolean holds, String message) {
        if (!holds && violation.isEmpty()) {
            violation = message;
        }
    }
}
