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
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Session budgets as a replicated service of a member: joins under each cluster session, submits
 * the gate's reports one at a time and passes it their outcomes. Member's thread only, except for
 * {@link #gate}.
 */
public final class BudgetService implements ReplicatedService {
    private final BudgetConfig config;
    private final String process;
    private final BudgetMailbox mailbox = new BudgetMailbox();
    private final GrantStateMachine stateMachine;
    private final GrantExpiryMonitor expiryMonitor;
    private final GrantCoordinatorTask coordinatorTask;
    private MemberSession session;

    /** Ids of the cluster sessions that the process has joined, or is joining, under; 0 if none. */
    private long joinedSession;

    private long joiningSession;
    private boolean isReporting;
    private boolean isLeaving;
    private long failedReports;

    /**
     * The budgets of a member that has not started.
     *
     * @param process this member's name, by which the settings may give it floors
     */
    public BudgetService(BudgetConfig config, String process) {
        this.config = config;
        this.process = process;
        stateMachine = new GrantStateMachine(config.settings());
        expiryMonitor = new GrantExpiryMonitor(config.settings(), stateMachine);
        coordinatorTask = new GrantCoordinatorTask(config, stateMachine, mailbox);
    }

    /** The task to run under the coordinator's lease. */
    public LeasedTask coordinatorTask() {
        return coordinatorTask;
    }

    /** Creates the gate in front of the engine client; once, before the member starts. */
    public BudgetGate gate(SelectorLoop loop, EngineClient engines) {
        return new BudgetGate(loop, engines, config, process, mailbox);
    }

    @Override
    public String name() {
        return GrantStateMachine.NAME;
    }

    @Override
    public StateMachine stateMachine() {
        return stateMachine;
    }

    @Override
    public Optional<ExpiryMonitor> expiryMonitor() {
        return Optional.of(expiryMonitor);
    }

    @Override
    public void onStart(MemberSession own, LongSupplier clock) {
        session = own;
        coordinatorTask.attach(own);
    }

    @Override
    public void onTick() {
        long current = session.sessionId();
        if (current == 0 || isLeaving) {
            return;
        }
        if (current != joinedSession && current != joiningSession) {
            joiningSession = current;
            isReporting = false;
            session.submit(
                    name(),
                    new BudgetCommand.Join(process).encode(),
                    outcome -> joinCompleted(current, outcome));
        }
        if (current == joinedSession && !isReporting) {
            submitReport(current);
        }
    }

    private void submitReport(long current) {
        BudgetCommand.Renew report = mailbox.takeReport();
        if (report != null) {
            isReporting = true;
            session.submit(name(), report.encode(), outcome -> reportCompleted(current, outcome));
        }
    }

    private void joinCompleted(long joining, CommandOutcome outcome) {
        if (outcome.isAccepted() && session.sessionId() == joining) {
            joinedSession = joining;
            mailbox.joined();
        } else if (joiningSession == joining) {
            joiningSession = 0; // Retried at the next tick.
        }
    }

    private void reportCompleted(long reporting, CommandOutcome outcome) {
        if (reporting != joinedSession) {
            return;
        }
        isReporting = false;
        mailbox.completeReport(reportOutcome(outcome));
    }

    private ReportOutcome reportOutcome(CommandOutcome outcome) {
        if (outcome.isAccepted()) {
            return new ReportOutcome.Renewed(BudgetCommand.RenewalReply.decode(outcome.response()));
        }
        failedReports++;
        return outcome.code().equals(BudgetException.GrantExpired.CODE)
                ? new ReportOutcome.Expired()
                : new ReportOutcome.Failed();
    }

    /** Only a process that is idle may leave: otherwise its sessions go on and must count. */
    @Override
    public void onStopping() {
        if (hasJoined() && mailbox.isIdle()) {
            isLeaving = true;
            session.submit(name(), new BudgetCommand.Leave().encode(), outcome -> {});
        }
    }

    private boolean hasJoined() {
        return joinedSession != 0 && session != null && joinedSession == session.sessionId();
    }

    @Override
    public String metricsJson() {
        return Json.object()
                .add("process", process)
                .add("joined", hasJoined())
                .add("reports_failed", failedReports)
                .add("here", Json.parse(mailbox.metricsJson()))
                .add("fleet", BudgetMetrics.fleet(config.settings(), stateMachine.view()))
                .toString();
    }
}
