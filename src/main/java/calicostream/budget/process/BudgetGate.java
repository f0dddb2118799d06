// SPDX-License-Identifier: Apache-2.0
package calicostream.budget.process;

import calicostream.budget.BudgetException;
import calicostream.budget.BudgetSettings;
import calicostream.budget.DemandEstimator;
import calicostream.budget.QueuedDemand;
import calicostream.budget.SessionLedger;
import calicostream.budget.TenantQueues;
import calicostream.budget.TenantRules;
import calicostream.cluster.config.BudgetConfig;
import calicostream.core.Attempt;
import calicostream.core.EngineClient;
import calicostream.core.Gateway;
import calicostream.core.Request;
import calicostream.core.RequestListener;
import calicostream.net.SelectorLoop;
import calicostream.routing.AttemptOutcome;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import calicostream.routing.LoadReport;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Stands before the engine side: keeps requests back whose tenant has no room, says yes or no for
 * an engine, counts what begins and ends, and makes the reports. All calls are the loop's; it
 * answers from memory and asks nobody. Engines of no pool are let through uncounted.
 */
public final class BudgetGate implements EngineClient {
    private static final long MICRO = 1_000; // ns
    private static final int REPORTS = 5; // a lease
    private static final long TICK = 20_000; // us: no longer than what a request may notice

    private record Asked(BudgetMailbox.CountRequest ask, long at) {}

    private final SelectorLoop loop;
    private final EngineClient engines;
    private final BudgetConfig config;
    private final BudgetSettings settings;
    private final BudgetMailbox wire;
    private final Map<Long, Integer> slots = new HashMap<>();
    private final List<Long> ids = new ArrayList<>();
    private final Map<Long, Long> began = new HashMap<>();
    private final Map<Long, EngineEndpoint> listed = new HashMap<>();
    private final Map<String, Long> gone = new HashMap<>();
    private final Map<Attempt, SessionLedger.Session> begun = new HashMap<>();
    private final List<Set<Request>> admitted = new ArrayList<>();
    private final Map<Long, Request> kept = new HashMap<>();
    private final Map<Long, Asked> asks = new HashMap<>();
    private final Map<Long, ArrayDeque<Long>> probes = new HashMap<>();
    private final TenantQueues queues;
    private final DemandEstimator demand;
    private final SessionLedger ledger;
    private final long reportMicros;
    private Gateway gateway;
    private int uncounted;
    private long numbers;
    private long reportAt;
    private long refused;
    private boolean serving;

    /**
     * @param process the member's name; @param engines what it stands before
     */
    BudgetGate(
            SelectorLoop loop,
            EngineClient engines,
            BudgetConfig config,
            String process,
            BudgetMailbox wire) {
        this.loop = loop;
        this.engines = engines;
        this.config = config;
        this.settings = config.settings();
        this.wire = wire;
        int tenants = settings.tenants().size();
        for (int t = 0; t < tenants; t++) {
            admitted.add(new HashSet<>());
        }
        ledger = new SessionLedger(settings, process, settings.ttlNanos(), now());
        queues = new TenantQueues(settings, config.maxQueuedPerTenant(), 1);
        demand = new DemandEstimator(tenants, settings.ttlNanos() / 2);
        reportMicros = Math.max(10_000, settings.ttlNanos() / MICRO / REPORTS);
        wire.attachGate(
                () -> loop.post(this::joined),
                answer -> loop.post(() -> answered(answer)),
                ask -> loop.post(() -> ask(ask)));
    }

    private long now() {
        return loop.clock().now() * MICRO;
    }

    // ---- The list
    // ------------------------------------------------------------------------------------------
    /** Hears of the list before the engine side does. */
    public RequestListener watcher() {
        return new RequestListener() {
            @Override
            public void engineChanged(EngineEndpoint engine) {
                listed(engine);
            }
        };
    }

    @Override
    public void engineStarted(long engine, long unixMillis) {
        began.put(engine, unixMillis);
        engines.engineStarted(engine, unixMillis);
    }

    private void listed(EngineEndpoint engine) {
        if (engine.lifecycle() == EngineLifecycle.REMOVED) {
            listed.remove(engine.id());
            gone.put(name(engine.id()), incarnation(engine.id()));
        } else {
            gone.remove(name(engine.id()));
            listed.put(engine.id(), engine);
        }
        Optional<String> pool = config.poolOfEngineKind(engine.kind());
        if (pool.isPresent() && engine.lifecycle() != EngineLifecycle.REMOVED) {
            Integer known = slots.get(engine.id());
            int slot =
                    known != null
                            ? known
                            : ledger.grantedSessions()
                                    .registerEngine(name(engine.id()), pool.get());
            if (known == null) {
                slots.put(engine.id(), slot);
                ids.add(engine.id());
            }
            ledger.engineConnected(slot, incarnation(engine.id()), now());
        }
        uncounted =
                (int)
                        listed.values().stream()
                                .filter(each -> config.poolOfEngineKind(each.kind()).isEmpty())
                                .count();
        wire.publishEngines(
                listed.values().stream()
                        .filter(each -> config.poolOfEngineKind(each.kind()).isPresent())
                        .map(
                                each ->
                                        new BudgetMailbox.ListedEngine(
                                                name(each.id()),
                                                incarnation(each.id()),
                                                config.poolOfEngineKind(each.kind()).get(),
                                                config.enginePools()
                                                        .get(
                                                                config.poolOfEngineKind(each.kind())
                                                                        .get())
                                                        .engineCap()))
                        .toList(),
                gone);
    }

