// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import java.util.Collection;
import java.util.TreeMap;

/** Holds the known engines by id. */
final class EngineTable {
    private final TreeMap<Long, EngineState> engines = new TreeMap<>();
    private int version;
    private double readyCores;

    /** Returns the engine, or null if it is not known. */
    EngineState find(long id) {
        return engines.get(id);
    }

    void add(EngineState engine) {
        engines.put(engine.id(), engine);
    }

    /** Returns all engines in the order of their ids; removing from it removes them here. */
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

    /** Takes in that engines were added or changed. */
    void endpointsChanged() {
        version++;
        readyCores = 0;
        for (EngineState engine : engines.values()) {
            if (engine.isReady()) {
                readyCores += engine.cores();
            }
        }
    }

    /** Returns a number that changes with the endpoint list. */
    int version() {
        return version;
    }

    double readyCores() {
        return readyCores;
    }
}
