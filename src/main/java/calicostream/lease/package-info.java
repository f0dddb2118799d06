// SPDX-License-Identifier: Apache-2.0
/**
 * Owns leases for fleet-wide tasks: which process of the fleet may execute a task now, with a
 * monotonic fencing token, decided in one replicated state machine; holder and leader each measure
 * a lease's time beside it. It knows no clock, I/O or transport, and nothing of what the tasks do.
 * Read {@link calicostream.lease.LeaseStateMachine} first, then {@link
 * calicostream.lease.LeaseHolder}.
 */
package calicostream.lease;
