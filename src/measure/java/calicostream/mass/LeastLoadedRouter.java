// SPDX-License-Identifier: Apache-2.0
package calicostream.mass;

import calicostream.routing.AttemptOutcome;
import calicostream.routing.AttemptResult;
import calicostream.routing.EndpointUpdate;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import calicostream.routing.LoadReport;
import calicostream.routing.QueryProgress;
import calicostream.routing.QueryRouter;
import calicostream.routing.RouterActions;
import java.util.List;
import java.util.TreeMap;

/**
 * What policies to compare with have in common: each query goes out once, and all that they do not
 * heed is passed over.
 */
public abstract class LeastLoadedRouter implements QueryRouter {
    protected final RouterActions actions;
    protected final TreeMap<Long, EngineEndpoint> ready = new TreeMap<>();

    protected LeastLoadedRouter(RouterActions actions) {
        this.actions = actions;
    }

    @Override
    public void endpointsChanged(long now, EndpointUpdate kind, List<EngineEndpoint> engines) {
        if (kind == EndpointUpdate.COMPLETE || kind == EndpointUpdate.CACHED) {
            ready.clear();
        }
        for (EngineEndpoint e : engines) {
            if (e.lifecycle() == EngineLifecycle.READY) {
                ready.put(e.id(), e);
            } else {
                ready.remove(e.id());
            }
        }
    }

    @Override
    public void attemptEnded(long now, AttemptResult end) {
        if (!end.requestAnswered()) {
            actions.fail(end.query());
        }
    }

    @Override
    public void start(long now) {}

    @Override
    public void streamStarted(long now, long query, int attempt) {}

    @Override
    public void progress(long now, QueryProgress progress) {}

    @Override
    public void queryAbandoned(long now, long query) {}

    @Override
    public void timerFired(long now, long token) {}

    @Override
    public void probeCompleted(long now, long engine, AttemptOutcome outcome, LoadReport report) {}

    @Override
    public void engineReinstated(long now, long engine) {}

    @Override
    public void processesChanged(long now, int processes, int place) {}

    @Override
    public double[] learnedRunTimes() {
        return new double[0];
    }

    @Override
    public void restoreLearnedRunTimes(double[] before) {}

    @Override
    public boolean isEjected(long engine) {
        return false;
    }
}
