// SPDX-License-Identifier: Apache-2.0
/**
 * Owns leases for fleet-wide tasks: who of the fleet may do a task now, with a fencing token that
 * only grows, decided in one replicated machine, and the holder's and the leader's own count of
 * time beside it. It knows no clock, no I/O, no transport, and nothing of what the tasks do. Read
 * {@link calicostream.lease.LeaseMachine} first, then {@link calicostream.lease.LeaseHolder}.
 */
package calicostream.lease;
