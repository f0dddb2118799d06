// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.QueryRouter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Calls the router, one event at a time, and never from inside another one of its events. A fault
 * of the router costs the event that it happened in; the request's deadline still answers the
 * request. One thread.
 */
final class RouterDriver {
    private static final Logger LOG = LoggerFactory.getLogger(RouterDriver.class);
    private static final int MAX_LOGGED_FAULTS = 20;

    /** An event for the router. */
    interface RouterEvent {
        /** Delivers the event. */
        void deliverTo(QueryRouter router);
    }

    private final QueryRouter router;
    private final Runnable afterEvent;
    private boolean isRouterActive;
    private long faults;

    /**
     * Drives a router.
     *
     * @param afterEvent runs after each event, when the router may be called again
     */
    RouterDriver(QueryRouter router, Runnable afterEvent) {
        this.router = router;
        this.afterEvent = afterEvent;
    }

    /** Delivers one event, then what was postponed meanwhile. */
    void deliver(RouterEvent event) {
        isRouterActive = true;
        try {
            event.deliverTo(router);
        } catch (RuntimeException e) {
            if (faults++ < MAX_LOGGED_FAULTS) {
                LOG.error("router failed", e);
            }
        } finally {
            isRouterActive = false;
        }
        afterEvent.run();
    }

    /** Runs a step as if the router were active: what the step brings about is postponed. */
    void runPostponingEvents(Runnable step) {
        isRouterActive = true;
        try {
            step.run();
        } finally {
            isRouterActive = false;
        }
    }

    /** Whether an event is being delivered, so that the router must not be called. */
    boolean isRouterActive() {
        return isRouterActive;
    }

    /** Whether the router has ejected the engine. */
    boolean isEjected(long engine) {
        return router.isEjected(engine);
    }

    /** The run time that the router has learned for each query class, in microseconds; 0: none. */
    double[] learnedRunTimes() {
        return router.learnedRunTimes();
    }
}
