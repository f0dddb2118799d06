// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.QueryRouter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Delivers events to the router one at a time, never while it handles another event. An exception
 * thrown by the router is logged and aborts only the current event; an affected request is still
 * answered at its deadline. Not thread-safe.
 */
final class RouterDriver {
    private static final Logger LOG = LoggerFactory.getLogger(RouterDriver.class);
    private static final int MAX_LOGGED_FAILURES = 20;

    /** An event that is delivered to the router. */
    interface RouterEvent {
        /** Calls the method of the router that handles the event. */
        void deliverTo(QueryRouter router);
    }

    private final QueryRouter router;
    private final Runnable afterEvent;
    private boolean isRouterActive;
    private long failures;

    /**
     * Creates a driver.
     *
     * @param afterEvent run after each event, when the router may be called again
     */
    RouterDriver(QueryRouter router, Runnable afterEvent) {
        this.router = router;
        this.afterEvent = afterEvent;
    }

    /** Delivers one event, then the notifications that were deferred meanwhile. */
    void deliver(RouterEvent event) {
        isRouterActive = true;
        try {
            event.deliverTo(router);
        } catch (RuntimeException e) {
            if (failures++ < MAX_LOGGED_FAILURES) {
                LOG.error("router threw an exception while handling an event", e);
            }
        } finally {
            isRouterActive = false;
        }
        afterEvent.run();
    }

    /** Runs a step as if the router were active, so that notifications it causes are deferred. */
    void runDeferringEvents(Runnable step) {
        isRouterActive = true;
        try {
            step.run();
        } finally {
            isRouterActive = false;
        }
    }

    /** Returns whether an event is being delivered, so that the router must not be called. */
    boolean isRouterActive() {
        return isRouterActive;
    }

    /** Returns whether the router has ejected the engine. */
    boolean isEjected(long engine) {
        return router.isEjected(engine);
    }

    /** Returns the learned run time of each query class in microseconds, 0 if none is learned. */
    double[] learnedRunTimes() {
        return router.learnedRunTimes();
    }
}
