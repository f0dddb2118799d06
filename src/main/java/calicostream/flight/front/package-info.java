// SPDX-License-Identifier: Apache-2.0
/**
 * Clients that speak Flight SQL: their calls become requests to the core, and its answers messages
 * of the protocol. No call holds a thread; all state here is the loop's. What may be done is
 * decided in {@link calicostream.flight.state}, what runs where in the module. Read {@link
 * calicostream.flight.front.FlightFront} first, then {@link
 * calicostream.flight.front.RequestDispatcher}.
 */
package calicostream.flight.front;
