// SPDX-License-Identifier: Apache-2.0
/**
 * Owns the leases and their tasks as a replicated service of a member process: its status in JSON
 * and its log lines. It decides nothing and does not know what the tasks do. Read {@link
 * calicostream.lease.process.LeaseService} first.
 */
package calicostream.lease.process;
