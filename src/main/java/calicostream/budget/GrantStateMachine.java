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
 * same commands; a command after which more sessions could be in use at an engine than its cap is
 * refused, whoever sent it. Not thread-safe; owned by its member's thread.
 *
 * <p>What may be in use at an engine is, for each process, the largest of: its floor; what it
 * reported in use; the largest sum granted to it that it may still use; the last two together with
 * the sessions that its earlier incarnations may have left running. That falls only by the
 * process's own report, by the engine's own count taken after the leader has expired the grants, or
 * with the engine's incarnation.
 */
public final class GrantStateMachine implements StateMachine {
    /** The name under which the cluster composes this state machine. */
    public static final String NAME = "budget";

    private static final byte[] NO_ANSWER = {};

    private final BudgetSettings settings;
    private final Set<Safeguard> disabledSafeguards;
    private GrantLedger ledger;

    /** A state machine without engines, in which the named processes have their floors. */
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

    /** What this copy knows as of the call; not to be kept over the next command. */
    public GrantView view() {
        return new GrantView(ledger);
    }

    /** The whole state, for a coordinator at a member that has no copy. */
    @Override
    public byte[] query(byte[] question) {
        return snapshot();
    }

    /** Every check of a command comes before its first change, so a refused one changes nothing. */
    @Override
    public CommandEffects apply(long index, Command command) {
        ledger.setAppliedIndex(index);
        try {
            return apply(index, command, BudgetCommand.decode(command.body()));
        } catch (BudgetException refused) {
            return refuse(refused.code(), refused.getMessage());
        } catch (ClusterException.Malformed malformed) {
            return refuse(malformed.code(), malformed.getMessage());
        }
    }

    private static CommandEffects refuse(String code, String facts) {
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
            return withLoweredCaps(NO_ANSWER);
        } else if (command instanceof BudgetCommand.Renew renew) {
            return withLoweredCaps(processes.renew(sender.session(), renew).encode());
        } else if (command instanceof BudgetCommand.Expire expire) {
            processes.expire(index, sender.isFromLeader(), expire);
            return CommandEffects.NONE;
        } else if (command instanceof BudgetCommand.Allocate allocate) {
            new AllocationHandler(settings, disabledSafeguards, ledger).allocate(allocate);
            return CommandEffects.NONE;
        } else if (command instanceof BudgetCommand.UpdateEngine update) {
            engines.update(update);
            return withLoweredCaps(NO_ANSWER);
        } else if (command instanceof BudgetCommand.RemoveEngine remove) {
            engines.remove(remove);
            return CommandEffects.NONE;
        }
        engines.count((BudgetCommand.EngineCount) command);
        return withLoweredCaps(NO_ANSWER);
    }

    /** Answers a command by which a lowered cap may have come in force; each one is an event. */
    private CommandEffects withLoweredCaps(byte[] answer) {
        List<String> lowered = ledger.enforceLoweredCaps();
        return CommandEffects.response(
                answer,
                lowered.stream().map(this::capInForce).toArray(CommandEffects.Event[]::new));
    }

    private CommandEffects.Event capInForce(String name) {
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
