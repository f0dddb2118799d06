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
 * and notifies the listener, the engine client and the router of what changed. One thread.
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

    /** Sets the way to the engines, before anything else. */
    void attach(EngineClient engineClient) {
        engines = engineClient;
    }

    /**
     * The endpoint list changed. The engine client takes back what has not been sent to an engine
     * that drains; the router is notified of their ends after it is notified of the list, so that
     * it does not choose the same engine again.
     */
    void endpointsChanged(EndpointUpdate kind, List<EngineEndpoint> list) {
        router.runPostponingEvents(() -> apply(kind, list));
        List<EngineEndpoint> usable = list.stream().map(endpoints::usable).toList();
        router.deliver(r -> r.endpointsChanged(clock.now(), kind, usable));
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
        if (endpoints.usable(engine).lifecycle() == EngineLifecycle.DRAINING) {
            engines.engineDraining(engine.id());
        } else if (engine.lifecycle() == EngineLifecycle.REMOVED) {
            engines.engineRemoved(engine.id());
        }
    }

    /** Disables an engine, whatever the endpoint list says of it. */
    void disable(long engine) {
        if (endpoints.disable(engine)) {
            LOG.info("engine {} disabled by an operator", Long.toHexString(engine));
            reapply(engine);
        }
    }

    /** Enables an engine as of a time; it was restarted meanwhile, so it has to warm up. */
    void enable(long engine, long at) {
        LOG.info("engine {} enabled by an operator", Long.toHexString(engine));
        endpoints.enable(engine, at, clock.now());
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

    /** Another front end probed an engine; see {@link Gateway#applyEjectionHint}. */
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

    /** The number of listed engines that are disabled or ejected. */
    int excludedEngines() {
        return (int)
                endpoints.listed().stream()
                        .mapToLong(EngineEndpoint::id)
                        .filter(id -> endpoints.isDisabled(id) || router.isEjected(id))
                        .count();
    }

    /** The ids of the usable engines that are ejected, or of those that are not, ascending. */
    long[] readyEngines(boolean ejected) {
        return endpoints.listed().stream()
                .mapToLong(EngineEndpoint::id)
                .filter(endpoints::isReady)
                .filter(id -> router.isEjected(id) == ejected)
                .sorted()
                .toArray();
    }
}
