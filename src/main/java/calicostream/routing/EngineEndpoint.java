// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * An engine as the endpoint list names it.
 *
 * @param id its id, which survives restarts
 * @param kind index of its kind of machine
 * @param cell index of its cell
 * @param zone index of its zone
 * @param startedAtUs when its process started in microseconds, 0 for long ago
 * @param lifecycle state of its process
 */
public record EngineEndpoint(
        long id, int kind, int cell, int zone, long startedAtUs, EngineLifecycle lifecycle) {
    /** Returns the same engine in another state. */
    public EngineEndpoint withLifecycle(EngineLifecycle other) {
        return new EngineEndpoint(id, kind, cell, zone, startedAtUs, other);
    }

    /** Returns the same engine, started at another time in microseconds. */
    public EngineEndpoint withStartTime(long micros) {
        return new EngineEndpoint(id, kind, cell, zone, micros, lifecycle);
    }
}
