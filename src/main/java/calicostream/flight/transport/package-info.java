// SPDX-License-Identifier: Apache-2.0
/**
 * Owns the connections of the Flight SQL server's clients below gRPC: how many there are, how fast
 * frames of HTTP/2 are read, and the memory of messages that have not arrived whole. It knows
 * neither calls nor requests. Read {@link calicostream.flight.transport.ClientListener} first.
 */
package calicostream.flight.transport;