    /** Its process's start by the list's word, which all processes read alike. */
    private long incarnation(long engine) {
        return began.getOrDefault(engine, 0L) + 1;
    }

    private static String name(long engine) {
        return Long.toHexString(engine);
    }

    // ---- Requests
    // ------------------------------------------------------------------------------------------
    @Override
    public boolean admits(Request request) {
        request.assignTenant(
                config.tenants()
                        .tenantOf(
                                new TenantRules.RequestAttributes(
                                        null,
                                        request.responseHandler().login(request.tag()),
                                        request.responseHandler().catalog(request.tag()),
                                        request.responseHandler().localAddress(request.tag()),
                                        request.responseHandler().clientAddress(request.tag()))));
        if (queues.queued(request.tenant(), 0) == 0 && mayAdmit(request.tenant())) {
            admitted.get(request.tenant()).add(request);
            return true;
        }
        try {
            long number = ++numbers;
            queues.offer(request.tenant(), 0, number, now(), config.maxQueueDelay().toNanos());
            kept.put(number, request);
        } catch (BudgetException.NoRoom noRoom) {
            refused++;
            gateway.reject(request, noRoom.returnAfterNanos() / MICRO);
        }
        return false;
    }

    /**
     * No more of a tenant's requests are with the module than could be sent: they can't crowd out
     * another's.
     */
    private boolean mayAdmit(int tenant) {
        Set<Request> with = admitted.get(tenant);
        int free =
                uncounted > 0
                        ? Integer.MAX_VALUE
                        : ledger.grantedSessions().headroom(tenant, now());
        if (with.size() >= free) {
            with.removeIf(Request::isAnswered);
        }
        return with.size() < free;
    }

    @Override
    public boolean hasTenantCapacity(Request request, long engine) {
        Integer slot = slots.get(engine);
        return slot == null || ledger.grantedSessions().mayStart(request.tenant(), slot, now());
    }

    @Override
    public void send(Attempt attempt) {
        Integer slot = slots.get(attempt.engine());
        admitted.get(attempt.request().tenant()).remove(attempt.request());
        if (slot != null) {
            if (!ledger.grantedSessions()
                    .mayStart(
                            attempt.request().tenant(), slot, now())) { // whatever the module asks
                gateway.attemptEnded(attempt, AttemptOutcome.OVERLOADED, null, null);
                return;
            }
            begun.put(attempt, ledger.sessionStarted(attempt.request().tenant(), slot));
        }
        engines.send(attempt);
    }

    @Override
    public void attemptAcknowledged(Attempt attempt) {
        SessionLedger.Session session = begun.get(attempt);
        if (session != null) {
            ledger.sessionAcknowledged(session);
        }
    }

    @Override
    public void attemptEnded(Attempt attempt, AttemptOutcome outcome, LoadReport report) {
        SessionLedger.Session session = begun.remove(attempt);
        if (session == null) {
            return;
        }
        boolean known =
                outcome != AttemptOutcome.TIMEOUT
                        && outcome != AttemptOutcome.CANCELLED
                        && outcome != AttemptOutcome.CONNECTION_BROKEN;
        if (ledger.sessionEnded(session, known, now())) {
            queues.sessionEnded(attempt.request().tenant(), now());
        }
        if (report != null) {
            counted(attempt.engine(), report, attempt.sentAt() * MICRO);
        }
        soon();
    }

    @Override
    public void loadReported(long engine, LoadReport report) {
        ArrayDeque<Long> open = probes.getOrDefault(engine, new ArrayDeque<>());
        Long oldest = open.peekFirst(); // It may be the answer to that one.
        open.pollLast();
        if (report != null && oldest != null) {
            counted(engine, report, oldest);
        }
        engines.loadReported(engine, report);
    }

    /** How many sessions the engine runs of all processes together, as of that time or later. */
    private void counted(long engine, LoadReport report, long askedAt) {
        Integer slot = slots.get(engine);
        if (slot == null || Double.isNaN(report.running())) {
            return;
        }
        int running = (int) Math.ceil(report.running());
        ledger.engineCounted(slot, askedAt, running)
                .forEach(tenant -> queues.sessionEnded(tenant, now()));
        Asked asked = asks.get(engine);
        if (asked != null
                && askedAt
                        >= asked.at) { // A question from before proves nothing of what began since.
            asks.remove(engine);
            wire.publishCount(
                    name(engine),
                    new BudgetMailbox.EngineCount(
                            ledger.grantedSessions().incarnation(slot),
                            running,
                            asked.ask.knownIndex()));
        }
    }

