// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Whether a query of a class may run more than once. */
public enum Idempotency {
    /** It may. */
    IDEMPOTENT,
    /** It may where engines discard repeats by its key, within a scope and a time. */
    IDEMPOTENT_WITH_KEY,
    /** It may not. */
    NON_IDEMPOTENT
}
