// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * What is paid for beside a query's own work, relative to the worth of a usual query.
 *
 * @param crossZone cost of sending a query to another zone
 * @param handshake cost of opening a connection for it
 */
public record RoutingCosts(double crossZone, double handshake) {}
