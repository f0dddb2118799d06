// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** A kind of machine. */
public record EngineKind(double cores, double memoryMb) {}
