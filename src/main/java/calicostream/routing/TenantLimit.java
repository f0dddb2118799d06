// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** A tenant's share: queries a second over all gateways, 0 for no limit. */
public record TenantLimit(double queriesPerSecond) {}
