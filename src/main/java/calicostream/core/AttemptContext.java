// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/**
 * What an engine client keeps with an {@link Attempt}, such as the call on its connection. The
 * gateway never looks into it.
 */
public interface AttemptContext {}
