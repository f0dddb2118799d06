// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.List;

/**
 * Routes queries to engines by table affinity. Passes each event to the components that make the
 * individual decisions. Times are in microseconds and work is in core-microseconds. Calls must not
 * overlap.
 */
public final class AffinityRouter implements QueryRouter {
    private final RouterActions actions;
    private final GatewayProcesses processes = new GatewayProcesses();
    private final EngineTable engines = new EngineTable();
    private final TableGroups groups = new TableGroups();
    private final WorkEstimator work;
    private final RetryBudget retryBudget;
    private final OrderedKeyQueues keyQueues;
    private final OutlierDetector outliers;
    private final CapacityEstimator capacity;
    private final RouterTimers timers;
    private final EndpointListRequester listRequester;
    private final EndpointListUpdater listUpdater;
    private final QueryQueue queue;
    private final QueryLifecycle lifecycle;
    private final QueryAdmission admission;
    private final QueryDispatcher dispatcher;
    private final EngineFeedback feedback;
    private final AttemptResultHandler resultHandler;
    private final ProgressMonitor progressMonitor;
    private long lastTickAt;
    private long nextCleanupAt;

    /**
     * Creates a router with an empty engine table.
     *
     * @param settings settings of the deployment
     * @param actions receives the decisions of the router
     */
    public AffinityRouter(RouterSettings settings, RouterActions actions) {
        this.actions = actions;
        work = new WorkEstimator(settings.classes());
        retryBudget = new RetryBudget(settings.protectionRules(), processes);
        RetryPolicy retryPolicy = new RetryPolicy(settings.attemptLimits(), retryBudget, work);
        keyQueues = new OrderedKeyQueues(settings.protectionRules());
        outliers = new OutlierDetector(engines, actions);
        SlowStartLimiter slowStart = new SlowStartLimiter(settings, processes, work);
        OwnLoad ownLoad = new OwnLoad();
        capacity = new CapacityEstimator(settings, engines, slowStart, ownLoad);
        timers = new RouterTimers(actions, settings.tickUs());
        listRequester = new EndpointListRequester(actions, settings.watchEndpointsOnRequest());
        RoutingCostAssigner costs = new RoutingCostAssigner(settings, engines);
        listUpdater =
                new EndpointListUpdater(
                        settings.engineKinds(), engines, outliers, slowStart, groups, costs);
        queue = new QueryQueue(work);
        lifecycle = new QueryLifecycle(settings.attemptLimits(), actions, retryPolicy, queue);
        ResourceAssigner resources = new ResourceAssigner(settings.engineCapabilities(), actions);
        TenantQuota quota = new TenantQuota(settings.tenants(), capacity);
        admission = new QueryAdmission(settings, work, keyQueues, groups, quota, resources);
        AttemptStarter starter =
                new AttemptStarter(actions, retryBudget, slowStart, outliers, ownLoad, resources);
        LoadProber prober = new LoadProber(settings, actions, capacity, processes);
        RendezvousRanking ranking = new RendezvousRanking(engines);
        EngineEligibility eligibility =
                new EngineEligibility(actions, ranking, capacity, slowStart, retryPolicy);
        AffinitySelector selector = new AffinitySelector(settings, engines, capacity, groups);
        dispatcher =
                new QueryDispatcher(
                        keyQueues, retryBudget, eligibility, prober, selector, queue, starter);
        feedback = new EngineFeedback(work, capacity, outliers, prober);
        resultHandler =
                new AttemptResultHandler(
                        lifecycle, starter, keyQueues, feedback, retryPolicy, dispatcher);
        progressMonitor =
                new ProgressMonitor(settings, lifecycle, capacity, work, outliers, retryPolicy);
    }

    @Override
    public void start(long now) {
        lastTickAt = now;
        keyQueues.start(now);
        listRequester.start();
        timers.scheduleTick();
    }

