// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.AttemptOutcome;
import calicostream.routing.EndpointUpdate;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies updates of the endpoint list and the operators' commands to the {@link EndpointTable},
 * and notifies the listener, the engine client and the router of the changes. Not thread-safe.
 */
final class EngineAdministration {
    private static final Logger LOG = LoggerFactory.getLogger(EngineAdministration.class);

    private final Clock clock;
    private final EndpointTable endpoints;
    private final RouterDriver router;
    private final RequestListener listener;
    private EngineClient engines;

    EngineAdministration(
            Clock clock, EndpointTable endpoints, RouterDriver router, RequestListener listener) {
        this.clock = clock;
        this.endpoints = endpoints;
        this.router = router;
        this.listener = listener;
    }

    /** Sets the engine client; called before any other method. */
    void attach(EngineClient engineClient) {
        engines = engineClient;
    }

    /**
     * Applies an update of the endpoint list. For a draining engine, the engine client ends the
     * attempts that are not yet sent. The router is notified of the list before it is notified of
     * these ended attempts, so that it does not select the same engine again.
     */
    void endpointsChanged(EndpointUpdate kind, List<EngineEndpoint> list) {
        router.runDeferringEvents(() -> apply(kind, list));
        List<EngineEndpoint> effectiveEndpoints =
                list.stream().map(endpoints::effectiveEndpoint).toList();
        router.deliver(r -> r.endpointsChanged(clock.now(), kind, effectiveEndpoints));
    }

    private void apply(EndpointUpdate kind, List<EngineEndpoint> list) {
        if (kind != EndpointUpdate.INCREMENTAL) {
            endpoints
                    .missingFrom(list)
                    .forEach(engine -> apply(engine.withLifecycle(EngineLifecycle.REMOVED)));
        }
        list.forEach(this::apply);
    }

    private void apply(EngineEndpoint engine) {
        EngineEndpoint previous = endpoints.update(engine);
        if (!engine.equals(previous)) {
            listener.engineChanged(engine);
        }
        if (endpoints.effectiveEndpoint(engine).lifecycle() == EngineLifecycle.DRAINING) {
            engines.engineDraining(engine.id());
        } else if (engine.lifecycle() == EngineLifecycle.REMOVED) {
            engines.engineRemoved(engine.id());
        }
    }

    /** Disables an engine, regardless of its state in the endpoint list. */
    void disable(long engine) {
        if (endpoints.disable(engine)) {
            LOG.info("engine {} disabled by an operator", Long.toHexString(engine));
            reapply(engine);
        }
    }

    /**
     * Enables an engine as reinstated at the given time. Operators enable an engine after a
     * restart, so it has to warm up from then on.
     */
    void enable(long engine, long reinstatedAt) {
        LOG.info("engine {} enabled by an operator", Long.toHexString(engine));
        endpoints.enable(engine, reinstatedAt, clock.now());
        engines.engineReinstated(engine);
        reapply(engine);
        router.deliver(r -> r.engineReinstated(clock.now(), engine));
    }

    private void reapply(long engine) {
        EngineEndpoint endpoint = endpoints.find(engine);
        if (endpoint != null) {
            endpointsChanged(EndpointUpdate.INCREMENTAL, List.of(endpoint));
        }
    }

    /** Applies the probe result of another front end; see {@link Gateway#applyEjectionHint}. */
    void applyEjectionHint(long engine, boolean served) {
        if (!router.isEjected(engine)) {
            return;
        }
        if (served) {
            router.deliver(r -> r.engineReinstated(clock.now(), engine));
        } else {
            router.deliver(
                    r -> r.probeCompleted(clock.now(), engine, AttemptOutcome.CANCELLED, null));
        }
    }

    /** Returns the number of listed engines that are disabled or ejected. */
    int excludedEngines() {
        return (int)
                endpoints.listed().stream()
                        .mapToLong(EngineEndpoint::id)
                        .filter(id -> endpoints.isDisabled(id) || router.isEjected(id))
                        .count();
    }

    /**
     * Returns the ids of the ready engines in ascending order.
     *
     * @param ejected true for those that the router has ejected, false for the others
     */
    long[] readyEngines(boolean ejected) {
        return endpoints.listed().stream()
                .mapToLong(EngineEndpoint::id)
                .filter(endpoints::isReady)
                .filter(id -> router.isEjected(id) == ejected)
                .sorted()
                .toArray();
    }
}
