// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.List;

/** Probes the load of engines before a query is sent, and delays the query until the probes end. */
final class LoadProber {
    /** Load probes per core and second from all gateways; engines answer at least about four. */
    static final double PROBES_PER_CORE_AND_SECOND = 3;

    /** Engines probed for a query; two give most of the benefit of probing all. */
    private static final int PROBED_ENGINES = 2;

    /** Share of queries that probe in an idle fleet, so that a rising load is still detected. */
    private static final double MIN_PROBING_SHARE = 0.2;

    /** Age up to which a report counts as current; the report of a new probe is delayed as much. */
    private static final long FRESH_REPORT_MICROS = 150_000;

    /** Maximum time that a query waits for load probes; short compared to latency objectives. */
    private static final long MAX_WAIT_MICROS = 30_000;

    /** Minimum time between probes for one query; reports do not change faster. */
    private static final long PROBE_INTERVAL_MICROS = 250_000;

    /**
     * Time until the next probe of an engine that rejected a probe or returned no usable report.
     */
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
     * Probes some of the eligible engines whose load is not current.
     *
     * @return whether the query must wait for the probes to end
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
        boolean isProbingEnabled =
                settings.attemptLimits().probes() && settings.loadReporting() != LoadReporting.NONE;
        return isProbingEnabled && !skipsProbing(query);
    }

    /** Fewer queries probe while the load of the fleet is low. */
    private boolean skipsProbing(QueryState query) {
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

    /**
     * Returns the time between probes of an engine by this process, so that all gateway processes
     * together stay within {@link #PROBES_PER_CORE_AND_SECOND}.
     */
    private long probeIntervalMicros(EngineState engine) {
        return (long)
                (MICROS_PER_SECOND
                        * settings.gateways()
                        * processes.count()
                        / (PROBES_PER_CORE_AND_SECOND * engine.cores()));
    }

    /** Handles the end of a probe; its report, if there was one, has already been recorded. */
    void probeEnded(long now, EngineState engine) {
        if (engine.load().updatedAt() != now) {
            engine.probe().postpone(now + FAILED_PROBE_DELAY_MICROS);
        }
        engine.probe().releaseWaiting();
    }
}
