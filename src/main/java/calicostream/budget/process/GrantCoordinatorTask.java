// SPDX-License-Identifier: Apache-2.0
package calicostream.budget.process;

import calicostream.budget.BudgetCommand;
import calicostream.budget.GrantCoordinator;
import calicostream.budget.GrantStateMachine;
import calicostream.budget.GrantView;
import calicostream.cluster.MemberMessage;
import calicostream.cluster.MemberSession;
import calicostream.cluster.config.BudgetConfig;
import calicostream.lease.FencedActions;
import calicostream.lease.LeasedTask;
import com.eclipsesource.json.Json;
import java.util.List;

/**
 * The arbiter, at whichever process holds its lease: a few times a lease of grants it tells the
 * machine of the engines that its list names, divides, and has engines counted where something
 * waits for proof. It goes by the copy at hand, or by one that it asks a voter for. The machine
 * checks all that it says. On the member's thread.
 */
final class GrantCoordinatorTask implements LeasedTask {
    private static final int ROUNDS = 10; // a lease of grants
    private final BudgetConfig config;
    private final GrantStateMachine machine;
    private final BudgetMailbox wire;
    private final long everyNanos;
    private MemberSession session;
    private GrantCoordinator arbiter;
    private long due;
    private long rounds;
    private long divisions;
    private long refused;
    private String lastRefusal = "";

    GrantCoordinatorTask(BudgetConfig config, GrantStateMachine machine, BudgetMailbox wire) {
        this.config = config;
        this.machine = machine;
        this.wire = wire;
        everyNanos = config.settings().ttlNanos() / ROUNDS;
    }

    void joins(MemberSession own) {
        session = own;
    }

    @Override
    public String lease() {
        return "budget-arbiter";
    }

    @Override
    public void started(FencedActions acts) {
        arbiter = new GrantCoordinator(config.settings());
        due = Long.MIN_VALUE;
    }

    @Override
    public void step(FencedActions acts, long nowNanos) {
        if (due != Long.MIN_VALUE && nowNanos - due < 0) {
            return;
        }
        due = nowNanos + everyNanos;
        if (machine.view().appliedIndex() > 0) {
            GrantStateMachine view = new GrantStateMachine(config.settings());
            view.restore(machine.snapshot());
            round(acts, view);
        } else {
            session.read(
                    MemberMessage.Operation.LOCAL_READ,
                    GrantStateMachine.NAME,
                    new byte[0],
                    nowNanos,
                    reply -> {
                        if (reply.outcome().isAccepted()
                                && reply.outcome().response().length > 0
                                && acts.isHeld()) {
                            GrantStateMachine view = new GrantStateMachine(config.settings());
                            view.restore(reply.outcome().response());
                            round(acts, view);
                        }
                    });
        }
    }

    private void round(FencedActions acts, GrantStateMachine copy) {
        rounds++;
        GrantView view = copy.view();
        List<BudgetMailbox.ListedEngine> listed = wire.listedEngines();
        List<GrantView.EngineTotals> known = view.engines();
        for (BudgetMailbox.ListedEngine each : listed) {
            boolean same =
                    known.stream()
                            .anyMatch(
                                    engine ->
                                            engine.name().equals(each.name())
                                                    && engine.incarnation() >= each.incarnation()
                                                    && (engine.incarnation() > each.incarnation()
                                                            || engine.requestedCap() == each.cap()
                                                                    && engine.pool()
                                                                            .equals(each.pool())));
            if (!same) {
                run(
                        new BudgetCommand.UpdateEngine(
                                each.name(), each.incarnation(), each.pool(), each.cap()));
            }
        }
        for (GrantView.EngineTotals each : known) {
            if (wire.removedEngines().getOrDefault(each.name(), 0L) == each.incarnation()) {
                run(new BudgetCommand.RemoveEngine(each.name(), each.incarnation()));
            }
        }
        count(view);
        for (BudgetCommand.Allocate each : arbiter.allocate(copy, 0)) {
            divisions++;
            acts.command(
                    GrantStateMachine.NAME,
                    token -> new BudgetCommand.Allocate(token, each.grants()).encode(),
                    this::heard);
        }
    }

    /**
     * Engines that tell their sessions by no process tell how many there are in all, which bounds
     * each one's.
     */
    private void count(GrantView view) {
        List<GrantView.UnconfirmedUsage> unproven = view.unconfirmedUsages();
        for (GrantView.EngineTotals each : view.engines()) {
            BudgetMailbox.EngineCount counted = wire.takeCount(each.name());
            if (counted != null && counted.incarnation() == each.incarnation()) {
                unproven.stream()
                        .filter(
                                open ->
                                        open.engine().equals(each.name())
                                                && open.expiredAtIndex() <= counted.knownIndex())
                        .filter(
                                open ->
                                        open.sessions()
                                                > counted.running()
                                                        + config.settings().maxUnacknowledged())
                        .forEach(
                                open ->
                                        run(
                                                new BudgetCommand.EngineCount(
                                                        each.name(),
                                                        each.incarnation(),
                                                        open.process(),
                                                        open.session(),
                                                        open.ofPredecessors(),
                                                        counted.knownIndex(),
                                                        counted.running(),
                                                        false)));
            }
        }
        if (!unproven.isEmpty()) {
            wire.requestCounts(
                    new BudgetMailbox.CountRequest(
                            unproven.stream()
                                    .map(GrantView.UnconfirmedUsage::engine)
                                    .distinct()
                                    .toList(),
                            view.appliedIndex()));
        }
    }

    private void run(BudgetCommand command) {
        session.submit(GrantStateMachine.NAME, command.encode(), this::heard);
    }

    private void heard(calicostream.cluster.CommandOutcome outcome) {
        if (!outcome.isAccepted()) {
            refused++;
            lastRefusal = outcome.code();
        }
    }

    @Override
    public String figures() {
        return Json.object()
                .add("rounds", rounds)
                .add("divisions", divisions)
                .add("refused", refused)
                .add("last_refusal", lastRefusal)
                .toString();
    }
}
