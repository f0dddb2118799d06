// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/**
 * The complete result of a request. Defined by the engine client and passed to the request's {@link
 * ResponseHandler}; opaque to the gateway.
 */
public interface RequestResult {}
