// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * What the engines of a deployment heed and report.
 *
 * @param memoryGrants whether an attempt may be granted memory
 * @param priorities whether an attempt may have a priority
 * @param maxMemoryGrant largest grant as a part of an engine's memory
 * @param progressPeriodUs time between progress reports of an attempt in microseconds, 0 for none
 */
public record EngineCapabilities(
        boolean memoryGrants, boolean priorities, double maxMemoryGrant, long progressPeriodUs) {}
