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
 * Session budgets as a replicated service of a member: joins under each new cluster session,
 * submits the gate's reports one at a time, and passes their outcomes to the gate. Must be used on
 * the member's thread, except for {@link #gate}.
 */
public final class BudgetService implements ReplicatedService {
    private final BudgetConfig config;
    private final String process;
    private final BudgetMailbox mailbox = new BudgetMailbox();
    private final GrantStateMachine stateMachine;
    private final GrantExpiryMonitor expiryMonitor;
    private final GrantCoordinatorTask coordinatorTask;
    private MemberSession session;

    /** Id of the cluster session under which the process has joined; 0 if none. */
    private long joinedSession;

    /** Id of the cluster session under which the process is joining; 0 if none. */
    private long joiningSession;

    private boolean isReporting;
    private boolean isLeaving;
    private long failedReports;

    /**
     * Creates the service of a member that has not started.
     *
     * @param process this member's name; the settings define whether it has floors
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

    /** Creates the gate in front of the engine client. Called once, before the member starts. */
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
    public void onStart(MemberSession memberSession, LongSupplier clock) {
        session = memberSession;
        coordinatorTask.attach(memberSession);
    }

    @Override
    public void onTick() {
        long currentSession = session.sessionId();
        if (currentSession == 0 || isLeaving) {
            return;
        }
        if (currentSession != joinedSession && currentSession != joiningSession) {
            joiningSession = currentSession;
            isReporting = false;
            session.submit(
                    name(),
                    new BudgetCommand.Join(process).encode(),
                    outcome -> joinCompleted(currentSession, outcome));
        }
        if (currentSession == joinedSession && !isReporting) {
            submitReport(currentSession);
        }
    }

    private void submitReport(long currentSession) {
        BudgetCommand.Renew report = mailbox.takeReport();
        if (report != null) {
            isReporting = true;
            session.submit(
                    name(), report.encode(), outcome -> reportCompleted(currentSession, outcome));
        }
    }

    private void joinCompleted(long joinSession, CommandOutcome outcome) {
        if (outcome.isAccepted() && session.sessionId() == joinSession) {
            joinedSession = joinSession;
            mailbox.joined();
        } else if (joiningSession == joinSession) {
            joiningSession = 0; // Retried at the next tick.
        }
    }

    private void reportCompleted(long reportSession, CommandOutcome outcome) {
        if (reportSession != joinedSession) {
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

    /** Leaves only if the process is idle; otherwise its sessions still run and must count. */
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
