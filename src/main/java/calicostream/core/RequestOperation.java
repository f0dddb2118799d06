// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/**
 * What a request asks of an engine where the text of its body does not say it all. The gateway
 * carries it from the response handler's protocol to the engine client and never looks into it.
 */
public interface RequestOperation {}
