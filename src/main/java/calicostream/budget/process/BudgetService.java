// SPDX-License-Identifier: Apache-2.0
package calicostream.budget.process;

import calicostream.budget.BudgetCommand;
import calicostream.budget.BudgetException;
import calicostream.budget.GrantExpiryMonitor;
import calicostream.budget.GrantStateMachine;
import calicostream.cluster.CommandOutcome;
import calicostream.cluster.ExpiryMonitor;
import calicostream.cluster.MemberSession;
import calicostream.cluster.StateMachine;
import calicostream.cluster.config.BudgetConfig;
import calicostream.cluster.process.ReplicatedService;
import calicostream.core.EngineClient;
import calicostream.lease.LeasedTask;
import calicostream.net.SelectorLoop;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Session budgets as a layer of a member: joins under each session, sends the gate's reports one at
 * a time and hands it the answers. On the member's thread, but for {@link #gate}.
 */
public final class BudgetService implements ReplicatedService {
    private final BudgetConfig config;
    private final String process;
    private final BudgetMailbox wire = new BudgetMailbox();
    private final GrantStateMachine machine;
    private final GrantExpiryMonitor times;
    private final GrantCoordinatorTask coordinatorTask;
    private MemberSession session;
    private long joined;
    private long joining;
    private boolean reporting;
    private boolean leaving;
    private long failed;

    /**
     * @param process this member's name, by which the settings may give it floors
     */
    public BudgetService(BudgetConfig config, String process) {
        this.config = config;
        this.process = process;
        machine = new GrantStateMachine(config.settings());
        times = new GrantExpiryMonitor(config.settings(), machine);
        coordinatorTask = new GrantCoordinatorTask(config, machine, wire);
    }

    /** To run under the arbiter's lease. */
    public LeasedTask coordinatorTask() {
        return coordinatorTask;
    }

    /** What stands before the front end's engine side; once, before the member starts. */
    public BudgetGate gate(SelectorLoop loop, EngineClient engines) {
        return new BudgetGate(loop, engines, config, process, wire);
    }

    @Override
    public String name() {
        return GrantStateMachine.NAME;
    }

    @Override
    public StateMachine stateMachine() {
        return machine;
    }

    @Override
    public Optional<ExpiryMonitor> expiryMonitor() {
        return Optional.of(times);
    }

    @Override
    public void onStart(MemberSession own, LongSupplier clock) {
        session = own;
        coordinatorTask.joins(own);
    }

    @Override
    public void onTick() {
        long present = session.sessionId();
        if (present == 0 || leaving) {
            return;
        }
        if (present != joined && present != joining) {
            joining = present;
            reporting = false;
            session.submit(
                    name(),
                    new BudgetCommand.Join(process).encode(),
                    outcome -> joined(present, outcome));
        }
        BudgetCommand.Renew report = present == joined && !reporting ? wire.takeReport() : null;
        if (report != null) {
            reporting = true;
            session.submit(name(), report.encode(), outcome -> answered(present, outcome));
        }
    }

    private void joined(long under, CommandOutcome outcome) {
        if (outcome.isAccepted() && session.sessionId() == under) {
            joined = under;
            wire.joined();
        } else if (joining == under) {
            joining = 0; // again at the next tick
        }
    }

    private void answered(long under, CommandOutcome outcome) {
        if (under != joined) {
            return;
        }
        reporting = false;
        if (outcome.isAccepted()) {
            wire.completeReport(
                    new BudgetMailbox.ReportOutcome(
                            BudgetCommand.RenewalReply.decode(outcome.response()), false));
        } else {
            failed++;
            wire.completeReport(
                    new BudgetMailbox.ReportOutcome(
                            null, outcome.code().equals(BudgetException.GrantOver.CODE)));
        }
    }

    /** What runs on is not over: only a process that is idle may say that it leaves. */
    @Override
    public void onStopping() {
        if (joined != 0 && joined == session.sessionId() && wire.isIdle()) {
            leaving = true;
            session.submit(name(), new BudgetCommand.Leave().encode(), outcome -> {});
        }
    }

    @Override
    public String metricsJson() {
        JsonObject out =
                Json.object()
                        .add("process", process)
                        .add(
                                "joined",
                                joined != 0 && session != null && joined == session.sessionId())
                        .add("reports_failed", failed)
                        .add("here", Json.parse(wire.publishMetrics()));
        return out.add("fleet", BudgetMetrics.fleet(config.settings(), machine.view())).toString();
    }
}
