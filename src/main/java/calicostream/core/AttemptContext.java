// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/**
 * State that an engine client attaches to an {@link Attempt}, such as the call on its connection.
 * Opaque to the gateway.
 */
public interface AttemptContext {}
