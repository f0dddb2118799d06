// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Optional features that the engines of a deployment support.
 *
 * @param memoryGrants whether engines accept a memory grant for an attempt
 * @param priorities whether engines accept a priority for an attempt
 * @param maxMemoryGrant largest memory grant as a share of the engine's memory
 * @param progressPeriodUs time between progress reports of an attempt in microseconds, 0 for none
 */
public record EngineCapabilities(
        boolean memoryGrants, boolean priorities, double maxMemoryGrant, long progressPeriodUs) {}
