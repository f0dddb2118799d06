// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/**
 * The complete result of a request in the engine client's form. The gateway hands it from the
 * engine client to the request's {@link ResponseHandler} and never looks into it.
 */
public interface RequestResult {}
