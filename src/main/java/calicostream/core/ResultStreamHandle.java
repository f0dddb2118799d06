// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/**
 * A result stream that is sent to the client while the engine still produces it. Defined by the
 * engine client and passed to the request's {@link ResponseHandler}; opaque to the gateway.
 */
public interface ResultStreamHandle {}
