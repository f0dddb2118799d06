// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.core.RequestOperation;

/**
 * The client's idempotency key. It is sent to the engine with each attempt of the request, so that
 * the engine runs the statement at most once.
 *
 * @param key as the client sent it, checked by {@link JsonRpc}
 */
record IdempotencyKey(String key) implements RequestOperation {}
