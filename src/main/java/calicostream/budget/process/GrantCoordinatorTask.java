// SPDX-License-Identifier: Apache-2.0
package calicostream.budget.process;

import calicostream.budget.BudgetCommand;
import calicostream.budget.GrantCoordinator;
import calicostream.budget.GrantStateMachine;
import calicostream.budget.GrantView;
import calicostream.cluster.CommandOutcome;
import calicostream.cluster.MemberMessage;
import calicostream.cluster.MemberSession;
import calicostream.cluster.config.BudgetConfig;
import calicostream.lease.FencedActions;
import calicostream.lease.LeasedTask;
import com.eclipsesource.json.Json;
import java.util.List;

/**
 * The grant coordinator's task, which runs at the process that holds its lease. Several times per
 * lease time of grants it submits changes of the endpoint list, allocates grants, and requests
 * counts from engines with unconfirmed usage. It works on a copy of the state machine, local if
 * there is one and otherwise read from a voter; the state machine checks everything that it
 * submits. Must be used on the member's thread.
 */
final class GrantCoordinatorTask implements LeasedTask {
    private static final int ROUNDS_PER_LEASE = 10;

    /** Placeholder: the fencing token is inserted when a command is submitted. */
    private static final long NO_TOKEN = 0;

    private static final long DUE_IMMEDIATELY = Long.MIN_VALUE;

    private final BudgetConfig config;
    private final GrantStateMachine machine;
    private final BudgetMailbox mailbox;
    private final long roundIntervalNanos;
    private MemberSession session;
    private GrantCoordinator coordinator;
    private long nextRoundAt;
    private long rounds;
    private long allocations;
    private long rejected;
    private String lastRejection = "";

    GrantCoordinatorTask(BudgetConfig config, GrantStateMachine machine, BudgetMailbox mailbox) {
        this.config = config;
        this.machine = machine;
        this.mailbox = mailbox;
        roundIntervalNanos = config.settings().ttlNanos() / ROUNDS_PER_LEASE;
    }

    /** Sets the session for submitting commands. Called once, before the task runs. */
    void attach(MemberSession memberSession) {
        session = memberSession;
    }

    @Override
    public String lease() {
        return "budget-arbiter";
    }

    @Override
    public void onStarted(FencedActions actions) {
        coordinator = new GrantCoordinator(config.settings());
        nextRoundAt = DUE_IMMEDIATELY;
    }

    @Override
    public void step(FencedActions actions, long nowNanos) {
        if (nextRoundAt != DUE_IMMEDIATELY && nowNanos - nextRoundAt < 0) {
            return;
        }
        nextRoundAt = nowNanos + roundIntervalNanos;
        if (machine.view().appliedIndex() > 0) {
            runRound(actions, machine.snapshot());
        } else {
            session.read(
                    MemberMessage.Operation.LOCAL_READ,
                    GrantStateMachine.NAME,
                    new byte[0],
                    nowNanos,
                    reply -> snapshotRead(actions, reply.outcome()));
        }
    }

    private void snapshotRead(FencedActions actions, CommandOutcome outcome) {
        if (outcome.isAccepted() && outcome.response().length > 0 && actions.isHeld()) {
            runRound(actions, outcome.response());
        }
    }

    private void runRound(FencedActions actions, byte[] snapshot) {
        rounds++;
        GrantStateMachine copy = new GrantStateMachine(config.settings());
        copy.restore(snapshot);
        GrantView view = copy.view();
        submitEngineChanges(view);
        submitCounts(view);
        requestCounts(view);
        for (BudgetCommand.Allocate allocate : coordinator.allocate(copy, NO_TOKEN)) {
            allocations++;
            actions.submitTo(
                    GrantStateMachine.NAME,
                    token -> new BudgetCommand.Allocate(token, allocate.grants()).encode(),
                    this::commandCompleted);
        }
    }

    private void submitEngineChanges(GrantView view) {
        List<GrantView.EngineTotals> engines = view.engines();
        for (BudgetMailbox.ListedEngine listed : mailbox.listedEngines()) {
            if (engines.stream().noneMatch(engine -> isUpToDate(engine, listed))) {
                submit(
                        new BudgetCommand.UpdateEngine(
                                listed.name(), listed.incarnation(), listed.pool(), listed.cap()));
            }
        }
        for (GrantView.EngineTotals engine : engines) {
            long removed = mailbox.removedEngines().getOrDefault(engine.name(), 0L);
            if (removed == engine.incarnation()) {
                submit(new BudgetCommand.RemoveEngine(engine.name(), engine.incarnation()));
            }
        }
    }

    /** Whether the state machine has the listed engine as it is, or a later incarnation. */
    private static boolean isUpToDate(
            GrantView.EngineTotals engine, BudgetMailbox.ListedEngine listed) {
        if (!engine.name().equals(listed.name()) || engine.incarnation() < listed.incarnation()) {
            return false;
        }
        return engine.incarnation() > listed.incarnation()
                || engine.requestedCap() == listed.cap() && engine.pool().equals(listed.pool());
    }

    /** Submits the counts that lower the bound on some process's unconfirmed usage. */
    private void submitCounts(GrantView view) {
        for (GrantView.EngineTotals engine : view.engines()) {
            BudgetMailbox.EngineCount count = mailbox.takeCount(engine.name());
            if (count != null && count.incarnation() == engine.incarnation()) {
                for (GrantView.UnconfirmedUsage usage : view.unconfirmedUsages()) {
                    if (usage.engine().equals(engine.name()) && lowersBound(count, usage)) {
                        submit(engineCount(usage, count));
                    }
                }
            }
        }
    }

    private boolean lowersBound(BudgetMailbox.EngineCount count, GrantView.UnconfirmedUsage usage) {
        return usage.expiredAtIndex() <= count.appliedIndex()
                && usage.sessions() > count.running() + config.settings().maxUnacknowledged();
    }

    private static BudgetCommand.EngineCount engineCount(
            GrantView.UnconfirmedUsage usage, BudgetMailbox.EngineCount count) {
        return new BudgetCommand.EngineCount(
                usage.engine(),
                count.incarnation(),
                usage.process(),
                usage.session(),
                usage.forPredecessors(),
                count.appliedIndex(),
                count.running(),
                false);
    }

    private void requestCounts(GrantView view) {
        List<String> engines =
                view.unconfirmedUsages().stream()
                        .map(GrantView.UnconfirmedUsage::engine)
                        .distinct()
                        .toList();
        if (!engines.isEmpty()) {
            mailbox.requestCounts(new BudgetMailbox.CountRequest(engines, view.appliedIndex()));
        }
    }

    private void submit(BudgetCommand command) {
        session.submit(GrantStateMachine.NAME, command.encode(), this::commandCompleted);
    }

    private void commandCompleted(CommandOutcome outcome) {
        if (!outcome.isAccepted()) {
            rejected++;
            lastRejection = outcome.code();
        }
    }

    @Override
    public String statusJson() {
        return Json.object()
                .add("rounds", rounds)
                .add("divisions", allocations)
                .add("refused", rejected)
                .add("last_refusal", lastRejection)
                .toString();
    }
}
