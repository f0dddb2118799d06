// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Whether a query of a class may run more than once. */
public enum Idempotency {
    /** A query may run any number of times. */
    IDEMPOTENT,
    /** A query may be repeated where and while engines deduplicate it by its idempotency key. */
    IDEMPOTENT_WITH_KEY,
    /** A query must not run more than once. */
    NON_IDEMPOTENT
}
