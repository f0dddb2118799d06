// SPDX-License-Identifier: Apache-2.0
package calicostream.budget.process;

import calicostream.budget.SessionLedger;
import calicostream.cluster.config.BudgetConfig;
import calicostream.core.Attempt;
import calicostream.core.EngineClient;
import calicostream.core.Gateway;
import calicostream.core.Request;
import calicostream.core.RequestListener;
import calicostream.net.SelectorLoop;
import calicostream.routing.AttemptOutcome;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.LoadReport;
import java.util.HashMap;
import java.util.Map;

/**
 * Enforces session budgets in front of another engine client: admits requests by tenant, answers
 * whether a tenant has capacity at an engine, accounts for the sessions that start and end, and
 * publishes reports. All calls are the loop's; it answers from memory. Sessions at engines of no
 * pool are not counted.
 */
public final class BudgetGate extends ForwardingEngineClient {
    private static final long NANOS_PER_MICRO = 1_000;

    /** No longer than a queued request may notice. */
    private static final long MAX_TICK_MICROS = 20_000;

    private final SelectorLoop loop;
    private final SessionLedger ledger;
    private final BudgetedEngines engines;
    private final TenantAdmission admission;
    private final EngineCountTracker counts;
    private final BudgetReporter reporter;
    private final Map<Attempt, SessionLedger.Session> sessions = new HashMap<>();
    private Gateway gateway;
    private boolean isAdmissionScheduled;

    /**
     * A gate that has no grants yet.
     *
     * @param delegate the client that it stands in front of
     * @param process the member's name
     */
    BudgetGate(
            SelectorLoop loop,
            EngineClient delegate,
            BudgetConfig config,
            String process,
            BudgetMailbox mailbox) {
        super(delegate);
        this.loop = loop;
        long maxTransitNanos = config.settings().ttlNanos();
        ledger = new SessionLedger(config.settings(), process, maxTransitNanos, nowNanos());
        engines = new BudgetedEngines(config, ledger, mailbox);
        admission = new TenantAdmission(config, ledger, engines, this::nowNanos);
        counts = new EngineCountTracker(mailbox);
        reporter = new BudgetReporter(config.settings(), ledger, engines, admission, mailbox);
        mailbox.attachGate(
                new BudgetMailbox.GateListener() {
                    @Override
                    public void joined() {
                        loop.post(BudgetGate.this::joined);
                    }

                    @Override
                    public void reportCompleted(ReportOutcome outcome) {
                        loop.post(() -> BudgetGate.this.reportCompleted(outcome));
                    }

                    @Override
                    public void countsRequested(BudgetMailbox.CountRequest request) {
                        loop.post(() -> BudgetGate.this.countsRequested(request));
                    }
                });
    }

    private long nowNanos() {
        return loop.clock().now() * NANOS_PER_MICRO;
    }

    /** Must be notified of endpoints before the client that this one forwards to. */
    public RequestListener endpointListener() {
        return new RequestListener() {
            @Override
            public void engineChanged(EngineEndpoint engine) {
                engines.engineChanged(engine, nowNanos());
            }
        };
    }

    @Override
    public void attach(Gateway to) {
        gateway = to;
        admission.attach(to);
        super.attach(to);
        // The member has locked its folder, and with it the name.
        ledger.exclusiveSince(nowNanos());
        tick(loop.clock().now(), 0);
    }

    private void tick(long nowMicros, long reference) {
        long nextTick = nowMicros + Math.min(reporter.intervalMicros(), MAX_TICK_MICROS);
        loop.deadlines().add(nextTick, this::tick, 0);
        admission.rejectTimedOut();
        reporter.observeDemand(nowNanos());
        admission.admitQueued();
        probeReducedFloors();
        boolean isIdle = sessions.isEmpty() && ledger.unconfirmed() == 0;
        reporter.publishIfDue(nowMicros, nowNanos(), isIdle);
    }

    /** Without a quorum only the engines can tell what an earlier incarnation left running. */
    private void probeReducedFloors() {
        for (int slot = 0; slot < engines.slots(); slot++) {
            if (engines.isListed(slot) && ledger.isCountDue(slot, nowNanos())) {
                probe(engines.id(slot));
            }
        }
    }

    @Override
    public void engineStarted(long engine, long unixMillis) {
        engines.engineStarted(engine, unixMillis);
        super.engineStarted(engine, unixMillis);
    }

