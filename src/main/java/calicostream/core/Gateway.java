// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.AffinityRouter;
import calicostream.routing.AttemptOutcome;
import calicostream.routing.EndpointUpdate;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.LoadReport;
import calicostream.routing.ProgressKind;
import calicostream.routing.RouterActions;
import calicostream.routing.RouterSettings;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests, attempts and outcomes between protocol servers and engine clients, whatever protocols
 * these speak: the facade that both sides, the operators' tools and the router call. One thread.
 *
 * <p>It carries out what the router asks and keeps the promises that no protocol server or engine
 * client may break: one final answer a request, one end an attempt, never two attempts at once, and
 * neither a second send nor a rejection of a non-idempotent query once it may have run. {@link
 * RequestLifecycle} and {@link AttemptLifecycle} hold these promises.
 */
public final class Gateway implements RouterActions {
    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);

    /**
     * How long a cancelled attempt still counts as in flight after its engine was sent the
     * cancellation. The next attempt goes by another connection, whose bytes may overtake the
     * cancellation. No final answer waits for this.
     */
    public static final long CANCEL_DELIVERY_MICROS = 10_000;

    private final Clock clock;
    private final Deadlines deadlines;
    private final RouterDriver router;
    private final EndpointTable endpoints;
    private final EngineAdministration administration;
    private final LoadProbes probes;
    private final RequestLifecycle requests;
    private final AttemptLifecycle attempts;
    private final Deadlines.Target routerTimer;

    /**
     * A gateway that is not started.
     *
     * @param deadlines run by the thread that calls the gateway
     * @param listener notified of final answers and of changes to engines
     */
    public Gateway(
            Clock clock, Deadlines deadlines, RouterSettings settings, RequestListener listener) {
        this.clock = clock;
        this.deadlines = deadlines;
        router = new RouterDriver(new AffinityRouter(settings, this), this::deliverAttemptEnds);
        endpoints = new EndpointTable(settings.protectionRules().warmUpUs());
        administration = new EngineAdministration(clock, endpoints, router, listener);
        probes = new LoadProbes(clock, deadlines, endpoints, router);
        requests = new RequestLifecycle(clock, deadlines, settings, router, listener);
        attempts = new AttemptLifecycle(clock, deadlines, settings, router, requests, endpoints);
        requests.attach(attempts);
        routerTimer = (now, token) -> router.deliver(r -> r.timerFired(now, token));
    }

    private void deliverAttemptEnds() {
        attempts.deliverEnds();
    }

    /** Sets how the processes of this front end share keys; before the start. */
    public void attachKeyOwnership(KeyOwnership ownership) {
        requests.keyQueue().attach(ownership);
    }

    /**
     * Starts the router.
     *
     * @param engines the way to the engines
     * @param known the engines last known
     */
    public void start(EngineClient engines, List<EngineEndpoint> known) {
        administration.attach(engines);
        probes.attach(engines);
        requests.attach(engines);
        attempts.attach(engines);
        engines.attach(this);
        router.deliver(r -> r.start(clock.now()));
        administration.endpointsChanged(EndpointUpdate.CACHED, known);
    }

    // ---- From protocol servers

    /**
     * Accepts a request. Its answer goes to its response handler, maybe before this returns.
     *
     * @return its handle
     */
    public long accept(IncomingRequest incoming) {
        return requests.accept(incoming);
    }

    /**
     * The client has left or takes no answer any more: no answer is owed, and an attempt in flight
     * is cancelled.
     */
    public void abandon(long handle) {
        requests.abandon(handle);
    }

    /** Counts a request that was rejected before it was accepted, for this front end's limits. */
    public void recordRejection(int queryClass) {
        requests.metrics().recordRequestEnd(queryClass, RequestOutcome.REJECTED);
    }

    /**
     * Answers all open requests, as the process ends: those that may safely be sent again are
     * rejected, the others fail.
     */
    public void terminateAll() {
        requests.terminateAll();
    }

    /** The number of requests without a final answer. */
    public int openRequests() {
        return requests.openRequests();
    }

    // ---- From engine clients

    /** Passes a request on to the router that {@link EngineClient#admits} kept back. */
    public void admit(Request request) {
        requests.admit(request);
    }

    /** Rejects a request that {@link EngineClient#admits} kept back, or was just asked for. */
    public void reject(Request request, long retryAfterUs) {
        requests.rejectQueued(request, retryAfterUs);
    }

    /**
     * An attempt ended.
     *
     * @param report the engine's load report, or null
     * @param result the complete result, or null
     * @return false: it had been cancelled or had ended before, and this end is ignored
     */
    public boolean attemptEnded(
            Attempt attempt, AttemptOutcome outcome, LoadReport report, RequestResult result) {
        return attempts.reportEnd(new AttemptEnd(attempt, outcome, report, result, null));
    }

    /**
     * An attempt ended with a status that is final for its request and says nothing of its engine:
     * no engine can run the statement, or its result is larger than the front end forwards.
     */
    public void attemptConcluded(Attempt attempt, LoadReport report, FinalStatus status) {
        attempts.reportEnd(new AttemptEnd(attempt, AttemptOutcome.CANCELLED, report, null, status));
    }

    /**
     * The first part of an attempt's result goes to the client before its end is known: no deadline
     * of the gateway's ends it from now on, and its end is the request's, complete or not.
     */
    public void streamBegan(Attempt attempt, ResultStreamHandle stream) {
        attempts.streamBegan(attempt, stream);
    }

    /** An attempt that still runs made progress. */
    public void attemptProgressed(Attempt attempt, ProgressKind kind, double amount) {
        attempts.progressed(attempt, kind, amount);
    }

    /** The last byte of an attempt was written to its engine, whatever became of it since. */
    public void attemptWritten(Attempt attempt) {
        requests.metrics().recordAttemptWritten();
    }

    /**
     * Whether an attempt that has waited in the engine client may be sent now. If not, it has
     * ended, or the engine client ends it as one that never ran. Must not be called while the
     * router acts.
     */
    public boolean maySend(Attempt attempt) {
        return attempts.maySend(attempt);
    }

    /** A load probe ended; the report is null where none came. */
    public void probeCompleted(long engine, AttemptOutcome outcome, LoadReport report) {
        probes.completed(engine, outcome, report);
    }

    // ---- From discovery and operators

    /**
     * The endpoint list changed. What has not been sent to an engine that drains is taken back
     * before the router is notified of the list.
     */
    public void endpointsChanged(EndpointUpdate kind, List<EngineEndpoint> list) {
        administration.endpointsChanged(kind, list);
    }

    /** What has become of requests and attempts so far. */
    public RequestMetrics metrics() {
        return requests.metrics();
    }

    /** The number of engines in the endpoint list, whatever their state. */
    public int listedEngines() {
        return endpoints.listed().size();
    }

    /** The number of these that are disabled or ejected now, each counted once. */
    public int excludedEngines() {
        return administration.excludedEngines();
    }

    /**
     * The ids of the engines that neither the list nor an operator forbids to use, ascending.
     *
     * @param ejected only those that the router has ejected, else only the others
     */
    public long[] readyEngines(boolean ejected) {
        return administration.readyEngines(ejected);
    }

    /**
     * Another front end probed an engine: a hint when to probe it here. It does nothing where the
     * router has not ejected the engine, and keeps nothing away from the engine.
     *
     * @param served whether the engine served the other front end
     */
    public void applyEjectionHint(long engine, boolean served) {
        administration.applyEjectionHint(engine, served);
    }

    /** Whether an engine has this id, or had it when it was disabled. */
    public boolean isKnownEngine(long engine) {
        return endpoints.isKnown(engine);
    }

    /** Whether an operator has disabled the engine. */
    public boolean isDisabled(long engine) {
        return endpoints.isDisabled(engine);
    }

    /** Disables an engine, whatever the endpoint list says of it, until it is enabled. */
    public void disable(long engine) {
        administration.disable(engine);
    }

    /** Enables an engine as of a time; it was restarted meanwhile, so it has to warm up. */
    public void enable(long engine, long at) {
        administration.enable(engine, at);
    }

    // ---- From the other processes of this front end

    /**
     * So many processes serve this front end's clients together.
     *
     * @param place the number of this one among them, from 0
     */
    public void processesChanged(int processes, int place) {
        requests.keyQueue().countOtherProcesses(clock.now());
        router.deliver(r -> r.processesChanged(clock.now(), processes, place));
    }

    /** The run times by query class that the router has learned, for another process. */
    public double[] learnedRunTimes() {
        return router.learnedRunTimes();
    }

    /** The run times that another process has learned. */
    public void learnedRunTimes(double[] byQueryClass) {
        router.deliver(r -> r.restoreLearnedRunTimes(byQueryClass));
    }

    // ---- The router's actions

    @Override
    public void startAttempt(long query, long engine, long giveUpAt) {
        attempts.start(query, engine, giveUpAt);
    }

    @Override
    public boolean hasTenantCapacity(long query, long engine) {
        return requests.hasTenantCapacity(query, engine);
    }

    @Override
    public void cancelAttempt(long query, int number) {
        attempts.cancel(query, number);
    }

    @Override
    public void reject(long query, long retryAfterUs) {
        requests.reject(query, retryAfterUs);
    }

    @Override
    public void fail(long query) {
        requests.fail(query);
    }

    @Override
    public void assignResources(long query, double memoryMb, int priority) {
        requests.setPriority(query, priority);
    }

    @Override
    public void scheduleTimer(long delayUs, long token) {
        deadlines.add(clock.now() + delayUs, routerTimer, token);
    }

    @Override
    public void probeLoad(long engine) {
        probes.start(engine);
    }

    @Override
    public void watchEndpoints() {
        // Updates come unasked: discovery watches the endpoint list from the start.
    }

    @Override
    public void log(String text) {
        LOG.info("{}", text);
    }
}
