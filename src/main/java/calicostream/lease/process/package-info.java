// SPDX-License-Identifier: Apache-2.0
/**
 * Integrates the leases and their tasks into a member process as a replicated service, with their
 * metrics in JSON and their log lines. It makes no decisions and does not depend on what the tasks
 * do. Read {@link calicostream.lease.process.LeaseService} first.
 */
package calicostream.lease.process;
