// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import calicostream.cluster.BinaryCodec;
import calicostream.cluster.ClusterException;
import calicostream.cluster.Command;
import calicostream.cluster.CommandEffects;
import calicostream.cluster.StateMachine;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * The replicated state machine that grants sessions at engines to processes. Every copy applies the
 * same commands. A command that would allow more sessions at an engine than its cap is rejected,
 * whoever sent it. Not thread-safe; owned by its member's thread.
 *
 * <p>The sessions that a process may have in use at an engine are the larger of its floor and the
 * sum of two numbers: the sessions that its earlier incarnations may have left running, and the
 * larger of its reported usage and the largest sum of grants that it may still use. This bound
 * falls only through the process's own report, through the engine's own count requested after the
 * leader has expired the grants, or when the engine is replaced.
 */
public final class GrantStateMachine implements StateMachine {
    /** The name under which the cluster registers this state machine. */
    public static final String NAME = "budget";

    private static final byte[] NO_RESPONSE = {};

    private final BudgetSettings settings;
    private final Set<Safeguard> disabledSafeguards;
    private GrantLedger ledger;

    /** Creates a state machine without engines, in which the configured processes have floors. */
    public GrantStateMachine(BudgetSettings settings) {
        this(settings, EnumSet.noneOf(Safeguard.class));
    }

    GrantStateMachine(BudgetSettings settings, Set<Safeguard> disabledSafeguards) {
        this.settings = settings;
        this.disabledSafeguards = disabledSafeguards;
        this.ledger = new GrantLedger(settings);
    }

    GrantLedger ledger() {
        return ledger;
    }

    /** A view of the current state; do not use it after the next command. */
    public GrantView view() {
        return new GrantView(ledger);
    }

    /** Returns a snapshot, for a coordinator at a member without a copy. */
    @Override
    public byte[] query(byte[] request) {
        return snapshot();
    }

    /** All checks of a command precede its first change, so a rejected one changes nothing else. */
    @Override
    public CommandEffects apply(long index, Command command) {
        ledger.setAppliedIndex(index);
        try {
            return apply(index, command, BudgetCommand.decode(command.body()));
        } catch (BudgetException rejection) {
            return reject(rejection.code(), rejection.getMessage());
        } catch (ClusterException.Malformed malformed) {
            return reject(malformed.code(), malformed.getMessage());
        }
    }

    private static CommandEffects reject(String code, String facts) {
        return CommandEffects.rejected(code, new BinaryCodec.Writer().text(facts).toByteArray());
    }

    private CommandEffects apply(long index, Command sender, BudgetCommand command) {
        ProcessCommandHandler processes =
                new ProcessCommandHandler(settings, disabledSafeguards, ledger);
        EngineCommandHandler engines =
                new EngineCommandHandler(settings, disabledSafeguards, ledger);
        if (command instanceof BudgetCommand.Join join) {
            processes.join(sender.session(), join);
            return CommandEffects.NONE;
        } else if (command instanceof BudgetCommand.Leave) {
            processes.leave(sender.session());
            return respondAndEnforceCaps(NO_RESPONSE);
        } else if (command instanceof BudgetCommand.Renew renew) {
            return respondAndEnforceCaps(processes.renew(sender.session(), renew).encode());
        } else if (command instanceof BudgetCommand.Expire expire) {
            processes.expire(index, sender.isFromLeader(), expire);
            return CommandEffects.NONE;
        } else if (command instanceof BudgetCommand.Allocate allocate) {
            new AllocationHandler(settings, disabledSafeguards, ledger).allocate(allocate);
            return CommandEffects.NONE;
        } else if (command instanceof BudgetCommand.UpdateEngine update) {
            engines.update(update);
            return respondAndEnforceCaps(NO_RESPONSE);
        } else if (command instanceof BudgetCommand.RemoveEngine remove) {
            engines.remove(remove);
            return CommandEffects.NONE;
        }
        engines.count((BudgetCommand.EngineCount) command);
        return respondAndEnforceCaps(NO_RESPONSE);
    }

    /** Puts lowered caps in force where possible, and responds with an event for each of them. */
    private CommandEffects respondAndEnforceCaps(byte[] response) {
        List<String> lowered = ledger.enforceLoweredCaps();
        return CommandEffects.response(
                response,
                lowered.stream().map(this::capInForceEvent).toArray(CommandEffects.Event[]::new));
    }

    private CommandEffects.Event capInForceEvent(String name) {
        EngineEntry engine = ledger.engines().get(name);
        return new CommandEffects.Event(
                "budget-cap-in-force",
                new BinaryCodec.Writer()
                        .text(name)
                        .i64(engine.incarnation())
                        .i32(engine.cap())
                        .toByteArray());
    }

    @Override
    public byte[] snapshot() {
        return GrantLedgerCodec.encode(ledger);
    }

    @Override
    public void restore(byte[] snapshot) {
        ledger = GrantLedgerCodec.decode(settings, snapshot);
    }
}
