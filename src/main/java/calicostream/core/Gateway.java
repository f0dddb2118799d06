// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.AffinityRouter;
import calicostream.routing.AttemptOutcome;
import calicostream.routing.AttemptResult;
import calicostream.routing.EndpointUpdate;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import calicostream.routing.LoadReport;
import calicostream.routing.ProgressKind;
import calicostream.routing.Query;
import calicostream.routing.QueryProgress;
import calicostream.routing.QueryRouter;
import calicostream.routing.RouterActions;
import calicostream.routing.RouterSettings;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests, attempts and outcomes between fronts and engines, whatever wires these speak. One
 * thread calls it. It carries out what the decision module asks and holds the promises that no
 * front or engine side may break: one final answer a request, one end an attempt, never two
 * attempts at once, and no second send or refusal of a query that must not run twice once it may
 * have run.
 */
public final class Gateway implements RouterActions {
    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);

    /**
     * us after word of it to an engine that an attempt called off still counts as out there. The
     * next attempt goes by another connection, whose bytes may overtake that word. No final answer
     * waits for this.
     */
    public static final long CANCEL_DELIVERY_MICROS = 10_000;

    /**
     * The end of an attempt that the router is still to hear of.
     *
     * @param result the complete result, or null
     * @param status a final status of the request in place of a result, or null
     */
    private record AttemptEnd(
            Attempt attempt,
            AttemptOutcome outcome,
            LoadReport report,
            RequestResult result,
            FinalStatus status) {}

    private final Clock clock;
    private final Deadlines deadlines;
    private final RouterSettings settings;
    private final QueryRouter router;
    private final RequestListener watcher;
    private final SlotTable<Request> requests = new SlotTable<>();
    private final SlotTable<Attempt> attempts = new SlotTable<>();
    private final Map<Long, EngineEndpoint> endpointsChanged = new HashMap<>();
    private final Set<Long> disabled = new HashSet<>(); // by hand, whatever the list says
    private final Map<Long, Long> restored =
            new HashMap<>(); // engines put back, and when, until they are warm
    private final ArrayDeque<AttemptEnd> ends = new ArrayDeque<>();
    private final RequestMetrics metrics;
    private final Deadlines.Target moduleTimer =
            (now, token) -> tell(r -> r.timerFired(now, token));
    private final Deadlines.Target attemptDue = this::attemptDue;
    private final Deadlines.Target attemptCalledOff = this::attemptCalledOff;
    private final Deadlines.Target requestDue = this::requestDue;
    private final KeyedRequestQueue<Request> keyLines;
    private EngineClient engines;
    private boolean inModule, settling;
    private long faults;

    public Gateway(
            Clock clock, Deadlines deadlines, RouterSettings settings, RequestListener watcher) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.settings = settings;
        this.watcher = watcher;
        router = new AffinityRouter(settings, this);
        metrics = new RequestMetrics(settings.classes().size());
        keyLines =
                new KeyedRequestQueue<>(
                        clock,
                        deadlines,
                        settings.protectionRules().keyQuietPeriodUs(),
                        this::arrive);
    }

    /** How this front end's processes share out keys; before the start. */
    public void attachKeyOwnership(KeyOwnership turns) {
        keyLines.attach(turns);
    }

    /** Starts the module with the engines last known. */
    public void start(EngineClient side, List<EngineEndpoint> known) {
        engines = side;
        engines.attach(this);
        tell(r -> r.start(clock.now()));
        endpointsChanged(EndpointUpdate.CACHED, known);
    }

    // ---- From the fronts
    // ------------------------------------------------------------------------------
    /**
     * Accepts a request. Its answer goes to its response handler, maybe before this returns.
     *
     * @return its handle
     */
    public long accept(IncomingRequest incoming) {
        Query query = incoming.query();
        Request request =
                new Request(incoming, settings.classes().get(query.queryClass()), clock.now());
        request.handle = requests.add(request);
        deadlines.add(request.deadline(), requestDue, request.handle);
        request.query = query.withId(request.handle);
        if (request.isOrderedByKey()) {
            keyLines.add(query.key(), request);
        } else {
            arrive(request);
        }
        return request.handle;
    }

    /**
     * The module hears of it. It may have waited until another process of this front end was done
     * with its key.
     */
    private void arrive(Request request) {
        if (engines.admits(request)) {
            admit(request);
        }
    }

    /** The engine side takes a request to the module that it had kept; it may be over by now. */
    public void admit(Request request) {
        long now = clock.now();
        if (!request.answered && !request.routed) {
            request.routed = true;
            tell(r -> r.queryAccepted(now, request.query.withTimeLeft(request.deadline() - now)));
        }
    }

    /** The engine side turns a request away that it has kept or was just asked to admit. */
    public void reject(Request request, long retryAfterUs) {
        if (!request.routed) {
            reject(request.handle, retryAfterUs);
        }
    }

    private void left(Request request) {
        if (request.isOrderedByKey() && request.activeAttempt == null && !request.leftKeyQueue) {
            request.leftKeyQueue = true;
            keyLines.left(request.query.key(), request);
        }
    }

    /**
     * The client has left or takes no answer any more: nothing is owed, and what is out is called
     * off.
     */
    public void abandon(long handle) {
        Request request = requests.get(handle);
        if (request != null) {
            tell(
                    r -> {
                        close(request, RequestOutcome.ABANDONED);
                        r.queryAbandoned(clock.now(), handle);
                    });
        }
    }

    /**
     * The process ends: what it has in hand is turned away where trying again is harmless, else it
     * has failed.
     */
    public void terminateAll() {
        List<Request> open = new ArrayList<>();
        requests.forEach(open::add);
        open.sort(
                Comparator.comparing(
                        request ->
                                request.activeAttempt
                                        != null)); // Or what waits would take the room of what
        // ends.
        for (Request request : open) {
            tell(
                    r -> {
                        if (request.streaming) { // A part of its result has gone out: its client
                            // can tell that no more comes.
                            close(request, RequestOutcome.FAILED);
                            request.responseHandler()
                                    .failed(request.tag(), FailureReason.STREAM_BROKEN);
                        } else {
                            reject(request.handle, 0);
                        }
                        r.queryAbandoned(clock.now(), request.handle);
                    });
        }
    }

    /** Requests that still wait for their final answer. */
    public int openRequests() {
        return requests.size();
    }

    /**
     * A request turned away before it could be taken, for what it asks of this front end at once.
     */
    public void recordRejection(int queryClass) {
        metrics.requestEnded(queryClass, RequestOutcome.REJECTED);
    }

    // ---- For the operators
    // ----------------------------------------------------------------------------
    public RequestMetrics metrics() {
        return metrics;
    }

    /** Engines in the list, whatever their state. */
    public int listedEngines() {
        return endpointsChanged.size();
    }

    /** Of these, the ones left out now, by hand or by the module, each counted once. */
    public int excludedEngines() {
        return (int)
                endpointsChanged.keySet().stream()
                        .filter(id -> disabled.contains(id) || router.isEjected(id))
                        .count();
    }

    /**
     * Engines that may be used: those that the module leaves out by its own choice, but for trials,
     * or all others.
     */
    public long[] readyEngines(boolean leftOut) {
        return endpointsChanged.values().stream()
                .filter(each -> usable(each).lifecycle() == EngineLifecycle.READY)
                .mapToLong(EngineEndpoint::id)
                .filter(id -> router.isEjected(id) == leftOut)
                .sorted()
                .toArray();
    }

    /**
     * Another front end tries an engine, and was served or not: a hint about when to try it here.
     * It is nothing where the module uses the engine, and stops nothing from going there that would
     * go there without it.
     */
    public void applyEjectionHint(long engine, boolean served) {
        if (router.isEjected(engine) && served) {
            tell(r -> r.engineReinstated(clock.now(), engine));
        } else if (router.isEjected(engine)) {
            tell(r -> r.probeCompleted(clock.now(), engine, AttemptOutcome.CANCELLED, null));
        }
    }

    /** Whether an engine has this id, or had it when it was taken out. */
    public boolean isKnownEngine(long engine) {
        return endpointsChanged.containsKey(engine) || disabled.contains(engine);
    }

    public boolean isDisabled(long engine) {
        return disabled.contains(engine);
    }

    /** Leaves an engine out, whatever the list says of it, until it is enabled. */
    public void disable(long engine) {
        if (disabled.add(engine)) {
            LOG.info("engine {} disabled by hand", Long.toHexString(engine));
            restored.remove(engine);
            hear(endpointsChanged.get(engine));
        }
    }

    /** Puts an engine back as of this time; it has been restarted meanwhile, so it is cold. */
    public void enable(long engine, long at) {
        LOG.info("engine {} enabled by hand", Long.toHexString(engine));
        disabled.remove(engine);
        restored.values()
                .removeIf(each -> clock.now() - each > settings.protectionRules().warmUpUs());
        restored.put(engine, at);
        engines.engineReinstated(engine);
        hear(endpointsChanged.get(engine));
        tell(r -> r.engineReinstated(clock.now(), engine));
    }

    /**
     * So many processes serve this front end's clients together; this one is number {@code place},
     * from 0.
     */
    public void processesChanged(int processes, int place) {
        keyLines.countOthers(clock.now());
        tell(r -> r.processesChanged(clock.now(), processes, place));
    }

    /** What the module has learned that another process of this front end can start with. */
    public double[] learnedRunTimes() {
        return router.learnedRunTimes();
    }

    public void learnedRunTimes(double[] before) {
        tell(r -> r.learnedRunTimes(before));
    }

    private void hear(EngineEndpoint listed) {
        if (listed != null) {
            endpointsChanged(EndpointUpdate.INCREMENTAL, List.of(listed));
        }
    }

    /**
     * An engine as module and engine side may use it: only where neither the list nor an operator
     * forbids it.
     */
    private EngineEndpoint usable(EngineEndpoint listed) {
        boolean ready = listed.lifecycle() == EngineLifecycle.READY;
        if (ready && disabled.contains(listed.id())) {
            return listed.withLifecycle(EngineLifecycle.DRAINING);
        }
        long backAt = restored.getOrDefault(listed.id(), 0L);
        return ready && backAt > listed.startedAtUs() ? listed.withStartTime(backAt) : listed;
    }

    // ---- From the engine side
    // -------------------------------------------------------------------------
    /**
     * An attempt ended. Late word on one that had ended already is ignored, and the answer is
     * false.
     */
    public boolean attemptEnded(
            Attempt attempt, AttemptOutcome outcome, LoadReport report, RequestResult result) {
        return isOut(attempt) && end(attempt, outcome, report, result);
    }

    /** Whether word of it still counts: it has neither ended nor been called off. */
    private boolean isOut(Attempt attempt) {
        return !attempt.cancelled && attempts.get(attempt.handle) != null;
    }

    private boolean end(
            Attempt attempt, AttemptOutcome outcome, LoadReport report, RequestResult result) {
        if (attempts.remove(attempt.handle) == null) {
            return false;
        }
        ends.add(new AttemptEnd(attempt, outcome, report, result, null));
        settle();
        return true;
    }

    /**
     * An attempt ended with a word that is final for its request and says nothing of its engine:
     * the statement can't be run by any, or what it brings is more than the front end passes on.
     */
    public void attemptConcluded(Attempt attempt, LoadReport report, FinalStatus status) {
        if (isOut(attempt)) {
            attempts.remove(attempt.handle);
            ends.add(new AttemptEnd(attempt, AttemptOutcome.CANCELLED, report, null, status));
            settle();
        }
    }

    /**
     * The first of an attempt's result goes to the client before its end is known: no deadline of
     * ours ends it from now on, and its end is the request's, whole or not.
     */
    public void streamBegan(Attempt attempt, ResultStreamHandle stream) {
        Request request = attempt.request();
        if (isOut(attempt) && !request.answered) {
            request.streaming = true;
            request.responseHandler().streamBegan(request.tag(), stream);
            tell(r -> r.streamStarted(clock.now(), request.handle, attempt.number()));
        }
    }

    /** A probe ended; the report is null where none came. */
    public void probeCompleted(long engine, AttemptOutcome outcome, LoadReport report) {
        if (inModule) { // It came of what the module asked for just now.
            deadlines.add(clock.now(), (now, id) -> probeCompleted(id, outcome, report), engine);
        } else {
            engines.loadReported(engine, report);
            tell(r -> r.probeCompleted(clock.now(), engine, outcome, report));
        }
    }

    /**
     * The last byte of an attempt has been written to its engine, whatever has become of it since.
     */
    public void attemptWritten(Attempt attempt) {
        metrics.attemptWritten();
    }

    /**
     * Whether an attempt that has waited on the engine side may go out now. If not, it has ended or
     * is to be ended there as one that never ran. Not to be asked while the module acts.
     */
    public boolean maySend(Attempt attempt) {
        Request request = attempt.request();
        if (isOut(attempt) && request.responseHandler().isClientGone(request.tag())) {
            abandon(request.handle);
        }
        return isOut(attempt) && clock.now() < attempt.latestSendTime;
    }

    /** News of an attempt that still runs. */
    public void attemptProgressed(Attempt attempt, ProgressKind notice, double amount) {
        if (isOut(attempt)) {
            engines.attemptAcknowledged(attempt);
            tell(
                    r ->
                            r.progress(
                                    clock.now(),
                                    new QueryProgress(
                                            attempt.request().handle,
                                            attempt.number(),
                                            notice,
                                            amount)));
        }
    }

    /**
     * News of the list of engines. What has not yet gone out to an engine that drains is taken back
     * first; the module hears of such ends after it has heard the list, so that it does not choose
     * the same engine again.
     */
    public void endpointsChanged(EndpointUpdate kind, List<EngineEndpoint> list) {
        inModule = true;
        try {
            if (kind != EndpointUpdate.INCREMENTAL) {
                Map<Long, EngineEndpoint> old = new HashMap<>(endpointsChanged);
                list.forEach(e -> old.remove(e.id()));
                old.values().forEach(e -> list(e.withLifecycle(EngineLifecycle.REMOVED)));
            }
            list.forEach(this::list);
        } finally {
            inModule = false;
        }
        List<EngineEndpoint> usable = list.stream().map(this::usable).toList();
        tell(r -> r.endpointsChanged(clock.now(), kind, usable));
    }

    private void list(EngineEndpoint engine) {
        EngineEndpoint old =
                engine.lifecycle() == EngineLifecycle.REMOVED
                        ? endpointsChanged.remove(engine.id())
                        : endpointsChanged.put(engine.id(), engine);
        if (!engine.equals(old)) {
            watcher.engineChanged(engine);
        }
        if (usable(engine).lifecycle() == EngineLifecycle.DRAINING) {
            engines.engineDraining(engine.id());
        } else if (engine.lifecycle() == EngineLifecycle.REMOVED) {
            engines.engineRemoved(engine.id());
        }
    }

    // ---- The module's actions
    // -------------------------------------------------------------------------
    @Override
    public void startAttempt(long query, long engine, long giveUpAt) {
        long now = clock.now();
        Request request = requests.get(query);
        if (request == null) {
            LOG.error("send for a request that is over");
            return;
        }
        long until = giveUpAt > 0 ? Math.min(giveUpAt, request.deadline()) : request.deadline();
        Attempt attempt = new Attempt(request, request.attempts, engine, now, until);
        EngineEndpoint listed = endpointsChanged.get(engine);
        boolean ready = listed != null && usable(listed).lifecycle() == EngineLifecycle.READY;
        boolean again = (request.isNonIdempotent() || request.streaming) && request.mayHaveRun;
        attempt.handle = attempts.add(attempt);
        request.attempts++;
        // Neither a second attempt beside one that is out, nor a second run, whatever the module
        // asks.
        if (request.answered
                || request.activeAttempt != null
                || again
                || now >= attempt.latestSendTime
                || request.attempts > settings.attemptLimits().maxAttempts()) {
            attemptEnded(attempt, AttemptOutcome.NOT_STARTED, null, null);
            return;
        }
        if (request.responseHandler()
                .isClientGone(
                        request.tag())) { // What the client said last is still unread: the module
            // hears it by
            // this end.
            close(request, RequestOutcome.ABANDONED);
            attemptEnded(attempt, AttemptOutcome.NOT_STARTED, null, null);
            return;
        }
        if (!ready) {
            attemptEnded(attempt, AttemptOutcome.CONNECT_FAILED, null, null);
            return;
        }
        request.activeAttempt = attempt;
        deadlines.add(until, attemptDue, attempt.handle);
        engines.send(attempt);
    }

    @Override
    public boolean hasTenantCapacity(long query, long engine) {
        Request request = requests.get(query);
        return request == null || engines.hasTenantCapacity(request, engine);
    }

    @Override
    public void cancelAttempt(long query, int number) {
        Request request = requests.get(query);
        if (request != null
                && request.activeAttempt != null
                && request.activeAttempt.number() == number
                && isOut(request.activeAttempt)) {
            Attempt out = request.activeAttempt;
            engines.stop(out);
            out.cancelled = true;
            deadlines.add(clock.now() + CANCEL_DELIVERY_MICROS, attemptCalledOff, out.handle);
        }
    }

    @Override
    public void reject(long query, long retryAfterUs) {
        Request request = requests.get(query);
        if (request == null || request.answered) {
            return;
        }
        boolean neverRan = !request.mayHaveRun && request.activeAttempt == null;
        if (neverRan || request.isSafeToRetryByClient()) {
            close(request, RequestOutcome.REJECTED);
            request.responseHandler().rejected(request.tag(), retryAfterUs / 1000);
        } else { // "Trying again is harmless" would be untrue: say no more than that it failed.
            fail(query);
        }
    }

    @Override
    public void fail(long query) {
        Request request = requests.get(query);
        if (request != null && !request.answered) {
            long slack =
                    4 * settings.tickUs(); // The module ends a query a little before its deadline.
            boolean late = clock.now() + slack >= request.deadline();
            close(request, RequestOutcome.FAILED);
            request.responseHandler()
                    .failed(request.tag(), late ? FailureReason.DEADLINE : FailureReason.ENGINE);
        }
    }

    @Override
    public void assignResources(long query, double memoryMb, int priority) {
        Request request = requests.get(query);
        if (request != null && request.priority != priority) {
            request.priority = priority;
            if (request.activeAttempt != null && isOut(request.activeAttempt)) {
                engines.priorityChanged(request.activeAttempt);
            }
        }
    }

    @Override
    public void scheduleTimer(long delayUs, long token) {
        deadlines.add(clock.now() + delayUs, moduleTimer, token);
    }

    @Override
    public void probeLoad(long engine) {
        EngineEndpoint listed = endpointsChanged.get(engine);
        boolean ready = listed != null && usable(listed).lifecycle() == EngineLifecycle.READY;
        if (!ready || !engines.probe(engine)) { // Told later: the module must not be re-entered.
            deadlines.add(
                    clock.now(),
                    (now, id) -> probeCompleted(id, AttemptOutcome.NOT_STARTED, null),
                    engine);
        }
    }

    @Override
    public void watchEndpoints() {
        // Changes come by themselves: the list of engines is followed from the start.
    }

    @Override
    public void log(String text) {
        LOG.info("{}", text);
    }

    // ---- Endings
    // ---------------------------------------------------------------------------------------
    /**
     * Marks the one final answer; the slot lives on while an attempt is out, so that its end finds
     * it.
     */
    private void close(Request request, RequestOutcome ending) {
        request.answered = true;
        metrics.requestEnded(request.queryClass(), ending);
        watcher.requestEnded(
                request.id(),
                request.queryClass(),
                ending,
                request.attempts,
                clock.now() - request.acceptedAt);
        requests.remove(request.handle);
        if (request.activeAttempt != null) {
            giveUp(request.activeAttempt, AttemptOutcome.CANCELLED);
        } else {
            left(request);
        }
    }

    private void giveUp(Attempt attempt, AttemptOutcome outcome) {
        if (attempts.get(attempt.handle) != null) {
            engines.stop(attempt);
            end(attempt, outcome, null, null);
        }
    }

    /** Its engine has heard by now that it was called off. */
    private void attemptCalledOff(long now, long handle) {
        Attempt attempt = attempts.get(handle);
        if (attempt != null) {
            end(attempt, AttemptOutcome.CANCELLED, null, null);
        }
    }

    private void attemptDue(long now, long handle) {
        Attempt attempt = attempts.get(handle);
        if (attempt != null && !attempt.request().streaming) {
            giveUp(attempt, AttemptOutcome.TIMEOUT);
        }
    }

    /** The last guard against a lost request: the module normally answers just before this. */
    private void requestDue(long now, long handle) {
        Request request = requests.get(handle);
        if (request != null && !request.streaming) {
            tell(
                    r -> {
                        if (request.routed) {
                            fail(handle);
                        } else { // It has waited for its key or for room all the time.
                            reject(handle, 0);
                        }
                        r.queryAbandoned(now, handle);
                    });
        }
    }

    /**
     * Tells the module of ends in order; those that come while it acts wait, as it must not be
     * re-entered.
     */
    private void settle() {
        if (inModule || settling) {
            return;
        }
        settling = true;
        try {
            for (AttemptEnd end = ends.poll(); end != null; end = ends.poll()) {
                settle(end);
            }
        } finally {
            settling = false;
        }
    }

    private void settle(AttemptEnd end) {
        Attempt attempt = end.attempt;
        Request request = attempt.request();
        if (request.activeAttempt == attempt) {
            request.activeAttempt = null;
            request.previousAttempt = attempt;
        }
        if (request.answered) { // It ended before its attempt did.
            left(request);
        }
        request.firstRiskySendAt =
                request.mayHaveRun || !end.outcome.mayHaveRun
                        ? request.firstRiskySendAt
                        : attempt.sentAt();
        request.mayHaveRun |= end.outcome.mayHaveRun;
        engines.attemptEnded(attempt, end.outcome, end.report);
        boolean serves = end.outcome == AttemptOutcome.OK && !request.answered;
        long now = clock.now();
        if (end.status != null && !request.answered) {
            close(request, RequestOutcome.FAILED);
            request.responseHandler().concluded(request.tag(), end.status);
        } else if (request.streaming
                && !serves
                && !request.answered) { // The client has seen a part: no other attempt.
            close(request, RequestOutcome.FAILED);
            request.responseHandler().failed(request.tag(), FailureReason.STREAM_BROKEN);
        } else if (serves) {
            close(request, RequestOutcome.SERVED);
            request.responseHandler().served(request.tag(), end.result);
        }
        tell(
                r ->
                        r.attemptEnded(
                                now,
                                new AttemptResult(
                                        request.handle,
                                        attempt.number(),
                                        attempt.engine(),
                                        end.outcome,
                                        request.answered,
                                        now - attempt.sentAt(),
                                        0,
                                        0,
                                        end.report)));
    }

    private interface Event {
        void to(QueryRouter router);
    }

    /**
     * One event to the module. A fault in it costs that event; the deadline still answers the
     * request.
     */
    private void tell(Event event) {
        inModule = true;
        try {
            event.to(router);
        } catch (RuntimeException e) {
            if (faults++ < 20) {
                LOG.error("the decision module failed", e);
            }
        } finally {
            inModule = false;
        }
        settle();
    }
}
