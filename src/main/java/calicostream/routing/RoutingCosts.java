// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * What is paid for beside a query's own work, in worth of a usual query: sending it to another
 * zone, and a connection that has to be opened for it. 0: nothing.
 */
public record RoutingCosts(double crossZone, double handshake) {}
