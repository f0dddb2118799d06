// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Which engines discard each other's repeats of a query with an idempotency key. */
public enum IdempotencyScope {
    ALL,
    ZONE,
    CELL
}
