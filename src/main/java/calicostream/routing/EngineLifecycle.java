// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** State of an engine's process in the endpoint list. */
public enum EngineLifecycle {
    REMOVED,
    READY,
    DRAINING
}
