// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.List;

/** Asks engines for their load before a query goes to one, and lets the query wait for that. */
final class LoadProber {
    /** Load probes per core and second from all gateways: engines answer some four at least. */
    static final double PROBES_PER_CORE_AND_SECOND = 3;

    /** Engines probed for a query: two find most of the best. */
    private static final int PROBED_ENGINES = 2;

    /** Part of the queries that probe in an idle fleet, whose engines may fill unnoticed. */
    private static final double MIN_PROBING_SHARE = 0.2;

    /** Age up to which a report is as good as a new one: those are as late. */
    private static final long FRESH_REPORT_MICROS = 150_000;

    /** Time that a query waits for load probes: short against latency objectives. */
    private static final long MAX_WAIT_MICROS = 30_000;

    /** Time between probes for one query: reports change no faster. */
    private static final long PROBE_INTERVAL_MICROS = 250_000;

    /** Time until the next probe of an engine that reported nothing or rejected the probe. */
    private static final long FAILED_PROBE_DELAY_MICROS = 1_000_000;

    private static final double MICROS_PER_SECOND = 1e6;

    private final RouterSettings settings;
    private final RouterActions actions;
    private final CapacityEstimator capacity;
    private final GatewayProcesses processes;

    LoadProber(
            RouterSettings settings,
            RouterActions actions,
            CapacityEstimator capacity,
            GatewayProcesses processes) {
        this.settings = settings;
        this.actions = actions;
        this.capacity = capacity;
        this.processes = processes;
    }

    /**
     * Probes the first eligible engines whose load is not known.
     *
     * @return whether the query is to wait for the answers
     */
    boolean mustAwaitProbes(long now, QueryState query, List<EngineState> eligible) {
        if (!isProbing(query)) {
            return false;
        }
        if (now - query.probedAt() >= PROBE_INTERVAL_MICROS) {
            query.loadProbesStarted(now);
            for (int i = 0; i < Math.min(PROBED_ENGINES, eligible.size()); i++) {
                int index = (int) ((query.id() + i) % eligible.size());
                probe(now, query, eligible.get(index));
            }
        }
        return query.awaitsLoadProbes() && now - query.probedAt() < MAX_WAIT_MICROS;
    }

    private boolean isProbing(QueryState query) {
        boolean possible =
                settings.attemptLimits().probes() && settings.loadReporting() != LoadReporting.NONE;
        return possible && !isSkipped(query);
    }

    /** The less loaded the fleet is, the fewer queries probe. */
    private boolean isSkipped(QueryState query) {
        double utilization = capacity.meanLoadPerCore() / CapacityEstimator.THREADS_PER_CORE;
        return query.jitter() > MIN_PROBING_SHARE + utilization;
    }

    private void probe(long now, QueryState query, EngineState engine) {
        if (now - engine.load().updatedAt() <= FRESH_REPORT_MICROS) {
            return;
        }
        if (engine.probe().mayStart(now)) {
            engine.probe().start(now + probeIntervalMicros(engine));
            actions.probeLoad(engine.id());
        }
        if (engine.probe().isActive()) {
            query.awaitLoadProbe();
            engine.probe().addWaiting(query);
        }
    }

    /** Returns this process's part of the probes that an engine answers, as time between them. */
    private long probeIntervalMicros(EngineState engine) {
        return (long)
                (MICROS_PER_SECOND
                        * settings.gateways()
                        * processes.count()
                        / (PROBES_PER_CORE_AND_SECOND * engine.cores()));
    }

    /** Takes in that a probe ended and its report, if there was one, has been taken in. */
    void probeEnded(long now, EngineState engine) {
        if (engine.load().updatedAt() != now) {
            engine.probe().postpone(now + FAILED_PROBE_DELAY_MICROS);
        }
        engine.probe().releaseWaiting();
    }
}
