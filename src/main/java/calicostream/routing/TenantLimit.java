// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Quota of a tenant.
 *
 * @param queriesPerSecond queries per second across all gateways, 0 for no limit
 */
public record TenantLimit(double queriesPerSecond) {}
