// SPDX-License-Identifier: Apache-2.0
/**
 * What the Flight SQL front decides: who may open a call, how long a result is held, whose a handle
 * is, what may still be done in a transaction, what may be answered from memory. It does no I/O,
 * reads no clock and knows no class of gRPC, protobuf or Arrow; every call brings the time, in
 * microseconds, and names come from a source that is passed in. Read {@link
 * calicostream.flight.state.Transactions} first. One thread owns each object unless it says
 * otherwise.
 */
package calicostream.flight.state;
