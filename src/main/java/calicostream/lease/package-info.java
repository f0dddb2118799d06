// SPDX-License-Identifier: Apache-2.0
/**
 * Leases for fleet-wide tasks: decides which process of the fleet may execute a task, and issues
 * monotonic fencing tokens. Grants are decided in one replicated state machine; the holder and the
 * leader each measure the duration of a lease outside of it. The package reads no clock, does no
 * I/O, and does not depend on what the tasks do. Read {@link calicostream.lease.LeaseStateMachine}
 * first, then {@link calicostream.lease.LeaseHolder}.
 */
package calicostream.lease;
