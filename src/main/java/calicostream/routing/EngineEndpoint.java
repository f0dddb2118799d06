// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * An engine in the endpoint list.
 *
 * @param id id of the engine, which survives restarts
 * @param kind index of the engine's kind
 * @param cell index of the engine's cell
 * @param zone index of the engine's zone
 * @param startedAtUs start time of the engine's process in microseconds, 0 if it is not recent
 * @param lifecycle state of the engine's process
 */
public record EngineEndpoint(
        long id, int kind, int cell, int zone, long startedAtUs, EngineLifecycle lifecycle) {
    /** Returns a copy with another lifecycle state. */
    public EngineEndpoint withLifecycle(EngineLifecycle newLifecycle) {
        return new EngineEndpoint(id, kind, cell, zone, startedAtUs, newLifecycle);
    }

    /** Returns a copy with another start time in microseconds. */
    public EngineEndpoint withStartTime(long newStartedAtUs) {
        return new EngineEndpoint(id, kind, cell, zone, newStartedAtUs, lifecycle);
    }
}
