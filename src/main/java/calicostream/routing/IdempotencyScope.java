// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Set of engines that deduplicate repeats of a query by its idempotency key. */
public enum IdempotencyScope {
    ALL,
    ZONE,
    CELL
}
