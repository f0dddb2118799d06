// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.AttemptOutcome;
import calicostream.routing.LoadReport;

/** Passes load probes between the router and the engine client. Not thread-safe. */
final class LoadProbes {
    private final Clock clock;
    private final Deadlines deadlines;
    private final EndpointTable endpoints;
    private final RouterDriver router;
    private EngineClient engines;

    LoadProbes(Clock clock, Deadlines deadlines, EndpointTable endpoints, RouterDriver router) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.endpoints = endpoints;
        this.router = router;
    }

    /** Sets the engine client; called before any other method. */
    void attach(EngineClient engineClient) {
        engines = engineClient;
    }

    /** Starts a probe. If the engine cannot be probed, the probe ends later as not started. */
    void start(long engine) {
        if (!endpoints.isReady(engine) || !engines.probe(engine)) {
            completeLater(engine, AttemptOutcome.NOT_STARTED, null);
        }
    }

    /** Handles the end of a probe; the report is null if none was received. */
    void complete(long engine, AttemptOutcome outcome, LoadReport report) {
        if (router.isRouterActive()) {
            completeLater(engine, outcome, report);
        } else {
            engines.loadReported(engine, report);
            router.deliver(r -> r.probeCompleted(clock.now(), engine, outcome, report));
        }
    }

    /** Defers the notification, as the router must not be called while it handles an event. */
    private void completeLater(long engine, AttemptOutcome outcome, LoadReport report) {
        deadlines.add(clock.now(), (now, id) -> complete(id, outcome, report), engine);
    }
}
