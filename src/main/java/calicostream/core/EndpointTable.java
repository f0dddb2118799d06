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
 * Combines the engines of the endpoint list with those that operators have disabled or reinstated,
 * and determines from both whether an engine may be used. Holds state only and sends no
 * notifications. Times are in microseconds of the gateway's clock. Not thread-safe.
 */
final class EndpointTable {
    private final Map<Long, EngineEndpoint> listed = new HashMap<>();
    private final Set<Long> disabled = new HashSet<>(); // by operators, listed or not

    /** When each engine was reinstated; entries may be deleted after the warm-up. */
    private final Map<Long, Long> reinstatementTimes = new HashMap<>();

    private final long warmUpMicros;

    EndpointTable(long warmUpMicros) {
        this.warmUpMicros = warmUpMicros;
    }

    /**
     * Stores the entry of the endpoint list for an engine, or deletes it if the engine is removed.
     *
     * @return the previous entry of the engine, or null
     */
    EngineEndpoint update(EngineEndpoint engine) {
        return engine.lifecycle() == EngineLifecycle.REMOVED
                ? listed.remove(engine.id())
                : listed.put(engine.id(), engine);
    }

    /** Returns the listed engines that are missing from a new complete list. */
    Collection<EngineEndpoint> missingFrom(List<EngineEndpoint> completeList) {
        Map<Long, EngineEndpoint> missing = new HashMap<>(listed);
        completeList.forEach(engine -> missing.remove(engine.id()));
        return missing.values();
    }

    /** Returns the entry of the endpoint list for an engine, or null. */
    EngineEndpoint find(long engine) {
        return listed.get(engine);
    }

    /** Returns all entries of the endpoint list. */
    Collection<EngineEndpoint> listed() {
        return listed.values();
    }

    /**
     * Applies the operators' commands to an entry of the endpoint list: a disabled engine is
     * treated as draining, and a reinstated engine as started no earlier than it was reinstated.
     */
    EngineEndpoint effectiveEndpoint(EngineEndpoint engine) {
        boolean isListedReady = engine.lifecycle() == EngineLifecycle.READY;
        if (isListedReady && disabled.contains(engine.id())) {
            return engine.withLifecycle(EngineLifecycle.DRAINING);
        }
        long reinstatedAt = reinstatementTimes.getOrDefault(engine.id(), 0L);
        return isListedReady && reinstatedAt > engine.startedAtUs()
                ? engine.withStartTime(reinstatedAt)
                : engine;
    }

    /** Returns whether the engine is listed as ready and no operator has disabled it. */
    boolean isReady(long engine) {
        EngineEndpoint endpoint = listed.get(engine);
        return endpoint != null && effectiveEndpoint(endpoint).lifecycle() == EngineLifecycle.READY;
    }

    /** Returns whether the engine is listed or disabled. */
    boolean isKnown(long engine) {
        return listed.containsKey(engine) || disabled.contains(engine);
    }

    /** Returns whether an operator has disabled the engine. */
    boolean isDisabled(long engine) {
        return disabled.contains(engine);
    }

    /**
     * Disables an engine.
     *
     * @return false if the engine was already disabled
     */
    boolean disable(long engine) {
        boolean changed = disabled.add(engine);
        if (changed) {
            reinstatementTimes.remove(engine);
        }
        return changed;
    }

    /**
     * Enables an engine as reinstated at the given time, and deletes the reinstatement times of
     * engines whose warm-up has ended by now.
     */
    void enable(long engine, long reinstatedAt, long now) {
        disabled.remove(engine);
        reinstatementTimes.values().removeIf(time -> now - time > warmUpMicros);
        reinstatementTimes.put(engine, reinstatedAt);
    }
}
