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
 * Enforces session budgets in front of another engine client: admits requests by tenant, checks
 * whether a tenant has capacity at an engine, accounts for the sessions that start and end, and
 * publishes reports. All calls are on the front end's loop, and all answers come from memory.
 * Sessions at engines without a pool are not counted.
 */
public final class BudgetGate extends ForwardingEngineClient {
    private static final long NANOS_PER_MICRO = 1_000;

    /** Queued requests are handled once per tick; a longer tick would delay them noticeably. */
    private static final long MAX_TICK_MICROS = 20_000;

    private final SelectorLoop loop;
    private final SessionLedger ledger;
    private final BudgetedEngines engines;
    private final TenantAdmission admission;
    private final EngineCountTracker countTracker;
    private final BudgetReporter reporter;
    private final Map<Attempt, SessionLedger.Session> sessions = new HashMap<>();
    private Gateway gateway;
    private boolean isAdmissionScheduled;

    /**
     * Creates a gate without grants.
     *
     * @param delegate the client to which the gate forwards calls
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
        countTracker = new EngineCountTracker(mailbox);
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

    /** Must be notified of endpoint changes before the delegate is. */
    public RequestListener endpointListener() {
        return new RequestListener() {
            @Override
            public void engineChanged(EngineEndpoint engine) {
                engines.engineChanged(engine, nowNanos());
            }
        };
    }

    @Override
    public void attach(Gateway newGateway) {
        gateway = newGateway;
        admission.attach(newGateway);
        super.attach(newGateway);
        // The member has locked its folder by now, so no other process runs under its name.
        ledger.setExclusiveSince(nowNanos());
        tick(loop.clock().now(), 0);
    }

    private void tick(long nowMicros, long reference) {
        long nextTick = nowMicros + Math.min(reporter.intervalMicros(), MAX_TICK_MICROS);
        loop.deadlines().add(nextTick, this::tick, 0);
        admission.rejectTimedOut();
        reporter.observeDemand(nowNanos());
        admission.admitQueued();
        probeReducedFloors();
        boolean isIdle = sessions.isEmpty() && ledger.unconfirmedCount() == 0;
        reporter.publishIfDue(nowMicros, nowNanos(), isIdle);
    }

    /** Without a quorum only the engines' counts show what earlier incarnations left running. */
    private void probeReducedFloors() {
        for (int slot = 0; slot < engines.slotCount(); slot++) {
            if (engines.isListed(slot) && ledger.isCountDue(slot, nowNanos())) {
                probe(engines.engineId(slot));
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

    /** Checks the capacity again, so that the cap holds even if the router did not check it. */
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

    /** Whether the session has certainly ended at the engine, or never arrived there. */
    private static boolean isEndConfirmed(AttemptOutcome outcome) {
        return outcome != AttemptOutcome.TIMEOUT
                && outcome != AttemptOutcome.CANCELLED
                && outcome != AttemptOutcome.CONNECTION_BROKEN;
    }

    /**
     * Admits at the end of this turn: the router must not get a request while it handles an end.
     */
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
            countTracker.probeSent(engine, now);
        }
        return isSent;
    }

    @Override
    public void loadReported(long engine, LoadReport report) {
        Long requestedAt = countTracker.probeEnded(engine);
        if (report != null && requestedAt != null) {
            engineCounted(engine, report, requestedAt);
        }
        super.loadReported(engine, report);
    }

    /** Applies the engine's count of the sessions of all processes, taken at that time or later. */
    private void engineCounted(long engine, LoadReport report, long requestedAt) {
        Integer slot = engines.slot(engine);
        if (slot == null || Double.isNaN(report.running())) {
            return;
        }
        int running = (int) Math.ceil(report.running());
        ledger.engineCounted(slot, requestedAt, running).forEach(admission::sessionEnded);
        countTracker.countReceived(
                engine, ledger.grantedSessions().incarnation(slot), running, requestedAt);
    }

    /** The process has joined under a new cluster session. */
    private void joined() {
        ledger.joined();
        reporter.scheduleImmediateReport();
    }

    private void reportCompleted(ReportOutcome outcome) {
        if (outcome instanceof ReportOutcome.Renewed renewed) {
            ledger.grantedSessions().applyReply(renewed.reply(), nowNanos());
            if (ledger.grantedSessions().wasGrantLowered()) {
                // Another process may use the capacity only once the lowered grant is acknowledged.
                reporter.scheduleImmediateReport();
            }
        } else if (outcome instanceof ReportOutcome.Expired) {
            ledger.grantedSessions().expire();
        }
        admission.admitQueued();
    }

    /**
     * The coordinator has requested the engines' counts. Probes each engine; one that cannot be
     * probed reports its load with the response to a later attempt.
     */
    private void countsRequested(BudgetMailbox.CountRequest request) {
        for (long engine : engines.engineIds(request.engines())) {
            countTracker.countRequested(engine, request, nowNanos());
            probe(engine);
        }
    }
}
