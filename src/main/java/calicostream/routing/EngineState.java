// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.ArrayList;
import java.util.List;

/** Holds the state of one engine and the queries that this gateway runs on it. */
final class EngineState {
    private final List<QueryState> running = new ArrayList<>();
    private final EjectionState ejection = new EjectionState();
    private final SlowStartState slowStart = new SlowStartState();
    private final LoadEstimate load = new LoadEstimate();
    private final LoadProbeState probe = new LoadProbeState();
    private EngineEndpoint endpoint;
    private double cores;
    private double ownThreads;
    private double routingCost;

    EngineState(EngineEndpoint endpoint) {
        this.endpoint = endpoint;
    }

    long id() {
        return endpoint.id();
    }

    EngineEndpoint endpoint() {
        return endpoint;
    }

    void setEndpoint(EngineEndpoint endpoint) {
        this.endpoint = endpoint;
    }

    boolean isReady() {
        return endpoint.lifecycle() == EngineLifecycle.READY;
    }

    double cores() {
        return cores;
    }

    void setCores(double cores) {
        this.cores = cores;
    }

    /**
     * Returns the cost of sending a query to the engine beside its work; see {@link RoutingCosts}.
     */
    double routingCost() {
        return routingCost;
    }

    void setRoutingCost(double routingCost) {
        this.routingCost = routingCost;
    }

    /** Returns the number of threads of this gateway's queries on the engine. */
    double ownThreads() {
        return ownThreads;
    }

    void attemptStarted(QueryState query) {
        running.add(query);
        ownThreads += query.queryClass().threads();
    }

    void attemptEnded(QueryState query) {
        running.remove(query);
        ownThreads -= query.queryClass().threads();
    }

    int runningQueries() {
        return running.size();
    }

    boolean isIdle() {
        return running.isEmpty();
    }

    /** Returns how many of this gateway's queries on the engine are due before the given time. */
    int runningDueBefore(long time) {
        int count = 0;
        for (QueryState query : running) {
            if (query.due() < time) {
                count++;
            }
        }
        return count;
    }

    EjectionState ejection() {
        return ejection;
    }

    SlowStartState slowStart() {
        return slowStart;
    }

    LoadEstimate load() {
        return load;
    }

    LoadProbeState probe() {
        return probe;
    }
}
