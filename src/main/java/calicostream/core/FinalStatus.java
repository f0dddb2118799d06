// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/**
 * A final answer that is not a result and does not indicate a problem of the engine, for example
 * that no engine can run the statement. Defined by the engine client and opaque to the gateway.
 */
public interface FinalStatus {}
