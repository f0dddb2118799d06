// SPDX-License-Identifier: Apache-2.0
package calicostream.core;

/**
 * A complete result as text.
 *
 * @param text the bytes as the engine wrote them; not copied, so neither side may change them
 */
public record TextResult(byte[] text) implements RequestResult {}
