// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** State of an engine's process as the endpoint list knows it. */
public enum EngineLifecycle {
    REMOVED,
    READY,
    DRAINING
}
