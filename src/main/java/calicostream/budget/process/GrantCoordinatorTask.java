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
 * The grant coordinator's task, at whichever process holds its lease: some times in a lease time of
 * grants it submits changes of the endpoint list, allocates grants, and requests counts from
 * engines where usage is unconfirmed. It uses the state machine's copy at hand, or reads one from a
 * voter; the state machine checks all that it submits. Member's thread only.
 */
final class GrantCoordinatorTask implements LeasedTask {
    private static final int ROUNDS_PER_LEASE = 10;

    /** The fencing token is put in where a command is submitted. */
    private static final long NO_TOKEN = 0;

    private static final long DUE_AT_ONCE = Long.MIN_VALUE;

    private final BudgetConfig config;
    private final GrantStateMachine machine;
    private final BudgetMailbox mailbox;
    private final long roundIntervalNanos;
    private MemberSession session;
    private GrantCoordinator coordinator;
    private long nextRoundAt;
    private long rounds;
    private long allocations;
    private long refused;
    private String lastRefusal = "";

    GrantCoordinatorTask(BudgetConfig config, GrantStateMachine machine, BudgetMailbox mailbox) {
        this.config = config;
        this.machine = machine;
        this.mailbox = mailbox;
        roundIntervalNanos = config.settings().ttlNanos() / ROUNDS_PER_LEASE;
    }

    /** Called once, before the task runs: the session to submit commands by. */
    void attach(MemberSession own) {
        session = own;
    }

    @Override
    public String lease() {
        return "budget-arbiter";
    }

    @Override
    public void onStarted(FencedActions actions) {
        coordinator = new GrantCoordinator(config.settings());
        nextRoundAt = DUE_AT_ONCE;
    }

    @Override
    public void step(FencedActions actions, long nowNanos) {
        if (nextRoundAt != DUE_AT_ONCE && nowNanos - nextRoundAt < 0) {
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
                    this::completed);
        }
    }

    private void submitEngineChanges(GrantView view) {
        List<GrantView.EngineTotals> known = view.engines();
        for (BudgetMailbox.ListedEngine listed : mailbox.listedEngines()) {
            if (known.stream().noneMatch(engine -> isUpToDate(engine, listed))) {
                submit(
                        new BudgetCommand.UpdateEngine(
                                listed.name(), listed.incarnation(), listed.pool(), listed.cap()));
            }
        }
        for (GrantView.EngineTotals engine : known) {
            long removed = mailbox.removedEngines().getOrDefault(engine.name(), 0L);
            if (removed == engine.incarnation()) {
                submit(new BudgetCommand.RemoveEngine(engine.name(), engine.incarnation()));
            }
        }
    }

    /** Whether the state machine knows the listed engine as it is, or a later incarnation of it. */
    private static boolean isUpToDate(
            GrantView.EngineTotals engine, BudgetMailbox.ListedEngine listed) {
        if (!engine.name().equals(listed.name()) || engine.incarnation() < listed.incarnation()) {
            return false;
        }
        return engine.incarnation() > listed.incarnation()
                || engine.requestedCap() == listed.cap() && engine.pool().equals(listed.pool());
    }

    /** An engine's count of all its sessions bounds those of each process. */
    private void submitCounts(GrantView view) {
        for (GrantView.EngineTotals engine : view.engines()) {
            BudgetMailbox.EngineCount count = mailbox.takeCount(engine.name());
            if (count != null && count.incarnation() == engine.incarnation()) {
                for (GrantView.UnconfirmedUsage usage : view.unconfirmedUsages()) {
                    if (usage.engine().equals(engine.name()) && isLoweredBy(count, usage)) {
                        submit(engineCount(usage, count));
                    }
                }
            }
        }
    }

    private boolean isLoweredBy(BudgetMailbox.EngineCount count, GrantView.UnconfirmedUsage usage) {
        return usage.expiredAtIndex() <= count.knownIndex()
                && usage.sessions() > count.running() + config.settings().maxUnacknowledged();
    }

    private static BudgetCommand.EngineCount engineCount(
            GrantView.UnconfirmedUsage usage, BudgetMailbox.EngineCount count) {
        return new BudgetCommand.EngineCount(
                usage.engine(),
                count.incarnation(),
                usage.process(),
                usage.session(),
                usage.ofPredecessors(),
                count.knownIndex(),
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
        session.submit(GrantStateMachine.NAME, command.encode(), this::completed);
    }

    private void completed(CommandOutcome outcome) {
        if (!outcome.isAccepted()) {
            refused++;
            lastRefusal = outcome.code();
        }
    }

    @Override
    public String statusJson() {
        return Json.object()
                .add("rounds", rounds)
                .add("divisions", allocations)
                .add("refused", refused)
                .add("last_refusal", lastRefusal)
                .toString();
    }
}
