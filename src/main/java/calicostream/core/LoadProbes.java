// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.AttemptOutcome;
import calicostream.routing.LoadReport;

/** Load probes between the router, which asks for them, and the engine client. One thread. */
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

    /** Sets the way to the engines, before anything else. */
    void attach(EngineClient engineClient) {
        engines = engineClient;
    }

    /** Probes an engine; one that cannot be probed ends the probe later, as not started. */
    void start(long engine) {
        if (!endpoints.isReady(engine) || !engines.probe(engine)) {
            completeLater(engine, AttemptOutcome.NOT_STARTED, null);
        }
    }

    /** A probe ended; the report is null where none came. */
    void completed(long engine, AttemptOutcome outcome, LoadReport report) {
        if (router.isRouterActive()) {
            completeLater(engine, outcome, report);
        } else {
            engines.loadReported(engine, report);
            router.deliver(r -> r.probeCompleted(clock.now(), engine, outcome, report));
        }
    }

    /** The router must not be called from inside its own event. */
    private void completeLater(long engine, AttemptOutcome outcome, LoadReport report) {
        deadlines.add(clock.now(), (now, id) -> completed(id, outcome, report), engine);
    }
}
