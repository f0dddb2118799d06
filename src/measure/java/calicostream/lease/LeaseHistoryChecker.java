// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.Command;
import calicostream.cluster.CommandEffects;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Judges what the log did to the leases, entry by entry as any copy is the first to apply it: who
 * was due to be granted what, from a queue of its own. It takes the machine's answers for what they
 * say and the rules from the page.
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

    /** "" if all held. */
    String violation() {
        return violation;
    }

    int grantCount() {
        return grantCount;
    }

    /** Grants to whoever had waited longest, or had been named. */
    int queuedGrantCount() {
        return queuedGrantCount;
    }

    long lastToken() {
        return lastToken;
    }

    /**
     * @return whether this copy is the first that applied it
     */
    boolean onApplied(long index, Command command, CommandEffects effects) {
        if (index <= lastIndex) {
            return false;
        }
        lastIndex = index;
        LeaseCommand said = LeaseCommand.decode(command.body());
        if (said instanceof LeaseCommand.Transfer t && effects.isAccepted() && t.successor() != 0) {
            List<Long> queue = queues.get(t.name());
            queue.remove(t.successor());
            queue.add(0, t.successor());
        }
        events(command.session(), effects);
        if (!effects.isAccepted()) {
            return true;
        }
        if (said instanceof LeaseCommand.Withdraw) {
            queues.getOrDefault(said.name(), List.of()).remove(command.session());
        } else if (said instanceof LeaseCommand.Acquire
                && LeaseAnswer.decode(effects.response()) instanceof LeaseAnswer.Queued waits) {
            List<Long> queue = queues.computeIfAbsent(said.name(), any -> new ArrayList<>());
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
                check(g.token() > lastToken, "token " + g.token() + " is given after " + lastToken);
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
                                + " is freed of token "
                                + f.token()
                                + ", which does not hold it");
            } else if (event instanceof LeaseEvent.ActionPerformed a) {
                check(
                        appliedActions.add(
                                new calicostream.cluster.BinaryCodec.Reader("act", a.payload())
                                        .i64()),
                        "an act counts twice");
                check(
                        a.token() >= lastActionTokens.getOrDefault(name, 0L),
                        "the log takes an act of "
                                + name
                                + " under token "
                                + a.token()
                                + " after one under "
                                + lastActionTokens.get(name));
                lastActionTokens.put(name, a.token());
            }
        }
    }

    private void check(boolean holds, String otherwise) {
        if (!holds && violation.isEmpty()) {
            violation = otherwise;
        }
    }
}
