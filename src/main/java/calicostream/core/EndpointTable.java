// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The engines of the endpoint list, those that operators have disabled and those that they have
 * reinstated, and what follows for the use of each. Holds state only: it notifies nobody. One
 * thread. Times are the gateway's clock, in microseconds.
 */
final class EndpointTable {
    private final Map<Long, EngineEndpoint> listed = new HashMap<>();
    private final Set<Long> disabled = new HashSet<>(); // whatever the endpoint list says
    private final Map<Long, Long> reinstatedAt = new HashMap<>(); // until they have warmed up
    private final long warmUpMicros;

    EndpointTable(long warmUpMicros) {
        this.warmUpMicros = warmUpMicros;
    }

    /**
     * Takes an engine as the endpoint list names it; one that is removed is forgotten.
     *
     * @return what the list said of the engine before, or null
     */
    EngineEndpoint update(EngineEndpoint engine) {
        return engine.lifecycle() == EngineLifecycle.REMOVED
                ? listed.remove(engine.id())
                : listed.put(engine.id(), engine);
    }

    /** The listed engines that a new complete list does not name. */
    Collection<EngineEndpoint> missingFrom(List<EngineEndpoint> completeList) {
        Map<Long, EngineEndpoint> missing = new HashMap<>(listed);
        completeList.forEach(engine -> missing.remove(engine.id()));
        return missing.values();
    }

    /** The engine as the endpoint list names it, or null. */
    EngineEndpoint find(long engine) {
        return listed.get(engine);
    }

    /** All engines as the endpoint list names them. */
    Collection<EngineEndpoint> listed() {
        return listed.values();
    }

    /**
     * A listed engine as router and engine client may use it: a disabled one drains, and a
     * reinstated one started no earlier than it was reinstated.
     */
    EngineEndpoint usable(EngineEndpoint engine) {
        boolean ready = engine.lifecycle() == EngineLifecycle.READY;
        if (ready && disabled.contains(engine.id())) {
            return engine.withLifecycle(EngineLifecycle.DRAINING);
        }
        long reinstated = reinstatedAt.getOrDefault(engine.id(), 0L);
        return ready && reinstated > engine.startedAtUs()
                ? engine.withStartTime(reinstated)
                : engine;
    }

    /** Whether the engine is listed and neither the list nor an operator forbids its use. */
    boolean isReady(long engine) {
        EngineEndpoint endpoint = listed.get(engine);
        return endpoint != null && usable(endpoint).lifecycle() == EngineLifecycle.READY;
    }

    /** Whether the engine is listed, or was when it was disabled. */
    boolean isKnown(long engine) {
        return listed.containsKey(engine) || disabled.contains(engine);
    }

    /** Whether an operator has disabled the engine. */
    boolean isDisabled(long engine) {
        return disabled.contains(engine);
    }

    /**
     * Disables an engine.
     *
     * @return false: it was disabled already
     */
    boolean disable(long engine) {
        boolean changed = disabled.add(engine);
        if (changed) {
            reinstatedAt.remove(engine);
        }
        return changed;
    }

    /** Enables an engine as of a time; forgets reinstatements whose warm-up is over by now. */
    void enable(long engine, long at, long now) {
        disabled.remove(engine);
        reinstatedAt.values().removeIf(each -> now - each > warmUpMicros);
        reinstatedAt.put(engine, at);
    }
}
