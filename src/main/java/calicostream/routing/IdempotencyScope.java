// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Engines that discard each other's repeats. */
public enum IdempotencyScope {
    ALL,
    ZONE,
    CELL
}
