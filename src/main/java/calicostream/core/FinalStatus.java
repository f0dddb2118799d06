// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/**
 * A final answer to a request that is not a result and that says nothing of its engine, in the
 * engine client's form: no engine can run the statement, say. The gateway never looks into it.
 */
public interface FinalStatus {}
