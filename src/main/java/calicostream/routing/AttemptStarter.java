// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Starts attempts on engines and tracks the running ones. */
final class AttemptStarter {
    private final RouterActions actions;
    private final RetryBudget retryBudget;
    private final SlowStartLimiter slowStart;
    private final OutlierDetector outliers;
    private final OwnLoad ownLoad;
    private final ResourceAssigner resources;

    AttemptStarter(
            RouterActions actions,
            RetryBudget retryBudget,
            SlowStartLimiter slowStart,
            OutlierDetector outliers,
            OwnLoad ownLoad,
            ResourceAssigner resources) {
        this.actions = actions;
        this.retryBudget = retryBudget;
        this.slowStart = slowStart;
        this.outliers = outliers;
        this.ownLoad = ownLoad;
        this.resources = resources;
    }

    /** Starts the query's next attempt on an engine. */
    void start(long now, QueryState query, EngineState engine) {
        if (query.attempts() > 0) {
            retryBudget.recordRetry(now);
        }
        slowStart.recordAttempt(now, query, engine);
        outliers.recordAttempt(now, engine);
        query.attemptStarted(now, engine);
        engine.attemptStarted(query);
        ownLoad.attemptStarted(query);
        if (query.queryClass().load()) {
            query.tableGroup().loadStarted(engine.id());
        }
        query.tableGroup().refreshAffinity(now, engine.id());
        resources.assign(now, query);
        actions.startAttempt(query.id(), engine.id(), 0);
    }

    /** Records the end of the query's attempt and returns the engine that ran it. */
    EngineState end(QueryState query) {
        EngineState engine = query.engine();
        query.attemptEnded();
        engine.attemptEnded(query);
        ownLoad.attemptEnded(query);
        if (query.queryClass().load()) {
            query.tableGroup().loadEnded(engine.id());
        }
        return engine;
    }
}
