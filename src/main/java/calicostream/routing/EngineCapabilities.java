// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** What engines heed and tell; {@code noteUs} 0: no progress. */
public record EngineCapabilities(
        boolean memoryGrants, boolean priorities, double maxMemoryGrant, long progressPeriodUs) {}
