// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Whether a class may be repeated: always, by key within a scope and window, or never. */
public enum Idempotency {
    IDEMPOTENT,
    IDEMPOTENT_WITH_KEY,
    NON_IDEMPOTENT
}
