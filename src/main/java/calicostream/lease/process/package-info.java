// SPDX-License-Identifier: Apache-2.0

/**
 * Owns the leases and the tasks on them as a layer of a member's process: what operators see of
 * them and read in the log. It decides nothing and does not know what the tasks do. Read {@link
 * calicostream.lease.process.LeaseLayer} first.
 */
package calicostream.lease.process;