    // ---- Waiting
    // -------------------------------------------------------------------------------------------
    /**
     * Once what runs now has returned: the module must not hear of a request in the middle of an
     * end.
     */
    private void soon() {
        if (!serving && !kept.isEmpty()) {
            serving = true;
            loop.runBeforeSelect(
                    () -> {
                        serving = false;
                        serve();
                    });
        }
    }

    private void serve() {
        for (long number = next(); number >= 0; number = next()) {
            Request request = kept.remove(number);
            if (!request.isAnswered()) {
                admitted.get(request.tenant()).add(request);
                gateway.admit(request);
            }
        }
    }

    private long next() {
        return queues.poll(0, this::mayAdmit, tenant -> ledger.grantedSessions().sessions(tenant));
    }

    private void turnAwayTheImpatient() {
        for (int t = 0; t < settings.tenants().size(); t++) {
            for (long number : queues.removeTimedOut(t, now())) {
                refused++;
                gateway.reject(
                        kept.remove(number), queues.rejection(t, now()).returnAfterNanos() / MICRO);
            }
        }
    }

    // ---- Reports
    // -------------------------------------------------------------------------------------------
    @Override
    public void attach(Gateway to) {
        gateway = to;
        engines.attach(to);
        ledger.exclusiveSince(now()); // the member has its folder, and with it the name
        tick(loop.clock().now(), 0);
    }

    private void tick(long now, long ref) {
        loop.deadlines().add(now + Math.min(reportMicros, TICK), this::tick, 0);
        turnAwayTheImpatient();
        observe();
        serve();
        lookAtNarrowedFloors();
        if (now >= reportAt) {
            reportAt = now + reportMicros;
            if (ledger.hasJoined()) {
                wire.publishReport(ledger.grantedSessions().nextReport(now(), demand));
            }
            wire.publishMetrics(
                    BudgetMetrics.of(
                            settings,
                            ledger.grantedSessions(),
                            queues,
                            ids.stream().map(BudgetGate::name).toList(),
                            ledger.unconfirmed(),
                            refused),
                    begun.isEmpty() && ledger.unconfirmed() == 0);
        }
    }

    private void observe() {
        int[] caps =
                ids.stream()
                        .mapToInt(
                                id ->
                                        listed.containsKey(id)
                                                ? config.enginePools()
                                                        .get(
                                                                config.poolOfEngineKind(
                                                                                listed.get(id)
                                                                                        .kind())
                                                                        .orElseThrow())
                                                        .engineCap()
                                                : 0)
                        .toArray();
        for (int t = 0; t < settings.tenants().size(); t++) {
            admitted.get(t).removeIf(Request::isAnswered);
            int[] waiting =
                    QueuedDemand.distribute(queues.queued(t, 0) + admitted.get(t).size(), caps);
            for (int slot = 0; slot < caps.length; slot++) {
                demand.observe(
                        t, slot, ledger.grantedSessions().sessions(t, slot), waiting[slot], now());
            }
        }
    }

    /** Without a quorum only the engines themselves can tell what an earlier start left there. */
    private void lookAtNarrowedFloors() {
        for (int slot = 0; slot < ids.size(); slot++) {
            if (listed.containsKey(ids.get(slot)) && ledger.isCountDue(slot, now())) {
                probe(ids.get(slot));
            }
        }
    }

    /** Under a new session. */
    private void joined() {
        ledger.joined();
        reportAt = 0;
    }

    private void answered(BudgetMailbox.ReportOutcome answer) {
        if (answer.reply() != null) {
            ledger.grantedSessions().applyReply(answer.reply(), now());
            reportAt =
                    ledger.grantedSessions().isReclaimed()
                            ? 0
                            : reportAt; // the sooner that is known, the sooner another may use it
        } else if (answer.isExpired()) {
            ledger.grantedSessions().expire();
        }
        serve();
    }

    /**
     * The arbiter wants the engines' own counts: those that can be asked are, the others tell with
     * an answer that goes out from now on.
     */
    private void ask(BudgetMailbox.CountRequest ask) {
        for (Map.Entry<Long, Integer> each : slots.entrySet()) {
            if (ask.engines().contains(name(each.getKey()))) {
                asks.put(each.getKey(), new Asked(ask, now()));
                probe(each.getKey());
            }
        }
    }

    // ---- Passed on
    // -----------------------------------------------------------------------------------------
    @Override
    public void setAddress(long engine, InetSocketAddress address) {
        engines.setAddress(engine, address);
    }

    @Override
    public void stop(Attempt attempt) {
        engines.stop(attempt);
    }

    @Override
    public boolean probe(long engine) {
        long now = now();
        boolean asked = engines.probe(engine);
        if (asked) {
            probes.computeIfAbsent(engine, id -> new ArrayDeque<>()).add(now);
        }
        return asked;
    }

    @Override
    public void setMaxConnections(int connections) {
        engines.setMaxConnections(connections);
    }

    @Override
    public void priorityChanged(Attempt attempt) {
        engines.priorityChanged(attempt);
    }

    @Override
    public void engineDraining(long engine) {
        engines.engineDraining(engine);
    }

    @Override
    public void engineReinstated(long engine) {
        engines.engineReinstated(engine);
    }

    @Override
    public void engineRemoved(long engine) {
        engines.engineRemoved(engine);
    }
}
