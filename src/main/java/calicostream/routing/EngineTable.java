// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.Collection;
import java.util.TreeMap;

/** Holds the engines of the endpoint list by id, and removed engines until they are cleaned up. */
final class EngineTable {
    private final TreeMap<Long, EngineState> engines = new TreeMap<>();
    private int version;
    private double readyCores;

    /** Returns the engine, or null if the table does not contain it. */
    EngineState find(long id) {
        return engines.get(id);
    }

    void add(EngineState engine) {
        engines.put(engine.id(), engine);
    }

    /** Returns a live view of all engines in the order of their ids; it supports removal. */
    Collection<EngineState> all() {
        return engines.values();
    }

    int size() {
        return engines.size();
    }

    boolean isReady(long id) {
        EngineState engine = engines.get(id);
        return engine != null && engine.isReady();
    }

    /** Updates the version and the core count after engines were added or changed. */
    void endpointsChanged() {
        version++;
        readyCores = 0;
        for (EngineState engine : engines.values()) {
            if (engine.isReady()) {
                readyCores += engine.cores();
            }
        }
    }

    /** Returns a version that changes with each update of the endpoint list. */
    int version() {
        return version;
    }

    double readyCores() {
        return readyCores;
    }
}
