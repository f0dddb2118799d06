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
 * Checks the history of the leases in the log against the rules of {@code docs/design/lease.md}.
 * Each entry is checked once, when the first replica applies it, against separately maintained
 * queues.
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

    /**
     * Number of grants to a queued session: the one that had been queued longest, or the named
     * successor.
     */
    int queuedGrantCount() {
        return queuedGrantCount;
    }

    long lastToken() {
        return lastToken;
    }

    /**
     * Called when a replica has applied a command.
     *
     * @return whether this replica is the first to apply the entry
     */
    boolean onApplied(long index, Command command, CommandEffects effects) {
        if (index <= lastIndex) {
            return false;
        }
        lastIndex = index;
        LeaseCommand decoded = LeaseCommand.decode(command.body());
        if (decoded instanceof LeaseCommand.Transfer transfer
                && effects.isAccepted()
                && transfer.successor() != 0) {
            List<Long> queue = queues.get(transfer.name());
            queue.remove(transfer.successor());
            queue.add(0, transfer.successor());
        }
        checkEvents(command.session(), effects);
        if (!effects.isAccepted()) {
            return true;
        }
        if (decoded instanceof LeaseCommand.Withdraw) {
            queues.getOrDefault(decoded.name(), List.of()).remove(command.session());
        } else if (decoded instanceof LeaseCommand.Acquire
                && LeaseAnswer.decode(effects.response()) instanceof LeaseAnswer.Queued queued) {
            List<Long> queue = queues.computeIfAbsent(decoded.name(), name -> new ArrayList<>());
            queue.add(command.session());
            check(
                    queued.position() == queue.size(),
                    "a session was queued at position " + queued.position() + " of " + queue);
        }
        return true;
    }

    boolean onSessionEnded(long index, long session, CommandEffects effects) {
        if (index <= lastIndex) {
            return false;
        }
        lastIndex = index;
        queues.values().forEach(queue -> queue.remove(session));
        checkEvents(0, effects);
        return true;
    }

    private void checkEvents(long senderSession, CommandEffects effects) {
        for (CommandEffects.Event encoded : effects.events()) {
            LeaseEvent event = LeaseEvent.decode(encoded);
            String name = event.name();
            if (event instanceof LeaseEvent.Granted granted) {
                grantCount++;
                check(
                        granted.token() > lastToken,
                        "token " + granted.token() + " is granted after " + lastToken);
                check(
                        !currentTokens.containsKey(name),
                        "lease "
                                + name
                                + " is granted under "
                                + granted.token()
                                + " while it is held");
                List<Long> queue = queues.getOrDefault(name, List.of());
                if (queue.isEmpty()) {
                    check(
                            granted.session() == senderSession,
                            "lease "
                                    + name
                                    + " is granted to "
                                    + granted.session()
                                    + ", which did not request it");
                } else {
                    queuedGrantCount++;
                    check(
                            queue.remove(0) == granted.session(),
                            "lease "
                                    + name
                                    + " is granted to "
                                    + granted.session()
                                    + " before its turn");
                }
                lastToken = granted.token();
                currentTokens.put(name, granted.token());
            } else if (event instanceof LeaseEvent.Ended ended) {
                check(
                        currentTokens.remove(name, ended.token()),
                        "lease "
                                + name
                                + " ended under token "
                                + ended.token()
                                + ", which is not the current token");
            } else if (event instanceof LeaseEvent.ActionPerformed action) {
                check(
                        appliedActions.add(new BinaryCodec.Reader("act", action.payload()).i64()),
                        "an action is applied twice");
                check(
                        action.token() >= lastActionTokens.getOrDefault(name, 0L),
                        "the log accepts an action of "
                                + name
                                + " under token "
                                + action.token()
                                + " after an action under token "
                                + lastActionTokens.get(name));
                lastActionTokens.put(name, action.token());
            }
        }
    }

    private void check(boolean holds, String message) {
        if (!holds && violation.isEmpty()) {
            violation = message;
        }
    }
}
