// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * A kind of machine that engines run on.
 *
 * @param cores number of cores
 * @param memoryMb memory in megabytes
 */
public record EngineKind(double cores, double memoryMb) {}
