// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Costs of sending a query beside its own work, relative to the value of a typical query.
 *
 * @param crossZone cost of sending a query to another zone
 * @param handshake cost of opening a connection for a query
 */
public record RoutingCosts(double crossZone, double handshake) {}