    @Override
    public boolean admits(Request request) {
        return admission.admit(request);
    }

    @Override
    public boolean hasTenantCapacity(Request request, long engine) {
        Integer slot = engines.slot(engine);
        return slot == null || mayStart(request, slot);
    }

    private boolean mayStart(Request request, int slot) {
        return ledger.grantedSessions().mayStart(request.tenant(), slot, nowNanos());
    }

    /** Checks the capacity again, so that no cap depends on whether the router has asked. */
    @Override
    public void send(Attempt attempt) {
        Request request = attempt.request();
        Integer slot = engines.slot(attempt.engine());
        admission.requestSent(request);
        if (slot != null) {
            if (!mayStart(request, slot)) {
                gateway.attemptEnded(attempt, AttemptOutcome.OVERLOADED, null, null);
                return;
            }
            sessions.put(attempt, ledger.sessionStarted(request.tenant(), slot));
        }
        super.send(attempt);
    }

    @Override
    public void attemptAcknowledged(Attempt attempt) {
        SessionLedger.Session session = sessions.get(attempt);
        if (session != null) {
            ledger.sessionAcknowledged(session);
        }
    }

    @Override
    public void attemptEnded(Attempt attempt, AttemptOutcome outcome, LoadReport report) {
        SessionLedger.Session session = sessions.remove(attempt);
        if (session == null) {
            return;
        }
        if (ledger.sessionEnded(session, isEndConfirmed(outcome), nowNanos())) {
            admission.sessionEnded(attempt.request().tenant());
        }
        if (report != null) {
            engineCounted(attempt.engine(), report, attempt.sentAt() * NANOS_PER_MICRO);
        }
        scheduleAdmission();
    }

    /** Whether the session is over at the engine too, or never arrived there. */
    private static boolean isEndConfirmed(AttemptOutcome outcome) {
        return outcome != AttemptOutcome.TIMEOUT
                && outcome != AttemptOutcome.CANCELLED
                && outcome != AttemptOutcome.CONNECTION_BROKEN;
    }

    /** Admits later in this turn: the router must not get a request while it handles an end. */
    private void scheduleAdmission() {
        if (!isAdmissionScheduled && admission.hasQueued()) {
            isAdmissionScheduled = true;
            loop.runBeforeSelect(
                    () -> {
                        isAdmissionScheduled = false;
                        admission.admitQueued();
                    });
        }
    }

    @Override
    public boolean probe(long engine) {
        long now = nowNanos();
        boolean isSent = super.probe(engine);
        if (isSent) {
            counts.probeSent(engine, now);
        }
        return isSent;
    }

    @Override
    public void loadReported(long engine, LoadReport report) {
        Long askedAt = counts.probeEnded(engine);
        if (report != null && askedAt != null) {
            engineCounted(engine, report, askedAt);
        }
        super.loadReported(engine, report);
    }

    /** The engine's number of sessions, of all processes together, as of that time or later. */
    private void engineCounted(long engine, LoadReport report, long askedAt) {
        Integer slot = engines.slot(engine);
        if (slot == null || Double.isNaN(report.running())) {
            return;
        }
        int running = (int) Math.ceil(report.running());
        ledger.engineCounted(slot, askedAt, running).forEach(admission::sessionEnded);
        counts.counted(engine, ledger.grantedSessions().incarnation(slot), running, askedAt);
    }

    /** The process has joined under a new cluster session. */
    private void joined() {
        ledger.joined();
        reporter.reportSoon();
    }

    private void reportCompleted(ReportOutcome outcome) {
        if (outcome instanceof ReportOutcome.Renewed renewed) {
            ledger.grantedSessions().applyReply(renewed.reply(), nowNanos());
            if (ledger.grantedSessions().isReclaimed()) {
                // The sooner this is acknowledged, the sooner another process may use it.
                reporter.reportSoon();
            }
        } else if (outcome instanceof ReportOutcome.Expired) {
            ledger.grantedSessions().expire();
        }
        admission.admitQueued();
    }

    /**
     * The coordinator wants the engines' own counts: those that can be probed are, the others
     * report with a response to what is sent from now on.
     */
    private void countsRequested(BudgetMailbox.CountRequest request) {
        for (long engine : engines.idsOf(request.engines())) {
            counts.countRequested(engine, request, nowNanos());
            probe(engine);
        }
    }
}
