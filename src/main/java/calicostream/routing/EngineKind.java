// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * A kind of engine, defined by its machine size.
 *
 * @param cores number of cores
 * @param memoryMb memory in megabytes
 */
public record EngineKind(double cores, double memoryMb) {}
