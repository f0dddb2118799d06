// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/**
 * The operation of a request whose body does not describe it completely. The gateway passes it from
 * the protocol server to the engine client; opaque to the gateway.
 */
public interface RequestOperation {}
