// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Applies updates of the endpoint list to the engine table. */
final class EndpointListUpdater {
    private final List<EngineKind> kinds;
    private final EngineTable engines;
    private final OutlierDetector outliers;
    private final SlowStartLimiter slowStart;
    private final TableGroups groups;
    private final RoutingCostAssigner costs;

    EndpointListUpdater(
            List<EngineKind> kinds,
            EngineTable engines,
            OutlierDetector outliers,
            SlowStartLimiter slowStart,
            TableGroups groups,
            RoutingCostAssigner costs) {
        this.kinds = kinds;
        this.engines = engines;
        this.outliers = outliers;
        this.slowStart = slowStart;
        this.groups = groups;
        this.costs = costs;
    }

    /**
     * Applies an update of the endpoint list.
     *
     * @param update determines how engines that are missing from {@code endpoints} are handled
     */
    void update(long now, EndpointUpdate update, List<EngineEndpoint> endpoints) {
        if (update != EndpointUpdate.INCREMENTAL) {
            markOthersRemoved(endpoints);
        }
        for (EngineEndpoint endpoint : endpoints) {
            updateEngine(now, endpoint, update == EndpointUpdate.CACHED);
        }
        engines.endpointsChanged();
        for (EngineState engine : engines.all()) {
            if (!engine.isReady()) {
                outliers.reinstate(engine);
            }
        }
        engines.all().removeIf(engine -> isRemovable(now, engine));
        groups.removeAffinityIf(id -> !engines.isReady(id));
        costs.assign();
    }

    private void markOthersRemoved(List<EngineEndpoint> endpoints) {
        Set<Long> listed = new HashSet<>();
        endpoints.forEach(endpoint -> listed.add(endpoint.id()));
        for (EngineState engine : engines.all()) {
            if (!listed.contains(engine.id())) {
                engine.setEndpoint(engine.endpoint().withLifecycle(EngineLifecycle.REMOVED));
            }
        }
    }

    private void updateEngine(long now, EngineEndpoint endpoint, boolean isCached) {
        EngineState existing = engines.find(endpoint.id());
        EngineState engine = existing != null ? existing : new EngineState(endpoint);
        boolean restarted = endpoint.startedAtUs() > engine.endpoint().startedAtUs();
        engine.setEndpoint(endpoint);
        engine.setCores(coresOf(endpoint));
        if (endpoint.startedAtUs() > 0) {
            engine.slowStart().recordStart(endpoint.startedAtUs());
        }
        if (restarted) {
            outliers.reinstate(engine);
            engine.load().discard();
        }
        if (existing == null) {
            engines.add(engine);
            if (isCached) {
                slowStart.exhaustWindowAfterRestart(now, engine);
            }
        }
    }

    private double coresOf(EngineEndpoint endpoint) {
        return endpoint.kind() < kinds.size() ? Math.max(1, kinds.get(endpoint.kind()).cores()) : 1;
    }

    /**
     * A removed engine is kept while it is warming up, so that its slow start continues if it
     * returns.
     */
    private boolean isRemovable(long now, EngineState engine) {
        return !engine.isReady() && engine.isIdle() && !slowStart.isWarmingUp(engine, now);
    }
}
