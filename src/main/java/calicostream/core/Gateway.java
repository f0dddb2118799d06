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
 * The facade between protocol servers, engine clients, the operators' tools and the router. It
 * passes requests, attempts and outcomes between them, independently of their protocols. Not
 * thread-safe.
 *
 * <p>The gateway executes the router's actions and enforces these invariants, whatever a protocol
 * server or an engine client does: each request gets one final answer, each attempt ends once, a
 * request never has two concurrent attempts, and a non-idempotent query that may have run is
 * neither sent again nor rejected. {@link RequestLifecycle} and {@link AttemptLifecycle} implement
 * them.
 */
public final class Gateway implements RouterActions {
    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);

    /**
     * How long a cancelled attempt is still counted as in flight after the cancellation was sent.
     * The next attempt uses another connection, whose bytes could overtake the cancellation. Final
     * answers are not delayed by it.
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
    private final Deadlines.Callback routerTimerCallback;

    /**
     * Creates a gateway that is not started.
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
        routerTimerCallback = (now, token) -> router.deliver(r -> r.timerFired(now, token));
    }

    private void deliverAttemptEnds() {
        attempts.deliverEnds();
    }

    /** Sets how the processes of this front end share ordered keys; called before the start. */
    public void attachKeyOwnership(KeyOwnership ownership) {
        requests.keyQueue().attach(ownership);
    }

    /** Sets how the processes of this front end share request ids; called before the start. */
    public void attachPeerRequestIds(PeerRequestIds peerRequestIds) {
        requests.attach(peerRequestIds);
    }

    /**
     * Starts the router.
     *
     * @param engines the client that sends attempts to the engines
     * @param cachedEngines the engines of the last endpoint list that this front end stored
     */
    public void start(EngineClient engines, List<EngineEndpoint> cachedEngines) {
        administration.attach(engines);
        probes.attach(engines);
        requests.attach(engines);
        attempts.attach(engines);
        engines.attach(this);
        router.deliver(r -> r.start(clock.now()));
        administration.endpointsChanged(EndpointUpdate.CACHED, cachedEngines);
    }

    // Called by protocol servers

    /**
     * Accepts a request. Its response handler gets the final answer, possibly before this method
     * returns.
     *
     * @return the handle of the request
     */
    public long accept(IncomingRequest incoming) {
        return requests.accept(incoming);
    }

    /**
     * Abandons a request whose client has disconnected or cancelled it: no answer is delivered, and
     * an attempt in flight is cancelled.
     */
    public void abandon(long handle) {
        requests.abandon(handle);
    }

    /**
     * Whether a request with this id may have run, must not run again, and failed or was left by
     * its client. A server must not accept the id another time. What other processes of this front
     * end know is not considered: {@link #accept} fails a request by that.
     */
    public boolean mayHaveRunBefore(String requestId) {
        return requests.mayHaveRunBefore(requestId);
    }

    /** Counts a request that a limit of this front end rejected before it was accepted. */
    public void recordRejection(int queryClass) {
        requests.metrics().recordRequestEnd(queryClass, RequestOutcome.REJECTED);
    }

    /**
     * Answers all open requests before the process ends: requests that the client may safely send
     * again are rejected, the others fail.
     */
    public void terminateAll() {
        requests.terminateAll();
    }

    /** Returns the number of requests without a final answer. */
    public int openRequests() {
        return requests.openRequests();
    }

    // Called by engine clients

    /** Passes a request to the router that {@link EngineClient#admits} did not admit before. */
    public void admit(Request request) {
        requests.admit(request);
    }

    /**
     * Rejects a request that {@link EngineClient#admits} did not admit; may be called from inside
     * that method.
     */
    public void reject(Request request, long retryAfterUs) {
        requests.rejectQueued(request, retryAfterUs);
    }

    /**
     * Reports the end of an attempt.
     *
     * @param report the engine's load report, or null
     * @param result the complete result, or null
     * @return false if the report is ignored because the attempt was cancelled or has ended before
     */
    public boolean attemptEnded(
            Attempt attempt, AttemptOutcome outcome, LoadReport report, RequestResult result) {
        return attempts.reportEnd(new AttemptEnd(attempt, outcome, report, result, null));
    }

    /**
     * Reports that an attempt ended with a final status of its request that does not indicate a
     * problem of the engine: for example, no engine can run the statement, or the result is larger
     * than the front end forwards.
     */
    public void attemptEndedWithStatus(Attempt attempt, LoadReport report, FinalStatus status) {
        attempts.reportEnd(new AttemptEnd(attempt, AttemptOutcome.CANCELLED, report, null, status));
    }

    /**
     * Reports that the first part of an attempt's result is sent to the client before the attempt
     * has ended. From now on the gateway applies no deadline to the attempt, and its end, complete
     * or not, is the end of the request.
     */
    public void streamBegan(Attempt attempt, ResultStreamHandle stream) {
        attempts.streamBegan(attempt, stream);
    }

    /** Reports progress of a running attempt. */
    public void attemptProgressed(Attempt attempt, ProgressKind kind, double amount) {
        attempts.reportProgress(attempt, kind, amount);
    }

    /** Counts an attempt whose last byte was written to its engine, even if it has ended since. */
    public void attemptWritten(Attempt attempt) {
        requests.metrics().recordAttemptWritten();
    }

    /**
     * Returns whether an attempt that was queued in the engine client may be sent now. If not, it
     * has ended, or the engine client must end it with an outcome that says that it never ran. Must
     * not be called while the router handles an event.
     */
    public boolean maySend(Attempt attempt) {
        return attempts.maySend(attempt);
    }

    /** Reports the end of a load probe; the report is null if none was received. */
    public void probeCompleted(long engine, AttemptOutcome outcome, LoadReport report) {
        probes.complete(engine, outcome, report);
    }

    // Called by endpoint discovery and by operators' tools

    /**
     * Applies an update of the endpoint list. Attempts for a draining engine that are not yet sent
     * are withdrawn before the router is notified of the list.
     */
    public void endpointsChanged(EndpointUpdate kind, List<EngineEndpoint> list) {
        administration.endpointsChanged(kind, list);
    }

    /** Returns the counters of requests and attempts. */
    public RequestMetrics metrics() {
        return requests.metrics();
    }

    /** Returns the number of engines in the endpoint list, in any state. */
    public int listedEngines() {
        return endpoints.listed().size();
    }

    /** Returns the number of listed engines that are disabled, ejected or both. */
    public int excludedEngines() {
        return administration.excludedEngines();
    }

    /**
     * Returns the ids of the engines that are listed as ready and not disabled, in ascending order.
     *
     * @param ejected true for those that the router has ejected, false for the others
     */
    public long[] readyEngines(boolean ejected) {
        return administration.readyEngines(ejected);
    }

    /**
     * Applies an ejection hint: the result of another front end's probe, which postpones or hastens
     * the next probe by this front end. A hint has no effect on an engine that the router has not
     * ejected, and never ejects an engine.
     *
     * @param served whether the engine served the other front end
     */
    public void applyEjectionHint(long engine, boolean served) {
        administration.applyEjectionHint(engine, served);
    }

    /** Returns whether an engine with this id is listed or disabled. */
    public boolean isKnownEngine(long engine) {
        return endpoints.isKnown(engine);
    }

    /** Returns whether an operator has disabled the engine. */
    public boolean isDisabled(long engine) {
        return endpoints.isDisabled(engine);
    }

    /** Disables an engine, regardless of its state in the endpoint list, until it is enabled. */
    public void disable(long engine) {
        administration.disable(engine);
    }

    /**
     * Enables an engine as reinstated at the given time. Operators enable an engine after a
     * restart, so it has to warm up from then on.
     */
    public void enable(long engine, long reinstatedAt) {
        administration.enable(engine, reinstatedAt);
    }

    // Called for the other processes of this front end

    /** Publishes the ids for which {@link #mayHaveRunBefore} holds here, for a new process. */
    public void publishUnrepeatableIds() {
        requests.publishUnrepeatableIds();
    }

    /**
     * Sets how many processes of this front end serve its clients.
     *
     * @param processes the number of processes, including this one
     * @param index the index of this process among them, from 0
     */
    public void processesChanged(int processes, int index) {
        requests.keyQueue().updateOtherProcesses(clock.now());
        router.deliver(r -> r.processesChanged(clock.now(), processes, index));
    }

    /**
     * Returns the run times that the router has learned, to be passed to another process.
     *
     * @return microseconds by index of the query class, 0 if none is learned
     */
    public double[] learnedRunTimes() {
        return router.learnedRunTimes();
    }

    /** Restores the run times that another process has learned. */
    public void restoreLearnedRunTimes(double[] byQueryClass) {
        router.deliver(r -> r.restoreLearnedRunTimes(byQueryClass));
    }

    // Actions requested by the router

    @Override
    public void startAttempt(long query, long engine, long timeoutAt) {
        attempts.start(query, engine, timeoutAt);
    }

    @Override
    public boolean hasTenantCapacity(long query, long engine) {
        return requests.hasTenantCapacity(query, engine);
    }

    @Override
    public void cancelAttempt(long query, int attempt) {
        attempts.cancel(query, attempt);
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
        deadlines.add(clock.now() + delayUs, routerTimerCallback, token);
    }

    @Override
    public void probeLoad(long engine) {
        probes.start(engine);
    }

    @Override
    public void watchEndpoints() {
        // Not needed: endpoint discovery watches the endpoint list from the start.
    }

    @Override
    public void log(String text) {
        LOG.info("{}", text);
    }
}
