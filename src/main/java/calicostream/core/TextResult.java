// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/**
 * A complete result as encoded text.
 *
 * @param text the bytes as the engine sent them; not copied, so they must not be changed
 */
public record TextResult(byte[] text) implements RequestResult {}
