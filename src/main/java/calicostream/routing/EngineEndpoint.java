// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** An engine as listed; {@code bornUs} is when its process started, 0 for long ago. */
public record EngineEndpoint(
        long id, int kind, int cell, int zone, long startedAtUs, EngineLifecycle lifecycle) {
    /** The same engine in another state. */
    public EngineEndpoint withLifecycle(EngineLifecycle other) {
        return new EngineEndpoint(id, kind, cell, zone, startedAtUs, other);
    }

    /** The same engine, started at another time. */
    public EngineEndpoint withStartTime(long us) {
        return new EngineEndpoint(id, kind, cell, zone, us, lifecycle);
    }
}
