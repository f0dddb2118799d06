// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/**
 * A result that goes to the client while its engine still produces it. The gateway hands it from
 * the engine client to the request's {@link ResponseHandler} and never looks into it.
 */
public interface ResultStreamHandle {}
