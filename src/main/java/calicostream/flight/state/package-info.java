// SPDX-License-Identifier: Apache-2.0
/**
 * The decision state of the Flight SQL server: admission, result buffering, sessions, handles,
 * prepared statements, transactions and caching. It does no I/O, reads no clock and knows no class
 * of gRPC, protobuf or Arrow; the caller passes the time in microseconds and a supplier of names.
 * Read {@link calicostream.flight.state.Transactions} first. One thread owns each object unless it
 * says otherwise.
 */
package calicostream.flight.state;