    @Override
    public void endpointsChanged(long now, EndpointUpdate kind, List<EngineEndpoint> endpoints) {
        if (kind == EndpointUpdate.FAILED) {
            listRequester.requestFailed(now);
            return;
        }
        listUpdater.update(now, kind, endpoints);
        dispatcher.dispatchQueued(now);
    }

    @Override
    public void queryAccepted(long now, Query request) {
        retryBudget.recordQuery(now);
        if (!admission.isKnownClass(request)) {
            actions.reject(request.id(), 0);
            return;
        }
        QueryState query = admission.admit(now, request);
        lifecycle.add(query);
        timers.scheduleAnswer(request);
        dispatcher.dispatchOrQueue(now, query);
    }

    @Override
    public void streamStarted(long now, long queryId, int attempt) {
        QueryState query = lifecycle.find(queryId);
        if (query != null && query.hasAttempt()) {
            query.streamStarted();
        }
    }

    @Override
    public void progress(long now, QueryProgress progress) {
        QueryState query = lifecycle.find(progress.query());
        if (query != null && query.isRunning(progress.attempt())) {
            progressMonitor.recordProgress(now, query, progress);
        }
    }

    @Override
    public void attemptEnded(long now, AttemptResult result) {
        EngineState engine = engines.find(result.engine());
        if (engine != null && result.loadReport() != null) {
            feedback.recordReport(now, engine, result.loadReport());
        }
        QueryState query = lifecycle.find(result.query());
        if (query != null && query.isRunning(result.attempt())) {
            resultHandler.attemptEnded(now, query, result);
            dispatcher.dispatchQueued(now);
        }
    }

    @Override
    public void queryAbandoned(long now, long queryId) {
        QueryState query = lifecycle.find(queryId);
        if (query != null && !query.isClosed()) {
            lifecycle.close(query);
            dispatcher.dispatchQueued(now);
        }
    }

    @Override
    public void timerFired(long now, long token) {
        if (token == RouterTimers.TICK_TOKEN) {
            tick(now);
            return;
        }
        QueryState query = lifecycle.find(RouterTimers.queryIdOf(token));
        if (query != null && !query.isClosed() && !query.isStreaming()) {
            lifecycle.finish(query, false);
            dispatcher.dispatchQueued(now);
        }
    }

    private void tick(long now) {
        timers.scheduleTick();
        long microsSinceLastTick = now - lastTickAt;
        lastTickAt = now;
        progressMonitor.checkSilence(now, microsSinceLastTick);
        capacity.updateAverages(1 - Math.exp(-microsSinceLastTick / DecayingSum.DECAY_MICROS));
        retryBudget.removeExpired(now);
        listRequester.tick(now);
        queue.expire(now, lifecycle);
        dispatcher.dispatchQueued(now);
        if (now >= nextCleanupAt) {
            nextCleanupAt = now + TableGroups.GROUP_IDLE_MICROS;
            groups.removeIdle(now);
            keyQueues.removeIdle(now);
        }
    }

    @Override
    public void probeCompleted(long now, long engineId, AttemptOutcome outcome, LoadReport report) {
        EngineState engine = engines.find(engineId);
        if (engine != null) {
            feedback.recordProbe(now, engine, outcome, report);
            dispatcher.dispatchQueued(now);
        }
    }

    @Override
    public void engineReinstated(long now, long engineId) {
        EngineState engine = engines.find(engineId);
        if (engine != null) {
            outliers.reinstate(engine);
            engine.ejection().setProbeRequested(true);
            dispatcher.dispatchQueued(now);
        }
    }

    @Override
    public void processesChanged(long now, int count, int index) {
        processes.update(count, index);
    }

    @Override
    public double[] learnedRunTimes() {
        return work.learnedRunTimes();
    }

    @Override
    public void restoreLearnedRunTimes(double[] runTimes) {
        work.restoreLearnedRunTimes(runTimes);
    }

    @Override
    public boolean isEjected(long engineId) {
        EngineState engine = engines.find(engineId);
        return engine != null && engine.ejection().isEjected();
    }

    /** Returns the number of table groups that are kept in memory. */
    int tableGroups() {
        return groups.size();
    }
}
