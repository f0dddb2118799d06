// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.cluster.Command;
import calicostream.cluster.CommandEffects;
import calicostream.cluster.StateMachine;
import java.util.function.Consumer;

/**
 * A replica's lease state machine that reports the effects of each log entry to a {@link
 * LeaseHistoryChecker}, and also to a listener if this replica is the first to apply the entry.
 */
final class ObservedMachine implements StateMachine {
    private final LeaseStateMachine machine;
    private final LeaseHistoryChecker historyChecker;
    private final Consumer<CommandEffects> listener;

    ObservedMachine(
            LeaseStateMachine machine,
            LeaseHistoryChecker historyChecker,
            Consumer<CommandEffects> listener) {
        this.machine = machine;
        this.historyChecker = historyChecker;
        this.listener = listener;
    }

    @Override
    public CommandEffects apply(long index, Command command) {
        CommandEffects effects = machine.apply(index, command);
        if (historyChecker.onApplied(index, command, effects)) {
            listener.accept(effects);
        }
        return effects;
    }

    @Override
    public CommandEffects sessionEnded(long index, long session) {
        CommandEffects effects = machine.sessionEnded(index, session);
        if (historyChecker.onSessionEnded(index, session, effects)) {
            listener.accept(effects);
        }
        return effects;
    }

    @Override
    public byte[] query(byte[] encodedName) {
        return machine.query(encodedName);
    }

    @Override
    public byte[] snapshot() {
        return machine.snapshot();
    }

    @Override
    public void restore(byte[] snapshot) {
        machine.restore(snapshot);
    }
}
